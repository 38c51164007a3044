// Decides when a destination in slow start collapses under its calls.
#pragma once

#include <cstddef>
#include <deque>

#include "fleet.hpp"
#include "simulation/virtual_time.hpp"

namespace scale_tool::simulation {

enum class Overload {
  none,
  by_notified_relays,  // more than two thirds of the calls came from relays that knew of the outage
  by_other_relays
};

// Invariant: `calls_` holds the calls of the last `overload_duration` up to the last one, in order.
class OverloadDetector {
 public:
  // The settings must outlive this.
  explicit OverloadDetector(const DestinationSettings& settings) : settings_(settings) {}

  // A call came to the destination, whose capacity is now so many calls per second. Tells whether it was the
  // one too many.
  [[nodiscard]] Overload record_call(Time now, bool from_notified_relay, double capacity);
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
