// A token bucket: tokens are added at a rate up to a burst size, and calls take them.
#pragma once

#include <algorithm>

#include "time_units.hpp"

namespace dispatch {

/// Only counts tokens; its owner decides on the rate and the burst, which may change between refills, and on
/// the number of tokens that a call needs. The number of tokens may be negative.
class TokenBucket {
 public:
  explicit TokenBucket(double tokens) : tokens_(tokens) {}

  double tokens() const { return tokens_; }
  /// Returns the time up to which tokens were added. It may lie in the future; the bucket must not be
  /// refilled before it.
  Time refilled_at() const { return refilled_at_; }
  void set(double tokens, Time at) {
    tokens_ = tokens;
    refilled_at_ = at;
  }
  /// Adds the tokens since the last refill, `rate` per second, up to `burst` tokens in total.
  void refill(Time now, double rate, double burst) {
    tokens_ = std::min(tokens_ + rate * seconds(now - refilled_at_), burst);
    refilled_at_ = now;
  }
  /// Returns when the bucket holds `needed` tokens at `rate` tokens per second; the time of the last refill
  /// if it holds them already.
  Time ready_at(double needed, double rate) const {
    return tokens_ >= needed ? refilled_at_ : refilled_at_ + micros((needed - tokens_) / rate) + 1;
  }
  /// Takes one token.
  void take() { tokens_ -= 1; }

  // For the learned state. The fields are visited separately because some owners store others between them.
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
