#include "simulation/endpoint_directory.hpp"

#include <algorithm>

namespace scale_tool::simulation {

EndpointIndex EndpointDirectory::append(DestinationIndex destination, int zone) {
  const EndpointIndex index = endpoints_.size();
  endpoints_.push_back({.id = "s" + std::to_string(index), .destination = destination, .zone = zone});
  index_of_[endpoints_.back().id] = index;
  return index;
}

void EndpointDirectory::add_endpoint(DestinationIndex destination, int zone) {
  const EndpointIndex index = append(destination, zone);
  listed_.at(destination).push_back(index);
}

std::optional<EndpointReplacement> EndpointDirectory::replace(EndpointIndex endpoint) {
  const DestinationIndex destination = at(endpoint).destination;
  const int zone = at(endpoint).zone;
  auto& listed = listed_.at(destination);
  const auto place = std::find(listed.begin(), listed.end(), endpoint);
  if (place == listed.end()) return std::nullopt;
  *place = append(destination, zone);
  return EndpointReplacement{.removed = endpoint, .added = *place};
}

dispatch::Endpoint EndpointDirectory::entry(EndpointIndex index, const std::vector<Destination>& destinations,
                                            dispatch::EndpointStatus status) const {
  const SimulatedEndpoint& endpoint = at(index);
  return {.id = endpoint.id,
          .destination = static_cast<dispatch::DestinationId>(endpoint.destination),
          .zone = endpoint.zone,
          .status = status,
          .weight = destinations.at(endpoint.destination).listed_weight()};
}

std::vector<dispatch::Endpoint> EndpointDirectory::entries(
    const std::vector<Destination>& destinations) const {
  std::vector<dispatch::Endpoint> entries;
  for (const auto& listed : listed_)
    for (const EndpointIndex index : listed)
      entries.push_back(entry(index, destinations, dispatch::EndpointStatus::active));
  return entries;
}

}  // namespace scale_tool::simulation
