// The endpoints of all destinations, as the endpoint list gives them to the relays.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "dispatch/dispatcher.hpp"
#include "simulation/destination.hpp"

namespace scale_tool::simulation {

using DestinationIndex = std::size_t;
using EndpointIndex = std::size_t;

struct SimulatedEndpoint {
  dispatch::EndpointId id;
  DestinationIndex destination = 0;
  int zone = 0;
};

// An endpoint that leaves the list and the one that takes its place.
struct EndpointReplacement {
  EndpointIndex removed = 0;
  EndpointIndex added = 0;
};

// Invariant: an endpoint keeps its index for good, in the list or not; each destination has as many listed
// endpoints as were added to it.
class EndpointDirectory {
 public:
  // The next destination, without endpoints yet.
  void add_destination() { listed_.emplace_back(); }
  void add_endpoint(DestinationIndex destination, int zone);

  // Puts a new endpoint of the same destination and zone in its place. Nothing where it is no longer listed.
  [[nodiscard]] std::optional<EndpointReplacement> replace(EndpointIndex endpoint);

  // Of all endpoints ever added.
  [[nodiscard]] std::size_t size() const { return endpoints_.size(); }
  [[nodiscard]] const SimulatedEndpoint& at(EndpointIndex index) const { return endpoints_.at(index); }
  // Throws std::out_of_range for an unknown one.
  [[nodiscard]] EndpointIndex index_of(const dispatch::EndpointId& id) const { return index_of_.at(id); }

  // As the list gives it.
  [[nodiscard]] dispatch::Endpoint entry(EndpointIndex index, const std::vector<Destination>& destinations,
                                         dispatch::EndpointStatus status) const;
  // The whole list.
  [[nodiscard]] std::vector<dispatch::Endpoint> entries(const std::vector<Destination>& destinations) const;

 private:
  EndpointIndex append(DestinationIndex destination, int zone);

  std::vector<SimulatedEndpoint> endpoints_;
  std::unordered_map<dispatch::EndpointId, EndpointIndex> index_of_;
  std::vector<std::vector<EndpointIndex>> listed_;  // by destination
};

}  // namespace scale_tool::simulation
