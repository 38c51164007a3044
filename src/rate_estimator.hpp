// Estimates the rate of events by an exponentially decaying count.
#pragma once

#include <cmath>

#include "learned_state.hpp"
#include "time_units.hpp"

namespace dispatch {

/// Counts events with a weight that decays by the factor e within the time constant. While the observation is
/// shorter than the time constant, the estimate is scaled up to the time that was observed.
class RateEstimator {
 public:
  /// The time constant is in seconds.
  explicit RateEstimator(double time_constant) : time_constant_(time_constant) {}

  /// Starts the observation. Without this call it starts with the first event.
  void start(Time now) {
    observed_since_ = now;
    decayed_until_ = now;
  }
  void add_event(Time now) {
    decay_to(now);
    weighted_count_ += 1;
  }
  /// Returns the events per second; 0 before the observation has started.
  double rate(Time now) {
    if (observed_since_ < 0) return 0;
    decay_to(now);
    const double observed_fraction = 1 - std::exp(-(seconds(now - observed_since_) + 1) / time_constant_);
    return weighted_count_ / time_constant_ / observed_fraction;
  }
  /// Calls `visit` with each field of the learned state, in the order in which they are stored.
  template <class Visitor>
  void visit_learned_fields(Visitor&& visit) {
    visit_fields(visit, weighted_count_, observed_since_, decayed_until_);
  }

 private:
  void decay_to(Time now) {
    if (observed_since_ < 0) start(now);
    weighted_count_ *= std::exp(-seconds(now - decayed_until_) / time_constant_);
    decayed_until_ = now;
  }

  double time_constant_;  // seconds
  double weighted_count_ = 0;
  Time observed_since_ = -1;  // negative: the observation has not started
  Time decayed_until_ = 0;    // time for which the count is valid
};

}  // namespace dispatch
