// Which endpoint gets a message, how many at once, and with which time-out.
#include <algorithm>
#include <cmath>

#include "dispatcher_state.hpp"

namespace dispatch {
namespace {

// Parts of all calls that may be in flight.
constexpr double kEndpointCalls = 0.5;   // for one endpoint at most,
constexpr double kSuspectCalls = 0.125;  // while it is failing or overdue,
constexpr double kProbeCalls = 0.25;     // and for the probes of all ejected endpoints
constexpr int kFreeCalls = 3;            // calls in flight that need no served rate to justify them
constexpr double kHeadroom = 3;          // times the calls in flight that the served rate explains
constexpr double kTimeoutLatencies = 8;
constexpr double kRepeatableObjectives =
    2.5;  // least time-out of repeatable messages, in latency objectives,
constexpr double kUnrepeatableObjectives = 5;  // and of the others, which a time-out loses
constexpr double kOtherZoneCost = 0.02;        // seconds
constexpr double kSlowStartCost = 2;           // factor
constexpr double kCostJitter = 0.1;
constexpr double kCapGrowthGap = 2;       // seconds between steps of a concurrency cap
constexpr double kSparedConnections = 8;  // idle connections of all relays that an endpoint can spare
constexpr double kLongUseGap = 2.5;       // in idle time-outs: a connection is hardly used again
constexpr double kCrowdedTime = 30;  // seconds for which it is taken to be crowded after a failed connect

int probes_in_flight(const CallTable& calls) {
  int count = 0;
  for (const auto& [id, call] : calls)
    if (call.endpoint->health.is_awaiting_success()) count++;
  return count;
}

// The expected wait there, with its fee and distance.
double cost(const Settings& settings, const EndpointState& endpoint) {
  const auto zone = static_cast<std::size_t>(endpoint.info.zone);
  const bool has_fee = endpoint.independent_route && zone < settings.zone_surcharges.size();
  const double fee = has_fee ? settings.zone_surcharges[zone] : 0;
  const double load =
      static_cast<double>(endpoint.calls.size()) + 1 + endpoint.health.record().consecutive_failures;
  const double warm_up = endpoint.health.is_in_slow_start() ? kSlowStartCost : 1;
  const double distance = endpoint.info.zone == settings.zone ? 0 : kOtherZoneCost;
  return load * endpoint.latency.recent() * warm_up * (1 + fee) + distance;
}

}  // namespace

// Returns the cheapest endpoint that may be sent the message now; where there is none, null, and the round
// wakes up when one may be.
EndpointState* Dispatcher::State::select_endpoint(const Message& message) {
  EndpointState* best = nullptr;
  double best_cost = 0;
  Time earliest = kNever;
  for (EndpointState* const endpoint : directory.endpoints_of(message.destination)) {
    const Time ready = call_ready_at(message, *endpoint);
    if (ready > round.now()) {
      earliest = std::min(earliest, ready);
      continue;
    }
    const bool joins_call = has_room_in_batch(*endpoint);
    const double endpoint_cost =
        joins_call ? -1 : cost(settings, *endpoint) * (1 + kCostJitter * round.uniform());
    if (best != nullptr && endpoint_cost >= best_cost) continue;
    best = endpoint;
    best_cost = endpoint_cost;
  }
  if (best == nullptr && earliest < kNever) round.wake_up_at(earliest);
  return best;
}

// Every send passes here. Returns when the endpoint may be sent the message: now, later, or kNever where that
// does not depend on time alone.
Time Dispatcher::State::call_ready_at(const Message& message, EndpointState& endpoint) {
  const Time now = round.now();
  const ClassSettings& message_class = *message.message_class;
  if (!is_in_service(endpoint)) return kNever;
  const bool key_is_zonal =
      message_class.idempotency == Idempotency::by_key && message_class.key_scope == KeyScope::zone;
  if (key_is_zonal && message.possible_execution_zone.value_or(endpoint.info.zone) != endpoint.info.zone)
    return kNever;
  RateLimiter& limiter = directory.scope_of(endpoint).limiter;
  if (limiter.blocked_until() > now) return limiter.blocked_until();
  if (has_room_in_batch(endpoint)) return now;
  if (calls.size() >= static_cast<std::size_t>(settings.max_calls_in_flight)) return kNever;
  const Time health_ready = endpoint.health.call_ready_at(round, endpoint.info.id);
  const Time limiter_ready = limiter.token_ready_at(round);
  const Time pacer_ready = low_rate_pacer.token_ready_at(round, limiter, message.attempts_made);
  const Time ready = std::max({health_ready, limiter_ready, pacer_ready});
  if (ready > now) return ready;
  // A probe request that may be lost is no place for a message that can't be repeated.
  if (endpoint.health.is_ejected() && message_class.idempotency == Idempotency::none &&
      endpoint.health.record().last_failure_may_have_executed && now < message.objective)
    return message.objective;
  return static_cast<int>(endpoint.calls.size()) < max_calls(endpoint) ? now : kNever;
}

bool Dispatcher::State::has_room_in_batch(const EndpointState& endpoint) const {
  if (endpoint.current_call == 0) return false;
  const Call* const call = calls.find(endpoint.current_call);
  return call != nullptr && call->sent_at == round.now() && call->message_count < endpoint.batch_size;
}

// Bulkhead: bounds one endpoint's calls in flight, so that a silent or slow one can't hold those of the
// others.
int Dispatcher::State::max_calls(EndpointState& endpoint) {
  const int all = settings.max_calls_in_flight;
  // Probes are spaced; all of them in flight together may hold a part only.
  if (endpoint.health.is_awaiting_success())
    return probes_in_flight(calls) < std::max(1.0, kProbeCalls * all) ? all : 0;
  const bool suspect =
      outlier_detector.overdue_call_count(endpoint) > 0 || endpoint.health.record().consecutive_failures > 0;
  const double most = std::max(1.0, suspect ? all * kSuspectCalls : std::ceil(all * kEndpointCalls));
  const double explained = kHeadroom * endpoint.served.rate(round.now()) * endpoint.latency.recent();
  double limit = std::min(most, kFreeCalls + explained);
  if (endpoint.concurrency_cap > 0) limit = std::min<double>(limit, endpoint.concurrency_cap);
  return std::max(1, static_cast<int>(limit));
}

void Dispatcher::State::start_estimates(EndpointState& endpoint) {
  endpoint.batch_size = endpoint.max_batch_size;
  endpoint.use_gap.set_initial_mean(seconds(settings.connection_idle_timeout) * kInitialUseGap);
  endpoint.demand.start(round.now());
}

void Dispatcher::State::grow_capacity(EndpointState& endpoint) {
  endpoint.batch_size = std::min(endpoint.batch_size + 1, endpoint.max_batch_size);
  if (endpoint.concurrency_cap == 0) return;
  if (round.now() - endpoint.concurrency_cap_changed_at <= micros(kCapGrowthGap)) return;
  endpoint.concurrency_cap++;
  endpoint.concurrency_cap_changed_at = round.now();
}

// A call's messages share its fate: failing calls take fewer along. Guards against whole batches lost to a
// doubtful endpoint, and against one that fails on large batches only. Not where the failure may be isolated:
// under a limit of calls, small batches would starve the other messages.
void Dispatcher::State::shrink_batch(EndpointState& endpoint, Outcome outcome, int message_count) {
  if (outcome == Outcome::connect_failed || outlier_detector.last_failure_may_be_isolated(endpoint)) return;
  endpoint.batch_size = std::max(1, std::min(endpoint.batch_size, message_count) / 2);
}

// Connects that fail while calls in flight are answered: its table of connections may be full.
void Dispatcher::State::limit_concurrency(EndpointState& endpoint, Outcome outcome) {
  if (outcome != Outcome::connect_failed) return;
  endpoint.last_connect_failure_at = round.now();
  if (!endpoint.health.is_healthy() || endpoint.health.record().consecutive_failures > 0) return;
  if (endpoint.calls.empty() || outlier_detector.overdue_call_count(endpoint) > 0) return;
  endpoint.concurrency_cap = static_cast<int>(endpoint.calls.size());
  endpoint.concurrency_cap_changed_at = round.now();
}

void Dispatcher::State::on_unanswered(EndpointState& endpoint, const event::AttemptEnded& attempt) {
  if (attempt.outcome != Outcome::timeout && attempt.outcome != Outcome::cancelled) return;
  endpoint.latency.add_unanswered(seconds(attempt.latency));
  close_idle_connections(endpoint);
}

void Dispatcher::State::on_call_begun(const Message& message, EndpointState& endpoint) {
  RateLimitScope& scope = directory.scope_of(endpoint);
  if (endpoint.health.is_healthy() && message.attempts_made == 0) endpoint.demand.add_event(round.now());
  endpoint.use_gap.on_call_begun(round.now());
  scope.limiter.take_token();
  low_rate_pacer.take_token(round, scope.limiter);
  endpoint.health.on_call_sent(round, scope.backoff);
  if (outlier_detector.overdue_call_count(endpoint) > 0) close_idle_connections(endpoint);
}

// Guards against unrepeatable messages lost in silence: a new connection fails provably, an old one does not.
void Dispatcher::State::close_idle_connections(EndpointState& endpoint) {
  if (endpoint.idle_connections_closed) return;
  endpoint.idle_connections_closed = true;
  round.emit(action::CloseIdleConnections{endpoint.info.id});
}

// Guards against connection tables filled by idle connections of many relays: one that will hardly be used
// again before its end is closed once its call is over, where a connect failed sooner. All are not: in a
// large fleet nearly each call would cost a handshake.
void Dispatcher::State::close_unused_connections() {
  for (const EndpointId& id : endpoints_with_ended_calls) {
    const EndpointState& endpoint = directory.at(id);
    const bool crowded = round.now() < endpoint.last_connect_failure_at + micros(kCrowdedTime);
    const double gaps = std::max(kSparedConnections / settings.relay_count, crowded ? 0 : kLongUseGap);
    if (endpoint.use_gap.mean() > seconds(settings.connection_idle_timeout) * gaps)
      round.emit(action::CloseIdleConnections{id});
  }
  endpoints_with_ended_calls.clear();
}

Time Dispatcher::State::call_timeout(const Message& message, const EndpointState& endpoint) const {
  const bool repeatable = message.message_class->idempotency != Idempotency::none;
  const double least = seconds(message.message_class->latency_objective) *
                       (repeatable ? kRepeatableObjectives : kUnrepeatableObjectives);
  const double timeout = std::max(least, kTimeoutLatencies * endpoint.latency.recent());
  return std::min(micros(timeout), message.deadline - round.now());
}

}  // namespace dispatch
