#include "upgrade.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

#include "log.hpp"

namespace message_relay {

namespace {

// A successor waits at most so long for an instant at which nothing is under way, looked for at this
// interval.
constexpr Time kMaxQuiescenceWait = 400'000;
constexpr auto kQuiescenceCheckInterval = std::chrono::milliseconds(1);
// Descriptors that each of the two processes holds besides connections of clients and to endpoints.
constexpr std::size_t kOtherDescriptors = 48;

std::size_t saturating_subtract(std::size_t from, std::size_t amount) {
  return from - std::min(from, amount);
}

}  // namespace

Upgrade::Upgrade(boost::asio::io_context& io, const Config& config, int folder_lock,
                 const Collaborators& collaborators)
    : config_(config), folder_lock_(folder_lock), parts_(collaborators), timer_(io) {}

void Upgrade::request(HandoverChannel successor) {
  const bool already_waiting = successor_.has_value();
  successor_ = std::move(successor);
  if (already_waiting) return;
  requested_at_ = steady_now();
  hand_over_when_quiescent();
}

void Upgrade::hand_over_when_quiescent() {
  const bool quiescent = is_quiescent();
  if (!quiescent && steady_now() - requested_at_ < kMaxQuiescenceWait) {
    timer_.expires_after(kQuiescenceCheckInterval);
    timer_.async_wait([this](boost::system::error_code bad) {
      if (!bad) hand_over_when_quiescent();
    });
    return;
  }
  // It did not come: what is not written yet ends as not sent, and clients within a request are cut off.
  if (!quiescent) parts_.round.run();
  hand_over();
}

void Upgrade::hand_over() {
  parts_.delivery.cancel_all_unsent();
  parts_.delivery.close_all_idle();
  HandoverChannel successor = std::move(*successor_);
  successor_.reset();
  if (!parts_.write_ahead.journal_writable() || !parts_.journal.consolidate()) {
    log("handover: refused: the journal can't be written");
    return;
  }
  const HandoverState state = capture_state();
  if (!message_relay::hand_over(successor, state, folder_lock_)) {
    log("handover: the other process did not take over; continuing to serve");
    return;
  }
  log("handover: handed over " + std::to_string(parts_.journal.messages().size()) + " open messages, " +
      std::to_string(state.clients.size()) + " client connections, " + std::to_string(state.calls.size()) +
      " calls in flight");
  // An orderly end would shut down connections that are the successor's by now.
  std::_Exit(0);
}

bool Upgrade::is_quiescent() const {
  return parts_.events.empty() && !parts_.admission.has_pending() && parts_.write_ahead.empty() &&
         !parts_.compactor.running() && parts_.delivery.all_calls_written() &&
         parts_.ingress.all_between_requests();
}

HandoverState Upgrade::capture_state() const {
  HandoverState state;
  state.endpoint_list = capture_endpoint_list();
  state.list_received = parts_.directory.list_received();
  state.paused = parts_.readiness.paused();
  state.next_number = parts_.registry.next_id();
  state.learned_state = parts_.dispatcher.learned_state();
  const auto& ever_listed = parts_.directory.ever_listed();
  state.ever_listed.assign(ever_listed.begin(), ever_listed.end());
  const auto& destinations = parts_.directory.destinations();
  state.destinations.assign(destinations.begin(), destinations.end());
  const auto& completed_ids = parts_.registry.completed_ids().entries();
  state.completed_ids.assign(completed_ids.begin(), completed_ids.end());
  state.calls = parts_.delivery.in_flight_calls();
  state.clients = capture_clients(state.calls.size());
  state.listener = parts_.ingress.listener_descriptor();
  return state;
}

EndpointList Upgrade::capture_endpoint_list() const {
  EndpointList list;
  list.version = parts_.platform.list_version();
  for (const auto& [id, endpoint] : parts_.directory.endpoints())
    if (const auto address = parts_.delivery.address_of(id)) list.entries.push_back({endpoint, *address});
  return list;
}

// For an instant both processes hold each descriptor. Of client connections that would be too many those are
// closed that have served a request and have been idle longest: on the others a first request may be under
// way.
std::vector<IdleClient> Upgrade::capture_clients(std::size_t calls) const {
  std::vector<IdleClient> clients = parts_.ingress.idle_clients();
  std::sort(clients.begin(), clients.end(), [](const IdleClient& a, const IdleClient& b) {
    return a.served_before != b.served_before ? b.served_before : a.idle_since > b.idle_since;
  });
  const std::size_t descriptors = config_.client_connections + config_.endpoint_connections;
  const std::size_t capacity = saturating_subtract(descriptors / 2, calls + kOtherDescriptors);
  if (clients.size() > capacity) clients.resize(capacity);
  return clients;
}

}  // namespace message_relay
