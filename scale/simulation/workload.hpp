// Generates the messages that arrive: their times, destinations, relays and classes.
#pragma once

#include <vector>

#include "fleet.hpp"
#include "simulation/destination.hpp"
#include "simulation/endpoint_directory.hpp"
#include "simulation/random_source.hpp"
#include "simulation/simulated_relay.hpp"
#include "simulation/virtual_time.hpp"

namespace scale_tool::simulation {

// Draws the properties of each message at random.
// Invariant: both lists are ascending; element i is the sum over the elements up to and including i, in
// messages per second for the destinations and as a fraction of the whole traffic for the relays.
class Workload {
 public:
  // Draws the relays' shares of the traffic. `settings` must outlive this object.
  Workload(const FleetSettings& settings, const std::vector<Destination>& destinations, RandomSource& random);

  // Draws the time until the first message arrives.
  [[nodiscard]] Time first_interval(RandomSource& random) const;
  // Draws the time from a message that arrives now to the next message.
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

// Returns the objectives of a message class.
[[nodiscard]] const ClassObjectives& objectives(const WorkloadSettings& settings, MessageClass message_class);

}  // namespace scale_tool::simulation
