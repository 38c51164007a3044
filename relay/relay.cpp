#include "relay.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cstdlib>

#include "log.hpp"

namespace message_relay {

namespace net = boost::asio;
namespace event = dispatch::event;
namespace action = dispatch::action;
using boost::system::error_code;
using dispatch::EndpointStatus;
using net::ip::tcp;

namespace {

// Share of the memory for bodies that are being read.
constexpr std::size_t kBodyPart = 8;
constexpr std::size_t kMostDestinations = 4096;  // remembered besides those that are listed
constexpr std::size_t kMostEndpoints = 16'384;   // ids remembered that a list has named
constexpr Time kComeBack = 500'000;              // what found no room may come again after this
constexpr auto kStallRetry = std::chrono::milliseconds(20);
// After SIGTERM, whose SIGKILL comes no sooner than 3.7 s later: how long new connections may still come;
// until when calls are begun; when the process ends, with calls out or not.
constexpr Time kDrainAccept = 600'000, kDrainSend = 1'500'000, kDrainMost = 3'000'000;
constexpr auto kDrainLook = std::chrono::milliseconds(20);

// An empty line comes on a watch so often.
constexpr std::chrono::microseconds kHeartbeat = std::chrono::seconds(2),
                                    kMostGrace = std::chrono::seconds(2);
// The platform answers a notice at once; a message whose notice is 300 ms late is lost.
constexpr std::chrono::microseconds kNoticeAnswer = std::chrono::milliseconds(75);

// A process that asks to take over waits so long, in such steps, for an instant at which nothing is under
// way.
constexpr Time kQuietMost = 400'000;
constexpr auto kQuietLook = std::chrono::milliseconds(1);
// Descriptors that each of two processes holds besides clients' and endpoints' connections.
constexpr std::size_t kOtherFiles = 48;

std::chrono::microseconds span(Time t) { return std::chrono::microseconds(std::max<Time>(t, 0)); }

DeliveryLimits call_limits(const Config& c) {
  DeliveryLimits limits;
  limits.max_calls_in_flight = static_cast<std::size_t>(c.settings.max_calls_in_flight);
  limits.connect_timeout = c.settings.connect_timeout;
  limits.idle_timeout = c.settings.connection_idle_timeout;
  limits.max_connections = c.endpoint_connections;
  limits.load_reports_in_responses = c.load_reports_in_responses;
  return limits;
}

// The list as an earlier life of this relay last had it.
const EndpointList& known_to(const Config& config, const StartupOwnership& possession) {
  return possession.inherited ? possession.inherited->endpoint_list : config.cached_list;
}

// A call for the list that nobody answers is given up, and a watch that has fallen silent taken as broken, so
// soon that another can still tell of a drain within its grace.
PlatformTimeouts patience(const dispatch::Settings& s) {
  if (!s.list_is_pushed) return {span(s.poll_timeout), span(s.watch_timeout), kNoticeAnswer};
  const auto grace = s.drain_grace > 0 ? std::min(span(s.drain_grace), kMostGrace) : kMostGrace;
  return {grace / 4, kHeartbeat + grace / 2, kNoticeAnswer};
}

Time longest_deadline(const dispatch::Settings& s) {
  Time longest = 0;
  for (const auto& c : s.classes) longest = std::max(longest, c.deadline);
  return longest;
}

std::string text_of(const net::ip::tcp::endpoint& e) {
  return e.address().to_string() + ":" + std::to_string(e.port());
}

std::vector<dispatch::Endpoint> endpoints_of(const EndpointList& list) {
  std::vector<dispatch::Endpoint> endpoints;
  for (const auto& m : list.entries) endpoints.push_back(m.endpoint);
  return endpoints;
}

}  // namespace

Relay::Relay(net::io_context& io, const Config& config, StartupOwnership possession)
    : io_(io),
      config_(config),
      possession_(std::move(possession)),
      journal_(config.state_folder, config.disk_bytes),
      dispatcher_(config.settings, config.seed),
      calls_(io, call_limits(config), [this](const event::AttemptEnded& e) { ended(e); }),
      platform_(
          io, config.discovery, config.setting_names, patience(config.settings),
          known_to(config, possession_).version, [this](EndpointList list) { listed(std::move(list)); },
          [this](event::ListLossReason why) { happened(event::EndpointListLost{why}); },
          [this](const std::vector<MessageId>& ids) {
            for (const MessageId id : ids) noticed(id);
            settle();
          }),
      figures_(config.setting_names.classes),
      recent_(longest_deadline(config.settings)),
      round_timer_(io),
      module_timer_(io),
      stall_timer_(io),
      drain_timer_(io),
      handover_timer_(io) {
  const auto& s = config.settings;
  if (s.gossip && config.peer_listen)
    peers_.emplace(io, *config.peer_listen, config.peers, config.peers_all, s.relay_index,
                   [this](int from, std::string body) {
                     happened(event::GossipReceived{from, std::move(body)});
                   });
  const EndpointList& known = known_to(config, possession_);
  for (const auto& m : known.entries) {
    calls_.set_address(m.endpoint.id, m.address);
    endpoints_[m.endpoint.id] = m.endpoint;
    destinations_.insert(m.endpoint.destination);
    ever_listed_.insert(m.endpoint.id);
  }
  events_.push_back(event::EndpointListSnapshot{endpoints_of(known), true});
  if (possession_.inherited) take_over(*possession_.inherited);
  recover(possession_.inherited ? possession_.inherited->calls : std::vector<InFlightCall>());
  round();
  intake_.emplace(
      io, listener(), config.settings, config.setting_names,
      IngressLimits{config.client_connections, config.memory_bytes / kBodyPart},
      [this](Message m, ResponseCallback reply) { arrive(std::move(m), std::move(reply)); },
      [this] { return ready(); });
  if (possession_.inherited) {
    for (const auto& client : possession_.inherited->clients) intake_->adopt(client);
    if (paused_) intake_->drain(true);
    log("took over " + std::to_string(possession_.inherited->clients.size()) + " clients' connections, " +
        std::to_string(possession_.inherited->calls.size()) + " calls out");
    possession_.inherited.reset();
  }
  successors_.emplace(io, config.state_folder, [this](HandoverChannel channel) {
    // The newest is served: one that asked before may have left since, and asks again if it has not.
    const bool waiting = successor_.has_value();
    successor_ = std::move(channel);
    if (waiting) return;
    asked_at_ = steady_now();
    hand_over();
  });
  if (config.operators)
    operators_.emplace(io, *config.operators, config.operator_connections,
                       [this](const OperatorCommand& call) { return operate(call); });
  log("listening as " + config.name);
}

// What was taken on in an earlier life is still owed its end.
void Relay::recover(const std::vector<InFlightCall>& calls) {
  if (journal_.dropped_bytes() > 0)
    log("journal: dropped " + std::to_string(journal_.dropped_bytes()) + " torn bytes at its end");
  for (const auto& endpoint : journal_.suspended_endpoints())
    events_.push_back(event::EndpointSuspension{endpoint, true});
  std::map<MessageId, event::CallInFlight> out;
  for (std::size_t i = 0; i < calls.size(); i++)
    for (const auto& m : calls[i].messages) out[m.id] = {calls[i].endpoint, i, m.attempt, calls[i].sent_at};
  std::vector<MessageId> unknown;
  for (const auto& [id, held] : journal_.messages()) {
    next_number_ = std::max(next_number_, id + 1);
    numbers_[held.message.id] = id;
    if (held.final_answer) {
      platform_.send_final_notice(id, held.message.id, *held.final_answer);
      continue;
    }
    if (config_.setting_names.classes.count(held.message.message_class) == 0) {
      unknown.push_back(id);
      continue;
    }
    event::MessageRecovered r;
    r.message = arrival(id, held.message);
    r.attempts_made = static_cast<int>(held.attempts.size());
    if (const auto call = out.find(id); call != out.end()) r.in_flight = call->second;
    for (const auto& a : held.attempts) {
      const bool is_out = r.in_flight && &a - held.attempts.data() == r.in_flight->attempt;
      if (is_out || !a.may_have_executed() || r.possible_execution_zone) continue;
      r.possible_execution_zone = a.zone;
      r.possible_execution_sent_at = steady_now() - std::max<Time>(wall_now() - a.sent_at, 0);
    }
    events_.push_back(std::move(r));
  }
  Plan plan;
  for (const MessageId id : unknown) finish(plan, id, {});  // a class that the settings no longer have
  stalled_.push_back(std::move(plan));
  if (!journal_.messages().empty())
    log("recovered " + std::to_string(journal_.messages().size()) + " messages");
}

// What is not in the journal of what another process handed over.
void Relay::take_over(const HandoverState& estate) {
  list_told_ = estate.list_received, paused_ = estate.paused, next_number_ = estate.next_number;
  destinations_.insert(estate.destinations.begin(), estate.destinations.end());
  ever_listed_.insert(estate.ever_listed.begin(), estate.ever_listed.end());
  recent_.restore(estate.completed_ids);
  events_.push_back(event::LearnedStateRestored{estate.learned_state});
  for (const auto& call : estate.calls) calls_.adopt(call);
}

// The other process's, which never stops listening; else a new one.
tcp::acceptor Relay::listener() const {
  if (!possession_.inherited) return tcp::acceptor(io_, config_.listen);
  return tcp::acceptor(io_, config_.listen.protocol(), possession_.inherited->listener);
}

event::Arrival Relay::arrival(MessageId id, const Message& m) const {
  event::Arrival a;
  a.id = id;
  a.destination = m.destination;
  a.message_class = config_.setting_names.classes.at(m.message_class);
  a.tenant = configuration::index_of(config_.setting_names.tenants, m.tenant);
  a.time_to_deadline = m.deadline - wall_now();
  a.resubmitted = m.resubmitted;
  a.order_key = m.order_key;
  return a;
}

bool Relay::ready() const {
  const auto active = [](const auto& entry) { return entry.second.status == EndpointStatus::active; };
  return !stopping_ && !paused_ && !unwritten_ && std::any_of(endpoints_.begin(), endpoints_.end(), active);
}

// ---- What comes in. ----
void Relay::arrive(Message message, ResponseCallback reply) {
  // Of one id at a time: what the first is told holds for all.
  if (const auto first = twins_.find(message.id); first != twins_.end())
    return first->second.push_back(std::move(reply));
  // ParsedRequest in once more on a new connection, since the answer was lost: it is ours already. One that
  // is over must not be sent again either.
  if (numbers_.count(message.id) > 0 || recent_.contains(message.id)) return reply({202, 0});
  // Before discovery has told its list, an unknown destination may only be unknown yet.
  if (destinations_.count(message.destination) == 0)
    return list_told_
               ? reply({404, 0, "unknown destination"})
               : (figures_.count(message.message_class, Completion::declined), reply({503, kComeBack}));
  const std::size_t open = arrived_.size() + journal_.unanswered_count();
  if (open >= static_cast<std::size_t>(config_.settings.max_open_messages) || unwritten_ ||
      !journal_.has_capacity_for(message, arrived_cost_))
    return figures_.count(message.message_class, Completion::declined), reply({503, kComeBack});
  reply = shared(message.id, std::move(reply));
  arrived_cost_ += Journal::reserved_bytes(message);
  arrived_.push_back({std::move(message), std::move(reply)});
  schedule();
}

// A reply that answers all that hand in this id until then.
ResponseCallback Relay::shared(const std::string& id, ResponseCallback reply) {
  twins_[id];
  return [this, id, reply = std::move(reply)](const ClientResponse& a) {
    reply(a);
    const auto twins = twins_.extract(id);
    for (const auto& twin : twins.mapped()) twin(a);
  };
}

void Relay::ended(const event::AttemptEnded& e) {
  if (e.message_settled)
    over(e.id, e.outcome == Outcome::succeeded ? std::optional(Completion::succeeded) : std::nullopt);
  else if (journal_.messages().count(e.id) > 0)
    journal_.record_outcome(e.id, e.attempt, e.outcome);
  settle();
  happened(e);
  // Guards against calls whose connections come up after the wait was told.
  if (e.retry_after > 0) hold_back(e.endpoint);
}

void Relay::hold_back(const EndpointId& endpoint) {
  const auto it = endpoints_.find(endpoint);
  if (it == endpoints_.end()) return;
  const auto kind = static_cast<std::size_t>(it->second.kind);
  const bool apart = kind < config_.settings.kinds.size() && config_.settings.kinds[kind].independent_routes;
  for (const auto& [id, e] : endpoints_)
    if (id == endpoint || (!apart && e.destination == it->second.destination)) calls_.cancel_unsent(id);
}

// So that a call can be held against the list it was decided by.
void Relay::log_list(const EndpointList& list) {
  std::string leaving;
  for (const auto& m : list.entries)
    if (m.endpoint.status != EndpointStatus::active) leaving += " " + m.endpoint.id;
  log("discovery: version " + std::to_string(list.version) + ", " +
      (list.is_snapshot ? "whole, " : "changes, ") + std::to_string(list.entries.size()) + " endpoints" +
      (leaving.empty() ? "" : "; leaving:" + leaving));
}

void Relay::listed(EndpointList list) {
  if (list.is_snapshot) {
    std::set<EndpointId> named;
    for (const auto& m : list.entries) named.insert(m.endpoint.id);
    for (auto& [id, e] : endpoints_)
      if (named.count(id) == 0) e.status = EndpointStatus::removed;
  }
  for (const auto& m : list.entries) {
    calls_.set_address(m.endpoint.id, m.address);
    endpoints_[m.endpoint.id] = m.endpoint;
    destinations_.insert(m.endpoint.destination);
    ever_listed_.insert(m.endpoint.id);
  }
  list_told_ = true;
  log_list(list);
  for (const auto& [id, e] : endpoints_) {
    if (e.status == EndpointStatus::active) continue;
    leave(id);
    if (e.status == EndpointStatus::removed) calls_.forget(id);
  }
  std::erase_if(endpoints_, [](const auto& entry) { return entry.second.status == EndpointStatus::removed; });
  if (destinations_.size() > kMostDestinations + endpoints_.size()) {
    destinations_.clear();
    for (const auto& [id, e] : endpoints_) destinations_.insert(e.destination);
  }
  if (ever_listed_.size() > kMostEndpoints) {
    ever_listed_.clear();
    for (const auto& [id, e] : endpoints_) ever_listed_.insert(id);
  }
  if (list.is_snapshot)
    happened(event::EndpointListSnapshot{endpoints_of(list), false});
  else
    happened(event::EndpointListUpdate{endpoints_of(list)});
}

void Relay::schedule() {
  if (round_due_) return;
  round_due_ = true;
  round_timer_.expires_after(span(last_round_ + config_.settings.min_round_interval - steady_now()));
  round_timer_.async_wait([this](error_code bad) {
    if (!bad) round();
  });
}

// ---- The round. ----
void Relay::round() {
  round_due_ = false;
  last_round_ = steady_now();
  Plan plan;
  auto arrived = std::exchange(arrived_, {});
  arrived_cost_ = 0;
  for (auto& a : arrived) {
    const MessageId id = next_number_++;
    numbers_[a.message.id] = id;
    events_.push_back(arrival(id, a.message));
    unanswered_[id] = std::move(a.reply);
    journal_.record_message(id, std::move(a.message));
  }
  if (!frozen_) decide(plan);
  for (auto& [id, reply] : unanswered_) plan.answers.push_back({id, std::move(reply), {202, 0}});
  unanswered_.clear();
  stalled_.push_back(std::move(plan));
  settle();
  if (journal_.wants_compaction()) compact();
}

void Relay::decide(Plan& plan) {
  std::vector<dispatch::Action> actions;
  const auto events = std::exchange(events_, {});
  dispatcher_.handle(last_round_, events, actions);
  for (const auto& a : actions) {
    if (const auto* x = std::get_if<action::Send>(&a))
      send(plan, *x);
    else if (const auto* r = std::get_if<action::Reject>(&a))
      finish(plan, r->id, {true, r->retry_after});
    else if (const auto* f = std::get_if<action::Fail>(&a))
      finish(plan, f->id, {false, 0});
    else if (const auto* c = std::get_if<action::Cancel>(&a))
      calls_.cancel(c->id, c->attempt);
    else if (const auto* i = std::get_if<action::CloseIdleConnections>(&a))
      calls_.close_idle(i->endpoint);
    else if (const auto* t = std::get_if<action::SetTimer>(&a))
      set_timer(t->after, t->token);
    else if (std::holds_alternative<action::FetchEndpointList>(a))
      platform_.fetch();
    else if (const auto* s = std::get_if<action::Subscribe>(&a))
      s->enabled ? platform_.watch() : platform_.unwatch();
    else if (const auto* n = std::get_if<action::SendGossip>(&a))
      peers_ ? peers_->send(n->recipient, n->payload) : void();
    else if (const auto* l = std::get_if<action::Log>(&a))
      log(l->text);
  }
}

void Relay::send(Plan& plan, const action::Send& a) {
  const auto held = journal_.messages().find(a.id);
  const auto endpoint = endpoints_.find(a.endpoint);
  if (held == journal_.messages().end() || held->second.final_answer) return;
  const auto& h = held->second;
  const int zone = endpoint == endpoints_.end() ? -1 : endpoint->second.zone;
  const auto kind =
      endpoint == endpoints_.end() ? std::size_t{0} : static_cast<std::size_t>(endpoint->second.kind);
  const auto& kinds = config_.settings.kinds;
  const auto most = static_cast<std::size_t>(kind < kinds.size() ? kinds[kind].max_batch_size : 1);
  OutgoingMessage one{a.id,
                      static_cast<int>(h.attempts.size()),
                      a.timeout,
                      h.message.id,
                      h.message.body,
                      h.message.idempotency_key,
                      h.message.deadline - wall_now() - 2 * config_.settings.min_round_interval};
  if (a.start_within > 0) one.start_by = last_round_ + a.start_within;
  journal_.record_attempt(a.id, wall_now(), zone);
  // Sends of one round to one endpoint travel as one call, up to so many.
  const auto open = std::find_if(plan.calls.begin(), plan.calls.end(), [&](const auto& call) {
    return call.first == a.endpoint && call.second.size() < most;
  });
  if (open != plan.calls.end())
    open->second.push_back(std::move(one));
  else
    plan.calls.emplace_back(a.endpoint, std::vector<OutgoingMessage>{std::move(one)});
}

// An end that is not a delivery: told in the answer where the client still waits for it, else by a notice.
void Relay::finish(Plan& plan, MessageId id, const FinalAnswer& ending) {
  const auto held = journal_.messages().find(id);
  if (held == journal_.messages().end() || held->second.final_answer) return;
  if (const auto waiting = unanswered_.find(id); waiting != unanswered_.end()) {
    plan.answers.push_back(
        {0, std::move(waiting->second),
         ending.retryable ? ClientResponse{503, ending.retry_after} : ClientResponse{504, 0}});
    unanswered_.erase(waiting);
    return over(id, ending.retryable ? Completion::declined : Completion::aborted, false);
  }
  journal_.record_final_answer(id, ending);
  plan.endings.push_back(id);
}

// The platform has its notice.
void Relay::noticed(MessageId id) {
  const auto held = journal_.messages().find(id);
  if (held == journal_.messages().end() || !held->second.final_answer) return;
  over(id, held->second.final_answer->retryable ? Completion::declined : Completion::aborted);
}

// The one point where a message's end is settled; none where it was over without this relay.
void Relay::over(MessageId id, std::optional<Completion> end, bool was_taken_on) {
  const auto held = journal_.messages().find(id);
  if (held == journal_.messages().end()) return;
  if (end) figures_.count(held->second.message.message_class, *end);
  if (was_taken_on) recent_.add(held->second.message.id, steady_now());
  numbers_.erase(held->second.message.id);
  journal_.record_completed(id);
}

// Writes the records, then does what waited for them.
void Relay::settle() {
  if (!journal_.commit()) {
    if (stalled_.empty()) stalled_.emplace_back();
    if (!std::exchange(unwritten_, true)) log("journal: can't be written; taking nothing on until it can");
    // Their clients wait only so long: what stands in no record was not taken on.
    for (auto& plan : stalled_) {
      for (auto& a : plan.answers) {
        a.reply({503, kComeBack});
        if (a.id == 0) continue;
        over(a.id, Completion::declined, false);
        happened(event::ClientCancelled{a.id});
      }
      plan.answers.clear();
    }
    stall_timer_.expires_after(kStallRetry);
    return stall_timer_.async_wait([this](error_code bad) {
      if (!bad) settle();
    });
  }
  if (std::exchange(unwritten_, false)) log("journal: written again");
  for (auto& plan : std::exchange(stalled_, {})) carry_out(std::move(plan));
}

void Relay::carry_out(Plan plan) {
  for (auto& a : plan.answers) a.reply(a.answer);
  for (auto& call : plan.calls) {
    const EndpointId& endpoint = call.first;
    auto& messages = call.second;
    std::erase_if(messages, [&](const OutgoingMessage& m) {
      if (journal_.messages().count(m.id) > 0) return false;
      // Withdrawn while its records could not be written.
      event::AttemptEnded e;
      e.id = m.id, e.attempt = m.attempt, e.endpoint = endpoint, e.outcome = Outcome::not_sent,
      e.message_settled = true;
      happened(e);
      return true;
    });
    if (messages.empty()) continue;
    const auto listed = endpoints_.find(endpoint);
    const bool left = journal_.suspended_endpoints().count(endpoint) > 0 || listed == endpoints_.end() ||
                      listed->second.status != EndpointStatus::active;
    calls_.send(endpoint, std::move(messages));
    // Left out while the records could not be written: ends as not sent.
    if (left) calls_.cancel_unsent(endpoint);
  }
  for (const MessageId id : plan.endings) {
    const auto held = journal_.messages().find(id);
    if (held != journal_.messages().end())
      platform_.send_final_notice(id, held->second.message.id, *held->second.final_answer);
  }
}

// ---- Timers of the module. ----
void Relay::set_timer(Time after, std::uint64_t token) {
  timers_.emplace(last_round_ + after, token);
  arm_timers();
}

void Relay::arm_timers() {
  if (timers_.empty()) return;
  module_timer_.expires_after(span(timers_.begin()->first - steady_now()));
  module_timer_.async_wait([this](error_code bad) {
    if (bad) return;
    const Time now = steady_now();
    while (!timers_.empty() && timers_.begin()->first <= now) {
      happened(event::TimerExpired{timers_.begin()->second});
      timers_.erase(timers_.begin());
    }
    arm_timers();
  });
}

void Relay::compact() {
  if (std::exchange(compacting_, true)) return;
  net::post(io_, [this] {
    compacting_ = false;
    if (journal_.compact()) compact();
  });
}

// ---- What operators ask for. ----
std::string Relay::operate(const OperatorCommand& call) {
  switch (call.verb) {
    case OperatorVerb::status:
      return status();
    case OperatorVerb::metrics:
      return figures();
    case OperatorVerb::suspend:
    case OperatorVerb::restore:
      return suspend(call.endpoint, call.verb == OperatorVerb::suspend);
    case OperatorVerb::pause:
    case OperatorVerb::resume:
      return pause(call.verb == OperatorVerb::pause);
  }
  return "ERR unknown call\n";
}

std::string Relay::status() const {
  if (ready()) return "OK " + std::to_string(journal_.messages().size()) + " messages held\n";
  return std::string("ERR ") +
         (stopping_    ? "stopping"
          : paused_    ? "paused; RESUME ends it"
          : unwritten_ ? "the journal can't be written"
                       : "no endpoint in the list is ready") +
         "\n";
}

std::string Relay::figures() const {
  Gauges now;
  now.outstanding = journal_.messages().size();
  now.discovered = endpoints_.size();
  now.ejected = dispatcher_.ejected_endpoint_count();
  now.forwards = calls_.messages_written();
  return figures_.render(now) + "END\n";
}

// Nothing new goes to an endpoint from now on, by connections that still come up neither.
void Relay::leave(const EndpointId& endpoint) {
  calls_.cancel_unsent(endpoint);
  calls_.close_idle(endpoint);
}

std::string Relay::suspend(const EndpointId& id, bool on) {
  if (ever_listed_.count(id) == 0 && journal_.suspended_endpoints().count(id) == 0)
    return "ERR no list has named " + id + "\n";
  const bool changes = on != (journal_.suspended_endpoints().count(id) > 0);
  if (changes) {
    journal_.record_suspension(id, on ? SuspensionState::suspended : SuspensionState::restored);
    if (on) leave(id);
    // Decided in a round of its own: calls decided before it have gone, those of later ones keep it.
    events_.emplace_back(event::EndpointSuspension{id, on});
    round();
    log(std::string(on ? "suspended " : "restored ") + id + " by hand");
  }
  if (unwritten_)
    return "ERR " + id + ": done, but the journal can't be written; a restart would forget it\n";
  return "OK " + id + (on ? " suspended" : " restored") + (changes ? "\n" : " already\n");
}

std::string Relay::pause(bool on) {
  if (stopping_) return "ERR stopping\n";
  if (std::exchange(paused_, on) != on) {
    log(on ? "paused by hand" : "resumed by hand");
    intake_->drain(on);
  }
  return std::string("OK ") + (on ? "paused, " : "at work, ") + std::to_string(journal_.messages().size()) +
         " messages held\n";
}

// ---- A new configuration. ----
void Relay::reconfigure(const Config& config) {
  log("configuration read again: discovery at " + text_of(config.discovery));
  platform_.relocate(config.discovery);
}

// ---- The process that takes over. ----
HandoverState Relay::estate() {
  HandoverState e;
  e.endpoint_list.version = platform_.list_version();
  for (const auto& [id, endpoint] : endpoints_)
    if (const auto address = calls_.address_of(id)) e.endpoint_list.entries.push_back({endpoint, *address});
  e.list_received = list_told_, e.paused = paused_, e.next_number = next_number_;
  e.learned_state = dispatcher_.learned_state();
  e.ever_listed.assign(ever_listed_.begin(), ever_listed_.end());
  e.destinations.assign(destinations_.begin(), destinations_.end());
  e.completed_ids.assign(recent_.entries().begin(), recent_.entries().end());
  e.calls = calls_.in_flight_calls();
  e.clients = intake_->idle_clients();
  e.listener = intake_->listener();
  // For an instant both processes hold each descriptor. Of connections that would be too many those go that
  // were used and have been idle longest; a first request that may be on its way would be turned back
  // unheard.
  std::sort(e.clients.begin(), e.clients.end(), [](const IdleClient& a, const IdleClient& b) {
    return a.served_before != b.served_before ? b.served_before : a.idle_since > b.idle_since;
  });
  const std::size_t all = config_.client_connections + config_.endpoint_connections;
  const std::size_t room = all / 2 - std::min(all / 2, e.calls.size() + kOtherFiles);
  if (e.clients.size() > room) e.clients.resize(room);
  return e;
}

void Relay::hand_over() {
  // Calls that are being connected or written and requests that are being read can't change hands: an instant
  // without them comes soon. Where it does not, such calls end as not sent and such clients are cut off.
  const bool quiet = events_.empty() && arrived_.empty() && unanswered_.empty() && stalled_.empty() &&
                     !compacting_ && calls_.all_calls_written() && intake_->all_between_requests();
  if (!quiet && steady_now() - asked_at_ < kQuietMost) {
    handover_timer_.expires_after(kQuietLook);
    return handover_timer_.async_wait([this](error_code bad) {
      if (!bad) hand_over();
    });
  }
  if (!quiet) round();
  calls_.cancel_all_unsent();
  calls_.close_all_idle();
  HandoverChannel successor = std::move(*successor_);
  successor_.reset();
  if (unwritten_ || !journal_.consolidate()) return log("handover: not while the journal can't be written");
  const HandoverState all = estate();
  if (!message_relay::hand_over(successor, all, possession_.lock.get()))
    return log("handover: the other process did not take over; going on");
  log("handed over: " + std::to_string(journal_.messages().size()) + " messages held, " +
      std::to_string(all.clients.size()) + " clients' connections, " + std::to_string(all.calls.size()) +
      " calls out");
  // Nothing more is done here: closing in an orderly way would shut connections that are the other's by now.
  std::_Exit(0);
}

// ---- The end. ----
void Relay::stop(std::function<void()> done) {
  if (std::exchange(stopping_, true)) return;
  log("stopping: " + std::to_string(journal_.messages().size()) + " messages held");
  done_ = std::move(done);
  stop_at_ = steady_now();
  intake_->drain(true);
  check_drained();
}

void Relay::check_drained() {
  const Time since = steady_now() - stop_at_;
  if (!frozen_ && since >= kDrainSend) frozen_ = true;
  const bool home = calls_.in_flight_count() == 0 && (frozen_ || journal_.messages().empty());
  const bool quiet = since >= kDrainAccept && !intake_->busy() && arrived_.empty();
  if (since >= kDrainMost || (home && quiet && !unwritten_)) {
    log("stopped: " + std::to_string(journal_.messages().size()) + " messages left in the journal, " +
        std::to_string(calls_.in_flight_count()) + " calls out");
    return done_();
  }
  drain_timer_.expires_after(kDrainLook);
  drain_timer_.async_wait([this](error_code bad) {
    if (!bad) check_drained();
  });
}

}  // namespace message_relay
