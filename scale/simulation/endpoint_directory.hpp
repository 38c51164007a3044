// Keeps the endpoints of all destinations and makes the endpoint list that the relays receive.
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

// An endpoint that is removed from the list and the endpoint that replaces it.
struct EndpointReplacement {
  EndpointIndex removed = 0;
  EndpointIndex added = 0;
};

// Holds the endpoints that are listed and those that have been replaced.
// Invariant: an endpoint keeps its index, even after it has been removed from the list; each destination has
// as many listed endpoints as were added to it by add_endpoint().
class EndpointDirectory {
 public:
  // Adds the next destination, without endpoints.
  void add_destination() { listed_.emplace_back(); }
  void add_endpoint(DestinationIndex destination, int zone);

  // Replaces the endpoint by a new one of the same destination and zone. Returns nothing if the endpoint is
  // no longer listed.
  [[nodiscard]] std::optional<EndpointReplacement> replace(EndpointIndex endpoint);

  // The number of endpoints that are or were listed.
  [[nodiscard]] std::size_t size() const { return endpoints_.size(); }
  [[nodiscard]] const SimulatedEndpoint& at(EndpointIndex index) const { return endpoints_.at(index); }
  // Throws std::out_of_range for an unknown endpoint.
  [[nodiscard]] EndpointIndex index_of(const dispatch::EndpointId& id) const { return index_of_.at(id); }

  // Returns the endpoint's entry in the endpoint list, with the given status.
  [[nodiscard]] dispatch::Endpoint entry(EndpointIndex index, const std::vector<Destination>& destinations,
                                         dispatch::EndpointStatus status) const;
  // Returns the whole endpoint list; all its entries are active.
  [[nodiscard]] std::vector<dispatch::Endpoint> entries(const std::vector<Destination>& destinations) const;

 private:
  // Adds an endpoint that is not listed yet.
  EndpointIndex append(DestinationIndex destination, int zone);

  std::vector<SimulatedEndpoint> endpoints_;
  std::unordered_map<dispatch::EndpointId, EndpointIndex> index_of_;
  std::vector<std::vector<EndpointIndex>> listed_;  // listed endpoints by destination
};

}  // namespace scale_tool::simulation
