// A token bucket: tokens are added at a rate up to a burst, and calls take them.
#pragma once

#include <algorithm>

#include "time_units.hpp"

namespace dispatch {

/// The rate and the burst are given with each refill, as they may change. The mechanism only: what a call
/// needs and how fast tokens come is decided by its owners.
class TokenBucket {
 public:
  explicit TokenBucket(double tokens) : tokens_(tokens) {}

  double tokens() const { return tokens_; }
  /// Up to when tokens were added; a time to come: none are added before.
  Time refilled_at() const { return refilled_at_; }
  void set(double tokens, Time at) {
    tokens_ = tokens;
    refilled_at_ = at;
  }
  /// Adds what came since the last refill, at `rate` tokens a second.
  void refill(Time now, double rate, double burst) {
    tokens_ = std::min(tokens_ + rate * seconds(now - refilled_at_), burst);
    refilled_at_ = now;
  }
  /// After a refill: when there are so many tokens.
  Time ready_at(double needed, double rate) const {
    return tokens_ >= needed ? refilled_at_ : refilled_at_ + micros((needed - tokens_) / rate) + 1;
  }
  void take() { tokens_ -= 1; }

  template <class Visitor>
  void visit_tokens(Visitor&& visit) {
    visit(tokens_);
  }
  template <class Visitor>
  void visit_refilled_at(Visitor&& visit) {
    visit(refilled_at_);
  }

 private:
  double tokens_;
  Time refilled_at_ = 0;
};

}  // namespace dispatch
