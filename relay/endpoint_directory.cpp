#include "endpoint_directory.hpp"

#include <algorithm>
#include <numeric>

#include "byte_buffer.hpp"
#include "log.hpp"

namespace message_relay {

using dispatch::EndpointStatus;

namespace {

// In addition to one destination for each listed endpoint.
constexpr std::size_t kMaxRememberedDestinations = 4096;
// The memory in bytes that the ids of all endpoints ever listed may take.
constexpr std::size_t kMaxRememberedIdBytes = std::size_t{1} << 20;

// A listed endpoint with its address and all that the dispatcher keeps of it, in bytes.
constexpr std::size_t kEndpointBytes = 1536;
// An entry of a list that is being applied, and of the event that reports it to the dispatcher, in bytes.
constexpr std::size_t kListEntryBytes = 512;
// An id or a destination that is remembered, in bytes.
constexpr std::size_t kRememberedBytes = 64;
// The copies of an endpoint's id: in this directory, the connection pool and the dispatcher, each as a key
// and as a field.
constexpr std::size_t kIdCopies = 6;
// The copies of an id while a list is applied: in its entry, the event and the sets of what has changed.
constexpr std::size_t kListEntryIdCopies = 4;

std::size_t endpoint_bytes(const EndpointId& id) { return kEndpointBytes + kIdCopies * heap_bytes(id); }

std::size_t list_entry_bytes(const EndpointId& id) {
  return kListEntryBytes + kListEntryIdCopies * heap_bytes(id);
}

std::size_t remembered_bytes(const std::set<EndpointId>& ids) {
  return std::accumulate(ids.begin(), ids.end(), std::size_t{0}, [](std::size_t bytes, const EndpointId& id) {
    return bytes + kRememberedBytes + heap_bytes(id);
  });
}

bool has_independent_routes(const dispatch::Endpoint& endpoint,
                            const std::vector<dispatch::KindSettings>& kinds) {
  const auto kind = static_cast<std::size_t>(endpoint.kind);
  return kind < kinds.size() && kinds[kind].independent_endpoints;
}

}  // namespace

void EndpointDirectory::load_cached(const EndpointList& list) { add(list); }

void EndpointDirectory::restore(bool list_received, const std::vector<EndpointId>& ever_listed,
                                const std::vector<DestinationId>& destinations) {
  list_received_ = list_received;
  ever_listed_.insert(ever_listed.begin(), ever_listed.end());
  destinations_.insert(destinations.begin(), destinations.end());
}

std::vector<UnavailableEndpoint> EndpointDirectory::apply(const EndpointList& list) {
  if (list.is_snapshot) mark_unlisted_as_removed(list);
  add(list);
  list_received_ = true;
  std::vector<UnavailableEndpoint> unavailable;
  for (const auto& [id, endpoint] : endpoints_)
    if (endpoint.status != EndpointStatus::active) unavailable.push_back({id, endpoint.status});
  std::erase_if(endpoints_, [](const auto& entry) { return entry.second.status == EndpointStatus::removed; });
  limit_remembered_ids();
  return unavailable;
}

void EndpointDirectory::add(const EndpointList& list) {
  for (const auto& entry : list.entries) {
    endpoints_[entry.endpoint.id] = entry.endpoint;
    destinations_.insert(entry.endpoint.destination);
    ever_listed_.insert(entry.endpoint.id);
  }
}

void EndpointDirectory::mark_unlisted_as_removed(const EndpointList& snapshot) {
  std::set<EndpointId> listed;
  for (const auto& entry : snapshot.entries) listed.insert(entry.endpoint.id);
  for (auto& [id, endpoint] : endpoints_)
    if (!listed.contains(id)) endpoint.status = EndpointStatus::removed;
}

void EndpointDirectory::limit_remembered_ids() {
  if (destinations_.size() > kMaxRememberedDestinations + endpoints_.size()) {
    destinations_.clear();
    for (const auto& [id, endpoint] : endpoints_) destinations_.insert(endpoint.destination);
  }
  if (remembered_bytes(ever_listed_) > kMaxRememberedIdBytes) {
    ever_listed_.clear();
    for (const auto& [id, endpoint] : endpoints_) ever_listed_.insert(id);
  }
}

bool EndpointDirectory::has_new_endpoint(const EndpointList& list) const {
  return std::any_of(list.entries.begin(), list.entries.end(),
                     [this](const auto& entry) { return !endpoints_.contains(entry.endpoint.id); });
}

std::size_t EndpointDirectory::memory_bytes() const {
  std::size_t bytes = remembered_bytes(ever_listed_) + kRememberedBytes * destinations_.size();
  for (const auto& [id, endpoint] : endpoints_) bytes += endpoint_bytes(id);
  return bytes;
}

std::size_t EndpointDirectory::memory_bytes_while_applying(const EndpointList& list) const {
  std::size_t bytes = memory_bytes();
  for (const auto& entry : list.entries) {
    const EndpointId& id = entry.endpoint.id;
    bytes += list_entry_bytes(id);
    if (!endpoints_.contains(id)) bytes += endpoint_bytes(id) + kRememberedBytes + heap_bytes(id);
  }
  return bytes;
}

const dispatch::Endpoint* EndpointDirectory::find(const EndpointId& id) const {
  const auto entry = endpoints_.find(id);
  return entry == endpoints_.end() ? nullptr : &entry->second;
}

bool EndpointDirectory::is_active(const EndpointId& id) const {
  const dispatch::Endpoint* endpoint = find(id);
  return endpoint != nullptr && endpoint->status == EndpointStatus::active;
}

bool EndpointDirectory::has_active_endpoint() const {
  return std::any_of(endpoints_.begin(), endpoints_.end(),
                     [](const auto& entry) { return entry.second.status == EndpointStatus::active; });
}

std::vector<EndpointId> EndpointDirectory::endpoints_bound_by_retry_after(
    const EndpointId& id, const std::vector<dispatch::KindSettings>& kinds) const {
  const dispatch::Endpoint* source = find(id);
  if (source == nullptr) return {};
  if (has_independent_routes(*source, kinds)) return {id};
  std::vector<EndpointId> bound;
  for (const auto& [other_id, other] : endpoints_)
    if (other.destination == source->destination) bound.push_back(other_id);
  return bound;
}

std::vector<dispatch::Endpoint> endpoints_of(const EndpointList& list) {
  std::vector<dispatch::Endpoint> endpoints;
  endpoints.reserve(list.entries.size());
  for (const auto& entry : list.entries) endpoints.push_back(entry.endpoint);
  return endpoints;
}

void log_endpoint_list(const EndpointList& list) {
  std::string unavailable;
  for (const auto& entry : list.entries)
    if (entry.endpoint.status != EndpointStatus::active) unavailable += " " + entry.endpoint.id;
  log("discovery: version " + std::to_string(list.version) + ", " +
      (list.is_snapshot ? "snapshot, " : "update, ") + std::to_string(list.entries.size()) + " endpoints" +
      (unavailable.empty() ? "" : "; draining or removed:" + unavailable));
}

}  // namespace message_relay
