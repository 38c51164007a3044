// Passes events to the components that make the decisions, and keeps the records of messages and calls.
#include "dispatch/dispatcher.hpp"

#include <algorithm>
#include <string>

#include "dispatcher_state.hpp"
#include "gossip_message.hpp"
#include "learned_state.hpp"

namespace dispatch {
namespace {

/// One hour, in microseconds. A timer that expires early is harmless.
constexpr Time kMaxTimerDuration = 3'600'000'000;
/// A destination that reports no more than this fraction of its limit as left rejects calls for that reason.
constexpr double kUsedUpFraction = 0.1;
/// The shortest observation, in seconds, of the demand from which a limit is computed.
constexpr double kMinDemandObservation = 5;
/// The time between two reviews of the limited destinations, in microseconds.
constexpr Time kLimitReviewInterval = 1'000'000;

/// Returns the name of an unsuccessful outcome in the log.
const char* cause_name(Outcome outcome) {
  switch (outcome) {
    case Outcome::rejected:
      return "rejected";
    case Outcome::error:
      return "error";
    case Outcome::reset:
      return "reset";
    case Outcome::connect_failed:
      return "connect_failed";
    default:
      return "no_answer";
  }
}

}  // namespace

Dispatcher::State::State(const Settings& initial_settings, std::uint64_t seed)
    : round(initial_settings, seed),
      settings(round.settings()),
      directory(settings),
      rejection_statistics(kRejectionStatisticsParameters, settings.kinds.size() + 1),
      outlier_detector(round, directory, calls) {
  for (const auto& tenant : settings.tenants) tenant_buckets.emplace_back(tenant_burst(tenant));
}

void Dispatcher::State::handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions) {
  round.begin(now, actions);
  for (const auto& event : events) std::visit([this](const auto& typed) { on(typed); }, event);
  recovered_calls.clear();
  poll_list();
  dispatch();
  close_unused_connections();
  review_limited_destinations();
  order_keys.remove_unused(round.now());
  directory.remove_unused(round);
  const Time wakeup = round.next_wakeup();
  if (wakeup >= timer_expires_at || wakeup >= kNever) return;
  timer_expires_at = wakeup;
  round.emit(action::SetTimer{std::min<Time>(wakeup - round.now(), kMaxTimerDuration), 0});
}

void Dispatcher::State::on(const event::EndpointListSnapshot& snapshot) {
  directory.mark_all_removed();
  for (const auto& endpoint : snapshot.endpoints) add_or_update(endpoint);
  snapshot.cached ? on_cached_list() : on_list_received();
}

void Dispatcher::State::on(const event::EndpointListUpdate& update) {
  for (const auto& endpoint : update.endpoints) add_or_update(endpoint);
  on_list_received();
}

void Dispatcher::State::on(const event::EndpointSuspension& suspension) {
  if (!directory.set_suspended(suspension.endpoint, suspension.suspended)) return;
  EndpointState* const endpoint = directory.find(suspension.endpoint);
  if (endpoint == nullptr) return;
  if (suspension.suspended)
    close_idle_connections(*endpoint);
  else
    outlier_detector.on_resumed(*endpoint);
}

void Dispatcher::State::on(const event::GossipReceived& gossip) {
  const auto rejecting_id = parse_rejection_gossip(gossip.payload);
  EndpointState* const endpoint = rejecting_id ? directory.find(*rejecting_id) : nullptr;
  if (endpoint == nullptr) return;
  directory.scope_of(*endpoint).limiter.reduce_admission(round, rejection_statistics, RejectionSource::gossip,
                                                         *rejecting_id);
}

void Dispatcher::State::on(const event::Arrival& arrival) {
  add_message(arrival);
  const auto destination = directory.destinations().find(arrival.destination);
  // While a destination is down, clients submit messages again that it would have taken once.
  if (!arrival.resubmitted && destination != directory.destinations().end())
    destination->second.scope.arrivals.add_event(round.now());
}

void Dispatcher::State::add_message(const event::Arrival& arrival) {
  Message& message = messages[arrival.id];
  message.id = arrival.id;
  message.destination = arrival.destination;
  message.message_class = &settings.classes[static_cast<std::size_t>(arrival.message_class)];
  message.deadline = round.now() + arrival.time_to_deadline;
  message.not_before = round.now();
  message.full_value_until =
      message.deadline - message.message_class->deadline + message.message_class->latency_objective;
  message.weight = message.message_class->priority_weight * tenant_weight_fraction(arrival.tenant);
  message.order_key = message.message_class->ordered ? arrival.order_key : std::string();
  message.batch_bytes = arrival.batch_bytes;
  if (!message.order_key.empty()) order_keys.add(message.order_key, message.id);
  const auto& endpoints = directory.endpoints_of(message.destination);
  if (!endpoints.empty()) low_rate_pacer.on_arrival(round, directory.scope_of(*endpoints.front()).limiter);
}

void Dispatcher::State::on(const event::MessageRecovered& recovered) {
  add_message(recovered.message);
  const auto it = messages.find(recovered.message.id);
  Message& message = it->second;
  message.attempts_made = recovered.attempts_made;
  message.possible_execution_zone = recovered.possible_execution_zone;
  message.possible_execution_sent_at = recovered.possible_execution_sent_at;
  if (recovered.in_flight) return recover_call(message, *recovered.in_flight);
  resume_delivery(message);
  remove_if_done(it);
}

// A restart ends no outage: what the earlier process observed limits the calls of this one. The destination
// may be missing from the list that is known so far.
void Dispatcher::State::on(const event::DestinationLimitRecovered& recovered) {
  limited_destinations[recovered.destination] = recovered.limit;
  log_destination_limited(recovered.destination, "restart");
  for (EndpointState* const endpoint : directory.endpoints_of(recovered.destination))
    restore_limit(*endpoint, recovered.limit);
}

// The demand that an earlier process did not know is assumed to be an equal share of the limit.
void Dispatcher::State::restore_limit(EndpointState& endpoint, const DestinationLimit& limit) {
  RateLimitScope& scope = directory.scope_of(endpoint);
  const double rate_limit = scope.limiter.rate_limit();
  double demand = limit.demand > 0 ? limit.demand : rate_limit / settings.relay_count;
  if (endpoint.is_independent) demand /= static_cast<double>(directory.siblings_of(endpoint).size());
  RateEstimator& estimator = endpoint.is_independent ? endpoint.demand : scope.arrivals;
  if (estimator.rate(round.now()) < demand) estimator.restore(round.now(), demand);
  if (scope.slow_start.is_active()) return;
  // Any call that is served from now on was sent later than the unsuccessful one.
  scope.slow_start.on_unsuccessful(round, {.sent_at = 0}, {.demand = demand, .rate_limit = rate_limit});
}

void Dispatcher::State::on_destination_limited(DestinationId destination, const char* cause) {
  const auto found = directory.destinations().find(destination);
  DestinationLimit limit;
  if (found != directory.destinations().end())
    limit.demand = found->second.scope.arrivals.rate(round.now(), kMinDemandObservation);
  if (limited_destinations.try_emplace(destination, limit).second)
    log_destination_limited(destination, cause);
}

void Dispatcher::State::log_destination_limited(DestinationId destination, const char* cause) {
  round.log("destination_limited destination=" + std::to_string(destination) + " cause=" + cause);
}

// Reviews the limited destinations at intervals, because a limit may end without an event, and because at a
// destination that fails now and then it begins and ends many times a second. A destination that is not
// listed stays limited: it may be listed again before it has served a call.
void Dispatcher::State::review_limited_destinations() {
  if (limited_destinations.empty() || round.now() < next_limit_review_at) return;
  next_limit_review_at = round.now() + kLimitReviewInterval;
  std::erase_if(limited_destinations, [this](const auto& entry) {
    const DestinationId destination = entry.first;
    const auto& endpoints = directory.endpoints_of(destination);
    if (endpoints.empty()) return false;
    const bool is_limited = std::any_of(endpoints.begin(), endpoints.end(), [this](EndpointState* endpoint) {
      return directory.scope_of(*endpoint).slow_start.is_limiting(round);
    });
    if (!is_limited) round.log("destination_unlimited destination=" + std::to_string(destination));
    return !is_limited;
  });
}

void Dispatcher::State::add_or_update(const Endpoint& info) {
  const auto [endpoint, is_new] = directory.update(info);
  directory.scope_of(endpoint).limiter.initialize_from_weight(round, info.weight);
  if (!is_new) return;
  initialize_estimates(endpoint);
  outlier_detector.on_added(endpoint);
  const auto& siblings = directory.siblings_of(endpoint);
  const bool all_limited = std::all_of(siblings.begin(), siblings.end(), [this](EndpointState* sibling) {
    return directory.scope_of(*sibling).slow_start.is_active();
  });
  directory.add_sibling(endpoint);
  const auto limit = limited_destinations.find(info.destination);
  if (all_limited && limit != limited_destinations.end()) restore_limit(endpoint, limit->second);
}

// A recovered call counts as in flight for its endpoint and its message, and its outcome counts for the
// health of the endpoint.
void Dispatcher::State::recover_call(Message& message, const event::CallInFlight& in_flight) {
  if (directory.find(in_flight.endpoint) == nullptr)
    add_or_update(
        {.id = in_flight.endpoint, .destination = message.destination, .status = EndpointStatus::removed});
  EndpointState& endpoint = directory.at(in_flight.endpoint);
  const auto [it, is_new] = recovered_calls.try_emplace(in_flight.call_id, 0);
  CallId& call_id = it->second;
  if (is_new) {
    call_id = calls.begin_call(endpoint, in_flight.sent_at);
    endpoint.calls.insert(call_id);
  }
  Call& call = calls.at(call_id);
  call.message_count++;
  call.pending_count++;
  message.in_flight[in_flight.attempt] = call_id;
}

void Dispatcher::State::on(const event::AttemptEnded& attempt) {
  const auto it = messages.find(attempt.id);
  if (it == messages.end()) return;
  Message& message = it->second;
  const auto in_flight = message.in_flight.find(attempt.attempt);
  if (in_flight == message.in_flight.end()) return;
  const CallId call_id = in_flight->second;
  message.in_flight.erase(in_flight);
  Call& call = calls.at(call_id);
  EndpointState& endpoint = *call.endpoint;
  const Time sent_at = call.sent_at;
  call.pending_count--;
  const bool call_ended = call.pending_count == 0;
  if (call_ended) endpoint.calls.erase(call_id);
  record_endpoint_outcome(endpoint, call, attempt);
  if (call_ended) {
    calls.end_call(call_id);
    endpoint.use_gap.on_call_ended(round.now());
    endpoints_with_ended_calls.insert(endpoint.info.id);
  }
  record_message_outcome(message, endpoint, sent_at, attempt);
  remove_if_done(it);
}

void Dispatcher::State::record_endpoint_outcome(EndpointState& endpoint, Call& call,
                                                const event::AttemptEnded& attempt) {
  directory.scope_of(endpoint).limiter.on_limits_reported(round, attempt.load_report.rate_limit,
                                                          attempt.retry_after);
  if (call.outcome_recorded || !outcome_reflects_endpoint(attempt, call)) return;
  call.outcome_recorded = true;
  update_slow_start(endpoint, call.sent_at, attempt);
  if (attempt.outcome == Outcome::succeeded)
    on_served(endpoint, call.sent_at, attempt);
  else if (attempt.outcome == Outcome::rejected)
    on_rejected(endpoint);
  else
    on_failed(endpoint, attempt, call.message_count);
}

// The calls to all endpoints of a destination count towards its budget in slow start.
void Dispatcher::State::update_slow_start(EndpointState& endpoint, Time sent_at,
                                          const event::AttemptEnded& attempt) {
  const Outcome outcome = attempt.outcome;
  RateLimitScope& scope = directory.scope_of(endpoint);
  RateEstimator& demand = endpoint.is_independent ? endpoint.demand : scope.arrivals;
  const KnownLoad load{.demand = demand.rate(round.now(), kMinDemandObservation),
                       .rate_limit = scope.limiter.rate_limit()};
  if (outcome == Outcome::succeeded) {
    if (scope.slow_start.on_served(round, sent_at, load))
      round.log("destination_slow_start destination=" + std::to_string(endpoint.info.destination) +
                " endpoint=" + endpoint.info.id);
    return;
  }
  const Time blocked_until = scope.limiter.retry_after_until();
  // A rate limit with a short window tells short waits.
  const bool is_short_rejection =
      outcome == Outcome::rejected && blocked_until <= round.now() + settings.overload_duration;
  const bool is_weak_evidence = outcome == Outcome::error || outcome == Outcome::reset || is_short_rejection;
  const double remaining = attempt.load_report.remaining_fraction;
  const bool limit_is_used_up = remaining >= 0 && remaining <= kUsedUpFraction;
  const bool is_first =
      scope.slow_start.on_unsuccessful(round,
                                       {.sent_at = sent_at,
                                        .is_weak_evidence = is_weak_evidence,
                                        .is_explained_by_limit = is_short_rejection && limit_is_used_up,
                                        .blocked_until = blocked_until},
                                       load);
  if (is_first) on_destination_limited(endpoint.info.destination, cause_name(outcome));
}

void Dispatcher::State::on_served(EndpointState& endpoint, Time sent_at, const event::AttemptEnded& attempt) {
  RateLimitScope& scope = directory.scope_of(endpoint);
  endpoint.served_calls.add_event(round.now());
  scope.backoff.on_success(round);
  scope.limiter.on_served(round, rejection_statistics, attempt.load_report);
  low_rate_pacer.on_served(round, scope.limiter);
  const double relative_to_typical = endpoint.latency.add_answer(seconds(attempt.latency));
  relative_latency += kRelativeLatencyGain * (relative_to_typical - relative_latency);
  outlier_detector.on_served(endpoint, sent_at);
  endpoint.idle_connections_closed = false;
  raise_limits(endpoint);
}

void Dispatcher::State::on_rejected(EndpointState& endpoint) {
  RateLimitScope& scope = directory.scope_of(endpoint);
  const CallKind kind = endpoint.health.kind_of_next_call();
  scope.backoff.on_failure(round);
  scope.limiter.on_rejected(round, rejection_statistics, scope.backoff, kind, endpoint.info.id);
  // Slow start spreads the next calls of the relays already.
  if (scope.slow_start.is_out_of_tokens()) scope.limiter.fill_bucket(round);
  low_rate_pacer.on_rejected(round, scope.limiter, kind);
  outlier_detector.on_rejected(endpoint);
}

void Dispatcher::State::on_failed(EndpointState& endpoint, const event::AttemptEnded& attempt,
                                  int message_count) {
  directory.scope_of(endpoint).backoff.on_failure(round);
  estimate_connection_limit(endpoint, attempt.outcome);
  endpoint.health.on_failed(attempt.outcome);
  on_unanswered(endpoint, attempt);
  reduce_batch_size(endpoint, attempt.outcome, message_count);
  outlier_detector.eject_if_failing(endpoint, attempt);
}

void Dispatcher::State::send(Message& message, EndpointState& endpoint) {
  if (!can_join_call(message, endpoint)) {
    endpoint.current_call = calls.begin_call(endpoint, round.now());
    endpoint.calls.insert(endpoint.current_call);
    on_call_begun(message, endpoint);
  }
  Call& call = calls.at(endpoint.current_call);
  call.message_count++;
  call.pending_count++;
  call.batch_bytes += message.batch_bytes;
  message.in_flight[message.attempts_made] = endpoint.current_call;
  message.attempts_made++;
  round.emit(
      action::Send{message.id, endpoint.info.id, call_timeout(message, endpoint), start_within(message)});
}

void Dispatcher::State::on_list_received() {
  subscribed = true;
  poll_backoff = kInitialPollBackoff;
  next_poll_at = kNever;
  wait_for_list_until = 0;
}

void Dispatcher::State::on(const event::ClientCancelled& cancelled) {
  const auto it = messages.find(cancelled.id);
  if (it == messages.end()) return;
  it->second.settled = true;
  remove_if_done(it);
}

void Dispatcher::State::on(const event::TimerExpired&) {
  if (round.now() >= timer_expires_at) timer_expires_at = kNever;
}

void Dispatcher::State::on(const event::HealthCheckEnded&) {}

// Removes a message that is settled and has no call in flight. The next message of its order key may then be
// sent.
void Dispatcher::State::remove_if_done(MessageMap::iterator it) {
  const Message& message = it->second;
  if (!message.settled || !message.in_flight.empty()) return;
  if (!message.order_key.empty()) order_keys.remove(message.order_key, message.id, round.now());
  messages.erase(it);
}

std::string Dispatcher::State::learned_state() {
  LearnedStateWriter writer;
  writer.add_line(kRelayLine, *this);
  writer.add_line(kLowRateLine, low_rate_pacer.record());
  for (auto& [id, destination] : directory.destinations()) {
    writer.add_line(kDestinationLine, std::to_string(id), destination.scope);
    if (destination.scope.slow_start.is_active())
      writer.add_line(kDestinationSlowStartLine, std::to_string(id), destination.scope.slow_start.record());
  }
  for (auto& [id, endpoint] : directory.endpoints()) {
    writer.add_line(kEndpointLine, id, endpoint);
    if (endpoint.own_scope.slow_start.is_active())
      writer.add_line(kEndpointSlowStartLine, id, endpoint.own_scope.slow_start.record());
  }
  return writer.text();
}

void Dispatcher::State::on(const event::LearnedStateRestored& restored) {
  for (const auto& line : parse_learned_state(restored.learned_state)) {
    if (line.name == kRelayLine) {
      restore_fields(line, *this);
    } else if (line.name == kLowRateLine) {
      restore_fields(line, low_rate_pacer.record());
    } else if (line.name == kDestinationLine || line.name == kDestinationSlowStartLine) {
      auto& destinations = directory.destinations();
      const auto found = std::find_if(destinations.begin(), destinations.end(), [&line](const auto& entry) {
        return std::to_string(entry.first) == line.subject;
      });
      if (found == destinations.end()) continue;
      RateLimitScope& scope = found->second.scope;
      if (line.name == kDestinationLine) {
        restore_fields(line, scope);
      } else {
        restore_fields(line, scope.slow_start.record());
        on_destination_limited(found->first, "upgrade");
      }
    } else if (line.name == kEndpointLine || line.name == kEndpointSlowStartLine) {
      EndpointState* const endpoint = directory.find(line.subject);
      if (endpoint == nullptr) continue;
      if (line.name == kEndpointLine) {
        restore_fields(line, *endpoint);
      } else {
        restore_fields(line, endpoint->own_scope.slow_start.record());
        on_destination_limited(endpoint->info.destination, "upgrade");
      }
    }
  }
}

Dispatcher::Dispatcher(const Settings& settings, std::uint64_t seed) {
  validate(settings);
  state_ = std::make_unique<State>(settings, seed);
}
Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

void Dispatcher::handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions) {
  state_->handle(now, events, actions);
}

std::string Dispatcher::learned_state() const { return state_->learned_state(); }

std::size_t Dispatcher::excluded_endpoint_count() const {
  const auto& endpoints = state_->directory.endpoints();
  return static_cast<std::size_t>(std::count_if(endpoints.begin(), endpoints.end(), [](const auto& entry) {
    const EndpointState& endpoint = entry.second;
    return endpoint.info.status != EndpointStatus::removed &&
           (endpoint.suspended || endpoint.health.is_ejected());
  }));
}

const DestinationLimits& Dispatcher::limited_destinations() const { return state_->limited_destinations; }

std::size_t Dispatcher::tracked_object_count() const {
  State& state = *state_;
  return state.directory.endpoints().size() + state.directory.destinations().size() +
         state.directory.suspended_count() + state.messages.size() + state.order_keys.tracked_count() +
         state.calls.size();
}

}  // namespace dispatch
