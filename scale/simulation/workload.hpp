// The messages that arrive: when, for which destination and at which relay.
#pragma once

#include <vector>

#include "fleet.hpp"
#include "simulation/destination.hpp"
#include "simulation/endpoint_directory.hpp"
#include "simulation/random_source.hpp"
#include "simulation/simulated_relay.hpp"
#include "simulation/virtual_time.hpp"

namespace scale_tool::simulation {

// Invariant: both lists are ascending; element i is the sum of the parts up to and including i, in messages
// per second for the destinations and as a fraction of 1 for the relays.
class Workload {
 public:
  // Draws the relays' parts of the traffic. The settings must outlive this.
  Workload(const FleetSettings& settings, const std::vector<Destination>& destinations, RandomSource& random);

  // The time until the first message arrives, and from a message that arrives now to the next.
  [[nodiscard]] Time first_interval(RandomSource& random) const;
  [[nodiscard]] Time next_interval(Time now, RandomSource& random) const;

  [[nodiscard]] DestinationIndex draw_destination(RandomSource& random) const;
  [[nodiscard]] RelayIndex draw_relay(RandomSource& random) const;
  [[nodiscard]] MessageClass draw_class(RandomSource& random) const;

 private:
  double total_rate() const { return cumulative_rates_.back(); }

  const FleetSettings& settings_;
  std::vector<double> cumulative_rates_;         // by destination
  std::vector<double> cumulative_relay_shares_;  // by relay
};

// The objectives of the class.
[[nodiscard]] const ClassObjectives& objectives(const WorkloadSettings& settings, MessageClass message_class);

}  // namespace scale_tool::simulation
