// The endpoints and destinations that the dispatcher knows.
#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "endpoint_state.hpp"

namespace dispatch {

/// Owns the states of endpoints and destinations.
///
/// Invariant: an endpoint's state is kept, at the same address, while the endpoint is listed, has calls in
/// flight, or has a Retry-After or an outage that is still in effect.
class EndpointDirectory {
 public:
  explicit EndpointDirectory(const Settings& settings) : settings_(settings) {}

  /// Returns null for an unknown endpoint.
  EndpointState* find(const EndpointId& id) {
    const auto it = endpoints_.find(id);
    return it == endpoints_.end() ? nullptr : &it->second;
  }
  /// Throws std::out_of_range for an unknown endpoint.
  EndpointState& at(const EndpointId& id) { return endpoints_.at(id); }

  /// The rate limit that applies to the endpoint.
  RateLimitScope& scope_of(EndpointState& endpoint) {
    return endpoint.is_independent ? endpoint.own_scope : destination_of(endpoint).scope;
  }
  /// All endpoints of the endpoint's destination, including the endpoint itself.
  const std::vector<EndpointState*>& siblings_of(EndpointState& endpoint) {
    return destination_of(endpoint).endpoints;
  }
  /// Returns an empty list for an unknown destination.
  const std::vector<EndpointState*>& endpoints_of(DestinationId destination) const {
    const auto it = destinations_.find(destination);
    return it == destinations_.end() ? kNoEndpoints : it->second.endpoints;
  }

  /// Adds or updates an endpoint from an entry of the endpoint list. Returns the endpoint and whether it is
  /// new. A new endpoint is not among the endpoints of its destination before add_sibling().
  std::pair<EndpointState&, bool> update(const Endpoint& info) {
    changed_ = true;
    const auto [it, is_new] = endpoints_.try_emplace(info.id);
    EndpointState& endpoint = it->second;
    endpoint.info = info;
    const auto kind = std::min(static_cast<std::size_t>(std::max(info.kind, 0)), settings_.kinds.size());
    const KindSettings kind_settings = kind < settings_.kinds.size() ? settings_.kinds[kind] : KindSettings{};
    endpoint.own_scope.limiter.set_kind(kind);
    endpoint.destination = &destinations_[info.destination];
    endpoint.destination->scope.limiter.set_kind(kind);
    endpoint.is_independent = kind_settings.independent_endpoints;
    endpoint.max_batch_size = kind_settings.max_batch_size;
    if (is_new) endpoint.suspended = suspended_.contains(info.id);
    return {endpoint, is_new};
  }
  /// Adds a new endpoint to the endpoints of its destination.
  void add_sibling(EndpointState& endpoint) { destination_of(endpoint).endpoints.push_back(&endpoint); }
  /// Sets the status of all endpoints to removed.
  void mark_all_removed() {
    changed_ = true;
    for (auto& [id, endpoint] : endpoints_) endpoint.info.status = EndpointStatus::removed;
  }
  /// Suspends or resumes an endpoint, which may be unknown. Returns whether this changed its suspension.
  bool set_suspended(const EndpointId& id, bool suspended) {
    const bool changed = suspended ? suspended_.insert(id).second : suspended_.erase(id) > 0;
    EndpointState* const endpoint = find(id);
    if (changed && endpoint != nullptr) endpoint->suspended = suspended;
    return changed;
  }

  /// Removes endpoints that left the list and destinations without endpoints, unless they must be kept (see
  /// the invariant above).
  void remove_unused(const RoundContext& round) {
    if (!std::exchange(changed_, false)) return;
    const auto is_unused = [&round](const EndpointState& endpoint) {
      return endpoint.info.status == EndpointStatus::removed && endpoint.calls.empty() &&
             !endpoint.health.has_recent_outage(round) &&
             !endpoint.own_scope.slow_start.has_recent_outage(round) &&
             endpoint.own_scope.limiter.retry_after_until() <= round.now();
    };
    bool destinations_removed = false;
    for (auto it = destinations_.begin(); it != destinations_.end();) {
      DestinationState& destination = it->second;
      std::erase_if(destination.endpoints,
                    [&](const EndpointState* endpoint) { return is_unused(*endpoint); });
      const bool removable = destination.endpoints.empty() &&
                             !destination.scope.slow_start.has_recent_outage(round) &&
                             destination.scope.limiter.retry_after_until() <= round.now();
      destinations_removed = destinations_removed || removable;
      it = removable ? destinations_.erase(it) : std::next(it);
    }
    std::erase_if(endpoints_, [&](const auto& entry) { return is_unused(entry.second); });
    // An endpoint that the list moved to another destination is not among the endpoints of the new one and
    // may be kept longer than that destination. The pointers are cleared, so that they are looked up again.
    if (!destinations_removed) return;
    for (auto& [id, endpoint] : endpoints_) endpoint.destination = nullptr;
  }

  std::map<EndpointId, EndpointState>& endpoints() { return endpoints_; }
  std::map<DestinationId, DestinationState>& destinations() { return destinations_; }
  /// The number of suspended endpoints, including those that are not listed.
  std::size_t suspended_count() const { return suspended_.size(); }

 private:
  inline static const std::vector<EndpointState*> kNoEndpoints;

  DestinationState& destination_of(EndpointState& endpoint) {
    if (endpoint.destination == nullptr) endpoint.destination = &destinations_[endpoint.info.destination];
    return *endpoint.destination;
  }

  const Settings& settings_;
  std::map<EndpointId, EndpointState> endpoints_;
  std::map<DestinationId, DestinationState> destinations_;
  std::set<EndpointId> suspended_;  // suspended by operators; not necessarily listed
  bool changed_ = false;            // the endpoint list changed since the last remove_unused()
};

}  // namespace dispatch
