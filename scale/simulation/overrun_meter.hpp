// Measures how long the calls to a destination exceed its rate limit.
#pragma once

#include <deque>

#include "simulation/virtual_time.hpp"

namespace scale_tool::simulation {

// Invariant: `recent_calls_` holds the arrivals of the last period up to the last update, in order;
// `overrun_since_` is kNever unless they are more than the limit admits.
class OverrunMeter {
 public:
  // `rate_limit` in calls per second, `period` of the limit in seconds.
  OverrunMeter(double rate_limit, double period) : rate_limit_(rate_limit), period_(period) {}

  // A call arrived, whatever becomes of it.
  void record_call(Time now);
  // Brings the measurement up to now: an overrun goes on, or has ended, without calls too.
  void update(Time now);
  // Measures from now on alone.
  void reset();
  // The longest time for which the calls of the last period were too many without a break, in seconds.
  [[nodiscard]] double longest_overrun() const { return longest_overrun_; }

 private:
  double rate_limit_;
  double period_;
  std::deque<Time> recent_calls_;
  Time overrun_since_ = kNever;
  double longest_overrun_ = 0;
};

}  // namespace scale_tool::simulation
