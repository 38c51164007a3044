#include "upgrade.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

#include "log.hpp"

namespace message_relay {

namespace {

// Longest time, in microseconds, that a successor waits for the relay to become quiescent.
constexpr Time kMaxQuiescenceWait = 400'000;
// Interval between two checks for quiescence.
constexpr auto kQuiescenceCheckInterval = std::chrono::milliseconds(1);
// Number of descriptors that each of the two processes holds besides connections of clients and to endpoints.
constexpr std::size_t kReservedDescriptors = 48;

std::size_t saturating_subtract(std::size_t from, std::size_t amount) {
  return from - std::min(from, amount);
}

}  // namespace

Upgrade::Upgrade(boost::asio::io_context& io, const Config& config, int folder_lock,
                 const Collaborators& collaborators)
    : config_(config), folder_lock_(folder_lock), collaborators_(collaborators), timer_(io) {}

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
    timer_.async_wait([this](boost::system::error_code error) {
      if (!error) hand_over_when_quiescent();
    });
    return;
  }
  if (!quiescent) settle_remaining_work();
  hand_over();
}

// The relay did not become quiescent in time. Clients whose requests wait for an answer get it now, and calls
// of whose requests a part at most has been written end as not sent: their endpoints cannot have started
// them.
void Upgrade::settle_remaining_work() {
  collaborators_.round.run();
  const std::size_t unsent = collaborators_.delivery.cancel_all_unsent();
  log("handover: not quiescent in time; ended " + std::to_string(unsent) + " calls that were not written" +
      (collaborators_.ingress.is_responding() ? "; some clients have not taken their response" : ""));
}

void Upgrade::hand_over() {
  collaborators_.delivery.close_all_idle();
  HandoverChannel successor = std::move(*successor_);
  successor_.reset();
  if (!collaborators_.write_ahead.journal_writable() || !collaborators_.journal.consolidate()) {
    log("handover: refused: the journal can't be written");
    return;
  }
  HandoverState state = capture_state();
  if (!message_relay::hand_over(successor, state, folder_lock_)) {
    collaborators_.registry.restore(state.next_message_id, std::move(state.completed_ids));
    collaborators_.ingress.restore(std::move(state.clients));
    log("handover: the other process did not take over; continuing to serve");
    return;
  }
  log("handover: handed over " + std::to_string(collaborators_.journal.messages().size()) +
      " open messages, " + std::to_string(state.clients.size()) + " client connections, " +
      std::to_string(state.calls.size()) + " calls in flight");
  // A regular exit would shut down connections that belong to the successor by now.
  std::_Exit(0);
}

bool Upgrade::is_quiescent() const {
  return collaborators_.events.empty() && !collaborators_.admission.has_pending() &&
         collaborators_.write_ahead.empty() && !collaborators_.compactor.running() &&
         collaborators_.delivery.all_calls_written() && !collaborators_.ingress.is_responding();
}

HandoverState Upgrade::capture_state() {
  HandoverState state;
  state.endpoint_list = capture_endpoint_list();
  state.list_received = collaborators_.directory.list_received();
  state.paused = collaborators_.readiness.paused();
  state.next_message_id = collaborators_.registry.next_id();
  state.learned_state = collaborators_.dispatcher.learned_state();
  const auto& ever_listed = collaborators_.directory.ever_listed();
  state.ever_listed.assign(ever_listed.begin(), ever_listed.end());
  const auto& destinations = collaborators_.directory.destinations();
  state.destinations.assign(destinations.begin(), destinations.end());
  state.completed_ids = collaborators_.registry.take_completed_ids();
  state.calls = collaborators_.delivery.in_flight_calls();
  state.clients = collaborators_.ingress.take_connections(max_clients(state.calls.size()));
  state.listener = collaborators_.ingress.listener_descriptor();
  return state;
}

EndpointList Upgrade::capture_endpoint_list() const {
  EndpointList list;
  list.version = collaborators_.platform.list_version();
  for (const auto& [id, endpoint] : collaborators_.directory.endpoints())
    if (const auto address = collaborators_.delivery.address_of(id))
      list.entries.push_back({endpoint, *address});
  return list;
}

// During the handover both processes hold every descriptor, so each may use only half of the total. Client
// connections beyond that are closed.
std::size_t Upgrade::max_clients(std::size_t calls) const {
  const std::size_t descriptors = config_.client_connections + config_.endpoint_connections;
  return saturating_subtract(descriptors / 2, calls + kReservedDescriptors);
}

}  // namespace message_relay
