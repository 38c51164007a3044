// Estimates the rate of events by an exponentially decaying count.
#pragma once

#include <algorithm>
#include <cmath>

#include "learned_state.hpp"
#include "time_units.hpp"

namespace dispatch {

/// Counts events with a weight that decays by the factor e within the time constant. While the observation is
/// shorter than the time constant, the estimate is scaled up to the time that was observed, or to a longer
/// time that the caller gives: a few events that come together must not be taken for a high rate.
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
  /// Continues with the rate, in events per second, that an earlier estimator had reached.
  void restore(Time now, double rate) {
    constexpr double long_observation = 10;  // time constants
    observed_since_ = now - micros(long_observation * time_constant_);
    decayed_until_ = now;
    weighted_count_ = rate * time_constant_;
  }
  /// Returns the events per second; 0 before the observation has started. The observation is taken to have
  /// lasted at least `min_observation` seconds.
  double rate(Time now, double min_observation = 0) {
    if (observed_since_ < 0) return 0;
    decay_to(now);
    const double observed = std::max(seconds(now - observed_since_) + 1, min_observation);
    return weighted_count_ / time_constant_ / (1 - std::exp(-observed / time_constant_));
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
