// Detects when the calls to a destination in slow start make it collapse.
#pragma once

#include <cstddef>
#include <deque>

#include "fleet.hpp"
#include "simulation/virtual_time.hpp"

namespace scale_tool::simulation {

// Which relays sent the calls that overloaded a destination.
enum class OverloadCause {
  none,
  notified_relays,  // more than two thirds of the calls came from relays that had been notified of the outage
  other_relays
};

// Compares the calls of the last `overload_duration` with a budget.
// Invariant: `calls_` holds the calls of the `overload_duration` that ended with the last call, in order of
// arrival.
class OverloadDetector {
 public:
  // `settings` must outlive this object.
  explicit OverloadDetector(const DestinationSettings& settings) : settings_(settings) {}

  // Records a call that arrives at the destination. `capacity` is the destination's present capacity in calls
  // per second. Returns OverloadCause::none unless the recent calls overload the destination.
  [[nodiscard]] OverloadCause record_call(Time now, bool from_notified_relay, double capacity);
  void clear() { calls_.clear(); }

 private:
  struct RecentCall {
    Time arrived_at = 0;
    bool from_notified_relay = false;
  };
  [[nodiscard]] bool is_overloaded(double capacity) const;

  const DestinationSettings& settings_;
  std::deque<RecentCall> calls_;
};

}  // namespace scale_tool::simulation
