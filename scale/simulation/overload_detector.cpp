#include "simulation/overload_detector.hpp"

#include <algorithm>
#include <cmath>

namespace scale_tool::simulation {
namespace {

// An overload is attributed to notified relays if more than this fraction of the calls came from them.
constexpr double kNotifiedCallFraction = 2.0 / 3;

}  // namespace

OverloadCause OverloadDetector::record_call(Time now, bool from_notified_relay, double capacity) {
  calls_.push_back({now, from_notified_relay});
  const Time period_start = now - to_microseconds(settings_.overload_duration);
  while (calls_.front().arrived_at <= period_start) calls_.pop_front();
  if (!is_overloaded(capacity)) return OverloadCause::none;
  const auto from_notified = std::count_if(calls_.begin(), calls_.end(),
                                           [](const RecentCall& call) { return call.from_notified_relay; });
  return static_cast<double>(from_notified) > kNotifiedCallFraction * static_cast<double>(calls_.size())
             ? OverloadCause::notified_relays
             : OverloadCause::other_relays;
}

// Calls beyond the budget are attributed to chance up to two standard deviations of a Poisson distribution,
// plus two calls, which matter where the budget is small.
bool OverloadDetector::is_overloaded(double capacity) const {
  const double budget = settings_.overload_multiple * capacity * settings_.overload_duration;
  return static_cast<double>(calls_.size()) > budget + 2 * std::sqrt(budget) + 2;
}

}  // namespace scale_tool::simulation
