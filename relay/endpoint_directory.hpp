// The directory of endpoints that discovery lists, with the endpoint ids and destinations of earlier lists.
//
// Invariant: the id of every listed endpoint is in ever_listed(), and its destination is known. Endpoints
// that a list removes leave the directory immediately; their ids and destinations are remembered up to a
// limit.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "dispatch/dispatcher.hpp"
#include "endpoint_list.hpp"

namespace message_relay {

using dispatch::DestinationId;
using dispatch::EndpointId;

// An endpoint that must not get new messages.
struct UnavailableEndpoint {
  EndpointId id;
  dispatch::EndpointStatus status = dispatch::EndpointStatus::draining;  // draining or removed
};

class EndpointDirectory {
 public:
  // Loads the endpoint list of an earlier process. It does not count as received from discovery.
  void load_cached(const EndpointList& list);

  // Restores what another process remembered in addition to its list.
  void restore(bool list_received, const std::vector<EndpointId>& ever_listed,
               const std::vector<DestinationId>& destinations);

  // Applies a snapshot or an update from discovery. Returns all endpoints that are draining, and those that
  // the list removes, ordered by id.
  [[nodiscard]] std::vector<UnavailableEndpoint> apply(const EndpointList& list);

  // Whether the list has an endpoint that is not in the directory.
  [[nodiscard]] bool has_new_endpoint(const EndpointList& list) const;
  // The memory in bytes that the listed endpoints take in the whole process, and what is remembered of
  // others.
  [[nodiscard]] std::size_t memory_bytes() const;
  // The memory in bytes that is taken while the list is applied: its new endpoints are held beside the others
  // until the next decision round, and its entries beside them.
  [[nodiscard]] std::size_t memory_bytes_while_applying(const EndpointList& list) const;
  // nullptr if the endpoint is not listed.
  [[nodiscard]] const dispatch::Endpoint* find(const EndpointId& id) const;
  [[nodiscard]] bool is_active(const EndpointId& id) const;
  [[nodiscard]] bool has_active_endpoint() const;
  [[nodiscard]] bool was_ever_listed(const EndpointId& id) const { return ever_listed_.contains(id); }
  [[nodiscard]] bool knows_destination(DestinationId id) const { return destinations_.contains(id); }
  // Whether discovery has sent a list to this process, or to an earlier one that handed over to it.
  [[nodiscard]] bool list_received() const { return list_received_; }

  // The listed endpoints that must get no calls when `id` responds with Retry-After: only `id` if the
  // endpoints of its kind are independent, otherwise all endpoints of its destination. Empty if `id` is not
  // listed.
  [[nodiscard]] std::vector<EndpointId> endpoints_bound_by_retry_after(
      const EndpointId& id, const std::vector<dispatch::KindSettings>& kinds) const;

  [[nodiscard]] const std::map<EndpointId, dispatch::Endpoint>& endpoints() const { return endpoints_; }
  [[nodiscard]] const std::set<EndpointId>& ever_listed() const { return ever_listed_; }
  [[nodiscard]] const std::set<DestinationId>& destinations() const { return destinations_; }

 private:
  void add(const EndpointList& list);
  // Marks the endpoints that the snapshot does not contain.
  void mark_unlisted_as_removed(const EndpointList& snapshot);
  // Bounds the memory: if more ids or destinations than the limit are remembered, forgets all of them that no
  // listed endpoint has.
  void limit_remembered_ids();

  std::map<EndpointId, dispatch::Endpoint> endpoints_;
  std::set<EndpointId> ever_listed_;
  std::set<DestinationId> destinations_;
  bool list_received_ = false;
};

// The endpoints of a list, without their addresses.
[[nodiscard]] std::vector<dispatch::Endpoint> endpoints_of(const EndpointList& list);

// Logs one line for each list, so that operators can compare a call with the list on which it was based.
void log_endpoint_list(const EndpointList& list);

}  // namespace message_relay
