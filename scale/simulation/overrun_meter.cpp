#include "simulation/overrun_meter.hpp"

#include <algorithm>

namespace scale_tool::simulation {

void OverrunMeter::record_call(Time now) {
  recent_calls_.push_back(now);
  update(now);
}

void OverrunMeter::update(Time now) {
  const Time period_start = now - to_microseconds(period_);
  while (!recent_calls_.empty() && recent_calls_.front() <= period_start) recent_calls_.pop_front();
  // A period that does not coincide with a window of the rate limit may contain one more call than the limit.
  const double max_calls = std::max(1.0, rate_limit_ * period_) + 1;
  if (static_cast<double>(recent_calls_.size()) <= max_calls) {
    overrun_since_ = kNever;
    return;
  }
  if (overrun_since_ == kNever) overrun_since_ = now;
  longest_overrun_ = std::max(longest_overrun_, to_seconds(now - overrun_since_));
}

void OverrunMeter::reset() {
  longest_overrun_ = 0;
  overrun_since_ = kNever;
}

}  // namespace scale_tool::simulation
