// The endpoints that discovery lists, and what earlier lists have named.
//
// Invariant: every listed endpoint counts as ever listed, and its destination as known. Endpoints that a list
// removes leave the directory at once; ids and destinations are remembered beyond that, up to a limit.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "dispatch/dispatcher.hpp"
#include "endpoint_list.hpp"

namespace message_relay {

using dispatch::DestinationId;
using dispatch::EndpointId;

// A listed endpoint that takes no new messages.
struct UnavailableEndpoint {
  EndpointId id;
  dispatch::EndpointStatus status = dispatch::EndpointStatus::draining;  // draining or removed
};

class EndpointDirectory {
 public:
  // Starts from the list of an earlier process. It does not count as received from discovery.
  void load_cached(const EndpointList& list);

  // What another process remembered, besides its list.
  void restore(bool list_received, const std::vector<EndpointId>& ever_listed,
               const std::vector<DestinationId>& destinations);

  // Takes over a snapshot or an update from discovery. Returns the endpoints that are draining or removed
  // from now on, ordered by id.
  [[nodiscard]] std::vector<UnavailableEndpoint> apply(const EndpointList& list);

  // nullptr where it is not listed.
  [[nodiscard]] const dispatch::Endpoint* find(const EndpointId& id) const;
  [[nodiscard]] bool is_active(const EndpointId& id) const;
  [[nodiscard]] bool has_active_endpoint() const;
  [[nodiscard]] bool was_ever_listed(const EndpointId& id) const { return ever_listed_.contains(id); }
  [[nodiscard]] bool knows_destination(DestinationId id) const { return destinations_.contains(id); }
  // Whether discovery has sent a list to this process, or to one that it took over from.
  [[nodiscard]] bool list_received() const { return list_received_; }

  // The listed endpoints that a Retry-After of `id` binds: itself alone where the routes of its kind are
  // independent, else all of its destination. Empty where `id` is not listed.
  [[nodiscard]] std::vector<EndpointId> bound_by_retry_after(
      const EndpointId& id, const std::vector<dispatch::KindSettings>& kinds) const;

  [[nodiscard]] const std::map<EndpointId, dispatch::Endpoint>& endpoints() const { return endpoints_; }
  [[nodiscard]] const std::set<EndpointId>& ever_listed() const { return ever_listed_; }
  [[nodiscard]] const std::set<DestinationId>& destinations() const { return destinations_; }

 private:
  void add(const EndpointList& list);
  void mark_unnamed_as_removed(const EndpointList& snapshot);
  void limit_memory();

  std::map<EndpointId, dispatch::Endpoint> endpoints_;
  std::set<EndpointId> ever_listed_;
  std::set<DestinationId> destinations_;
  bool list_received_ = false;
};

// The endpoints of a list, without their addresses.
[[nodiscard]] std::vector<dispatch::Endpoint> endpoints_of(const EndpointList& list);

// One line for each list, so that a call can be held against the list by which it was decided.
void log_endpoint_list(const EndpointList& list);

}  // namespace message_relay
