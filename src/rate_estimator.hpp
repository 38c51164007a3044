// How often something happens a second, as an average that forgets exponentially.
#pragma once

#include <cmath>

#include "learned_state.hpp"
#include "time_units.hpp"

namespace dispatch {

/// Counts events with a weight that decays by the factor e in `memory` seconds. While less than the memory
/// has been observed, the estimate is scaled up to the time that was.
class RateEstimator {
 public:
  explicit RateEstimator(double memory) : memory_(memory) {}

  /// Begins the observation; otherwise the first event does.
  void start(Time now) {
    first_ = now;
    last_ = now;
  }
  void add_event(Time now) {
    decay_to(now);
    weighted_count_ += 1;
  }
  /// Events a second; 0 before the observation began.
  double rate(Time now) {
    if (first_ < 0) return 0;
    decay_to(now);
    const double observed_fraction = 1 - std::exp(-(seconds(now - first_) + 1) / memory_);
    return weighted_count_ / memory_ / observed_fraction;
  }
  /// Calls `visit` with each field of the learned state, in its stored order.
  template <class Visitor>
  void visit_learned_fields(Visitor&& visit) {
    visit_fields(visit, weighted_count_, first_, last_);
  }

 private:
  void decay_to(Time now) {
    if (first_ < 0) start(now);
    weighted_count_ *= std::exp(-seconds(now - last_) / memory_);
    last_ = now;
  }

  double memory_;  // seconds
  double weighted_count_ = 0;
  Time first_ = -1;  // when the observation began; below 0: not yet
  Time last_ = 0;    // up to when the count has decayed
};

}  // namespace dispatch
