// Measures how long the calls to a destination exceed its rate limit.
#pragma once

#include <deque>

#include "simulation/virtual_time.hpp"

namespace scale_tool::simulation {

// Counts all calls that arrive in the last period of the rate limit, including rejected ones.
// Invariant: `recent_calls_` holds the arrival times of the period that ended with the last update, in order;
// `overrun_since_` is kNever unless these calls exceed the rate limit.
class OverrunMeter {
 public:
  // `rate_limit` is in calls per second, `period` is the period of the rate limit in seconds.
  OverrunMeter(double rate_limit, double period) : rate_limit_(rate_limit), period_(period) {}

  // Records a call that arrives, whatever its outcome.
  void record_call(Time now);
  // Updates the measurement to the present time. Without regular updates, an overrun that continues or ends
  // while no calls arrive would not be noticed.
  void update(Time now);
  // Discards the overruns measured so far.
  void reset();
  // The longest uninterrupted time for which the calls exceeded the rate limit, in seconds.
  [[nodiscard]] double longest_overrun() const { return longest_overrun_; }

 private:
  double rate_limit_;
  double period_;
  std::deque<Time> recent_calls_;
  Time overrun_since_ = kNever;
  double longest_overrun_ = 0;
};

}  // namespace scale_tool::simulation
