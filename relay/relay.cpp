#include "relay.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "clock.hpp"
#include "log.hpp"
#include "message_class.hpp"
#include "process_memory.hpp"
#include "recovery.hpp"

namespace message_relay {

namespace net = boost::asio;
namespace event = dispatch::event;
using dispatch::EndpointStatus;
using net::ip::tcp;

namespace {

constexpr auto kMemoryReviewInterval = std::chrono::seconds(1);

// Discovery sends an empty line on a watch at this interval while the list does not change.
constexpr std::chrono::microseconds kWatchHeartbeatInterval = std::chrono::seconds(2);
// Upper bound of the drain grace from which platform_timeouts() derives, and its value if the setting is 0.
constexpr std::chrono::microseconds kMaxDrainGrace = std::chrono::seconds(2);
// The platform responds to a final notice without delay, and counts a message as lost if its notice is 300 ms
// late. This timeout leaves time for retries.
constexpr std::chrono::microseconds kNoticeResponseTimeout = std::chrono::milliseconds(75);

DeliveryLimits delivery_limits(const Config& config) {
  DeliveryLimits limits;
  limits.max_calls_in_flight = static_cast<std::size_t>(config.settings.max_calls_in_flight);
  limits.connect_timeout = config.settings.connect_timeout;
  limits.idle_timeout = config.settings.connection_idle_timeout;
  limits.max_connections = config.endpoint_connections;
  limits.load_reports_in_responses = config.load_reports_in_responses;
  return limits;
}

// If discovery pushes the list, unanswered queries and silent watches time out early enough that a new query
// or watch can still report a draining endpoint within its grace period.
PlatformTimeouts platform_timeouts(const dispatch::Settings& settings) {
  if (!settings.list_is_pushed)
    return {to_duration(settings.poll_timeout), to_duration(settings.subscription_timeout),
            kNoticeResponseTimeout};
  const auto grace =
      settings.drain_grace > 0 ? std::min(to_duration(settings.drain_grace), kMaxDrainGrace) : kMaxDrainGrace;
  return {grace / 4, kWatchHeartbeatInterval + grace / 2, kNoticeResponseTimeout};
}

// The last endpoint list of an earlier process.
const EndpointList& cached_list(const Config& config, const StartupOwnership& ownership) {
  return ownership.inherited ? ownership.inherited->endpoint_list : config.cached_list;
}

Time longest_deadline(const dispatch::Settings& settings) {
  Time longest = 0;
  for (const auto& message_class : settings.classes) longest = std::max(longest, message_class.deadline);
  return longest;
}

}  // namespace

Relay::Relay(net::io_context& io, const Config& config, StartupOwnership ownership)
    : io_(io),
      config_(config),
      ownership_(std::move(ownership)),
      memory_(
          account_capacity(config.memory_bytes, config.disk_bytes, config.descriptors, config.program_bytes),
          config.program_bytes, resident_bytes, trim_allocator),
      endpoints_memory_(memory_, MemoryUse::endpoint_list),
      memory_review_timer_(io),
      journal_(config.state_folder, config.disk_bytes - kJournalClockBytes),
      dispatcher_(config.settings, config.seed),
      metrics_(config.setting_names.classes),
      registry_(journal_, metrics_, memory_, longest_deadline(config.settings)),
      delivery_(io, delivery_limits(config), memory_,
                [this](const event::AttemptEnded& ended) { on_attempt_ended(ended); }),
      platform_(
          io, config.discovery_address, config.setting_names, platform_timeouts(config.settings),
          cached_list(config, ownership_).version, memory_,
          [this](const EndpointList& list) { return on_endpoint_list(list); },
          [this](event::SubscriptionLossReason reason) {
            events_.add(event::EndpointListSubscriptionLost{reason});
          },
          [this](const std::vector<MessageId>& ids) { on_notices_acknowledged(ids); }),
      events_(io, config.settings.min_round_interval, [this] { decision_round_.run(); }),
      timers_(io, events_),
      plan_executor_(journal_, directory_, delivery_, platform_, events_),
      write_ahead_(io, journal_, registry_, plan_executor_, events_),
      readiness_(directory_, write_ahead_),
      admission_(static_cast<std::size_t>(config.settings.max_open_messages), journal_, write_ahead_,
                 registry_, directory_, metrics_, events_, io),
      compactor_(io, journal_),
      decision_round_(config, {.dispatcher = dispatcher_,
                               .events = events_,
                               .timers = timers_,
                               .admission = admission_,
                               .journal = journal_,
                               .compactor = compactor_,
                               .registry = registry_,
                               .directory = directory_,
                               .write_ahead = write_ahead_,
                               .delivery = delivery_,
                               .platform = platform_,
                               .gossip = gossip_}) {
  if (config.settings.gossip && config.peer_listen_address)
    gossip_.emplace(io, *config.peer_listen_address, config.peer_addresses, config.peer_broadcast_address,
                    config.settings.relay_index, [this](int sender, std::string payload) {
                      events_.add_gossip({sender, std::move(payload)});
                    });
  load_cached_list(cached_list(config, ownership_));
  if (ownership_.inherited) restore_inherited(*ownership_.inherited);
  recover(ownership_.inherited ? ownership_.inherited->calls : std::vector<InFlightCall>());
  decision_round_.run();
  listen_for_clients();
  if (ownership_.inherited) adopt_inherited_clients();
  shutdown_.emplace(io, GracefulShutdown::Collaborators{.readiness = readiness_,
                                                        .round = decision_round_,
                                                        .journal = journal_,
                                                        .write_ahead = write_ahead_,
                                                        .admission = admission_,
                                                        .delivery = delivery_,
                                                        .ingress = *ingress_});
  listen_for_handover_requests();
  listen_for_operators();
  review_memory_later();
  log("listening as " + config.name + ", memory for peers: " + std::to_string(memory_.capacity()) + " bytes");
}

void Relay::log_evicted_holders() {
  const std::uint64_t evicted = memory_.evicted_holders() - logged_evictions_;
  if (evicted == 0) return;
  logged_evictions_ = memory_.evicted_holders();
  log("memory: short; " + std::to_string(evicted) + " holders evicted; bytes:" + describe(memory_));
}

// Lets memory that is not used any more go back to the system, also while nothing is charged.
void Relay::review_memory_later() {
  memory_review_timer_.expires_after(kMemoryReviewInterval);
  memory_review_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    registry_.remove_expired_ids();
    memory_.review();
    log_evicted_holders();
    review_memory_later();
  });
}

// ---- Startup ----
void Relay::load_cached_list(const EndpointList& list) {
  for (const auto& entry : list.entries) delivery_.set_address(entry.endpoint.id, entry.address);
  directory_.load_cached(list);
  endpoints_memory_.resize(directory_.memory_bytes());
  events_.add_without_round(event::EndpointListSnapshot{endpoints_of(list), true});
}

// Restores the handed-over state that is not in the journal.
void Relay::restore_inherited(HandoverState& state) {
  readiness_.set_paused(state.paused);
  directory_.restore(state.list_received, state.ever_listed, state.destinations);
  registry_.restore(state.next_message_id, std::move(state.completed_ids));
  events_.add_without_round(event::LearnedStateRestored{state.learned_state});
  for (InFlightCall& call : state.calls) {
    restore_repeatability(call);
    delivery_.adopt(call);
  }
}

void Relay::restore_repeatability(InFlightCall& call) const {
  for (OutgoingMessage& message : call.messages) {
    const auto entry = journal_.messages().find(message.id);
    if (entry == journal_.messages().end()) continue;
    message.repeatable = is_repeatable(entry->second.message, config_.settings, config_.setting_names);
  }
}

// Messages that an earlier process accepted must still be delivered or answered. `calls` are the handed-over
// calls in flight.
void Relay::recover(const std::vector<InFlightCall>& calls) {
  if (journal_.dropped_bytes() > 0)
    log("journal: removed " + std::to_string(journal_.dropped_bytes()) +
        " bytes after the last intact record");
  for (const auto& endpoint : journal_.suspended_endpoints())
    events_.add_without_round(event::EndpointSuspension{endpoint, true});
  for (const auto& [destination, limit] : journal_.limited_destinations())
    events_.add_without_round(event::DestinationLimitRecovered{destination, limit});
  registry_.index_journal();
  const RecoveredMessages recovered = recover_messages(journal_, config_.setting_names, calls, events_);
  for (const MessageId id : recovered.awaiting_notice) {
    const JournaledMessage& journaled = journal_.messages().at(id);
    platform_.send_final_notice(id, journaled.message.id, *journaled.final_answer);
  }
  Plan plan;
  for (const MessageId id : recovered.unknown_class) {
    journal_.record_final_answer(id, {});
    plan.final_notices.push_back(id);
  }
  write_ahead_.enqueue(std::move(plan));
  if (!journal_.messages().empty())
    log("journal: recovered " + std::to_string(journal_.messages().size()) + " messages");
}

void Relay::listen_for_clients() {
  ingress_.emplace(
      io_, client_acceptor(), config_.settings, config_.setting_names, config_.client_connections, memory_,
      [this](Message message, ResponseCallback respond) {
        admission_.submit(std::move(message), std::move(respond));
      },
      [this] { return !readiness_.not_ready_reason(); });
}

tcp::acceptor Relay::client_acceptor() const {
  if (!ownership_.inherited) return {io_, config_.listen_address};
  return {io_, config_.listen_address.protocol(), ownership_.inherited->listener};
}

void Relay::adopt_inherited_clients() {
  HandoverState& state = *ownership_.inherited;
  for (ClientConnection& client : state.clients) ingress_->adopt(std::move(client));
  if (readiness_.paused()) ingress_->drain(true);
  log("handover: took over " + std::to_string(state.clients.size()) + " client connections, " +
      std::to_string(state.calls.size()) + " calls in flight");
  ownership_.inherited.reset();
}

void Relay::listen_for_handover_requests() {
  upgrade_.emplace(io_, config_, ownership_.lock.get(),
                   Upgrade::Collaborators{.round = decision_round_,
                                          .events = events_,
                                          .admission = admission_,
                                          .write_ahead = write_ahead_,
                                          .journal = journal_,
                                          .compactor = compactor_,
                                          .dispatcher = dispatcher_,
                                          .directory = directory_,
                                          .registry = registry_,
                                          .readiness = readiness_,
                                          .platform = platform_,
                                          .delivery = delivery_,
                                          .ingress = *ingress_});
  handover_listener_.emplace(io_, config_.state_folder,
                             [this](HandoverChannel channel) { upgrade_->request(std::move(channel)); });
}

void Relay::listen_for_operators() {
  if (!config_.operator_address) return;
  operator_commands_.emplace(OperatorCommands::Collaborators{.readiness = readiness_,
                                                             .journal = journal_,
                                                             .events = events_,
                                                             .round = decision_round_,
                                                             .write_ahead = write_ahead_,
                                                             .directory = directory_,
                                                             .delivery = delivery_,
                                                             .ingress = *ingress_,
                                                             .dispatcher = dispatcher_,
                                                             .metrics = metrics_,
                                                             .memory = memory_,
                                                             .admission = admission_});
  operator_server_.emplace(
      io_, *config_.operator_address, config_.operator_connections, memory_,
      [this](const OperatorCommand& command) { return operator_commands_->run(command); });
}

// ---- Results of attempts and notifications of the platform ----
void Relay::on_attempt_ended(const event::AttemptEnded& ended) {
  metrics_.count_attempt(ended.outcome);
  if (ended.message_settled) {
    const bool succeeded = ended.outcome == Outcome::succeeded;
    registry_.complete(ended.id, succeeded ? std::optional(Completion::succeeded) : std::nullopt,
                       AdmissionResult::accepted);
  } else if (journal_.messages().contains(ended.id)) {
    journal_.record_outcome(ended.id, ended.attempt, ended.outcome);
  }
  write_ahead_.commit();
  events_.add(ended);
  // Calls that still wait for a connection must not be sent before the Retry-After period is over.
  if (ended.retry_after > 0) {
    const auto bound = directory_.endpoints_bound_by_retry_after(ended.endpoint, config_.settings.kinds);
    for (const EndpointId& endpoint : bound) delivery_.cancel_unsent(endpoint);
  }
}

bool Relay::on_endpoint_list(const EndpointList& list) {
  const std::size_t bytes = directory_.memory_bytes_while_applying(list);
  // A list of the endpoints that are known is used in any case, as it tells which of them are draining.
  if (!directory_.has_new_endpoint(list))
    endpoints_memory_.resize(bytes);
  else if (!endpoints_memory_.try_resize(bytes))
    return false;
  for (const auto& entry : list.entries) delivery_.set_address(entry.endpoint.id, entry.address);
  const std::vector<UnavailableEndpoint> unavailable = directory_.apply(list);
  log_endpoint_list(list);
  for (const auto& [id, status] : unavailable) {
    stop_sending_to(id);
    if (status == EndpointStatus::removed) delivery_.remove_endpoint(id);
  }
  if (list.is_snapshot)
    events_.add(event::EndpointListSnapshot{endpoints_of(list), false});
  else
    events_.add(event::EndpointListUpdate{endpoints_of(list)});
  endpoints_memory_.resize(directory_.memory_bytes());
  return true;
}

void Relay::on_notices_acknowledged(const std::vector<MessageId>& ids) {
  for (const MessageId id : ids) complete_acknowledged(id);
  write_ahead_.commit();
}

void Relay::complete_acknowledged(MessageId id) {
  const auto entry = journal_.messages().find(id);
  if (entry == journal_.messages().end() || !entry->second.final_answer) return;
  registry_.complete(id, completion_of(*entry->second.final_answer), AdmissionResult::accepted);
}

void Relay::stop_sending_to(const EndpointId& endpoint) {
  delivery_.cancel_unsent(endpoint);
  delivery_.close_idle(endpoint);
}

// ---- Reconfiguration and shutdown ----
void Relay::reconfigure(const Config& config) {
  log("configuration reloaded: discovery at " + format_address(config.discovery_address));
  platform_.relocate(config.discovery_address);
}

void Relay::stop(std::function<void()> done) { shutdown_->begin(std::move(done)); }

}  // namespace message_relay
