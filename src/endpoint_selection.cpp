// Selects the endpoint of a message, limits the concurrency at each endpoint and computes call timeouts.
#include <algorithm>
#include <cmath>

#include "dispatcher_state.hpp"

namespace dispatch {
namespace {

/// The largest fraction of max_calls_in_flight that one endpoint may hold.
constexpr double kMaxEndpointCallFraction = 0.5;
/// The same fraction for an endpoint that is failing or has overdue calls.
constexpr double kMaxSuspectCallFraction = 0.125;
/// The largest fraction of max_calls_in_flight that the calls to all endpoints awaiting a success may hold.
constexpr double kMaxProbeCallFraction = 0.25;
/// Calls in flight that an endpoint may have whatever its rate of served calls.
constexpr int kBaseConcurrency = 3;
/// Factor on the calls in flight that the rate of served calls accounts for.
constexpr double kConcurrencyHeadroomFactor = 3;
/// The timeout of a call, in recent latencies of its endpoint.
constexpr double kTimeoutLatencyMultiple = 8;
/// The shortest timeout for messages that may be repeated, in latency objectives.
constexpr double kRepeatableMinTimeoutMultiple = 2.5;
/// The shortest timeout for the other messages, in latency objectives. It is longer because a timeout loses
/// them.
constexpr double kUnrepeatableMinTimeoutMultiple = 5;
/// Cost of a call to another zone, in seconds.
constexpr double kCrossZoneCost = 0.02;
/// Factor on the cost of a call to an endpoint in slow start.
constexpr double kSlowStartCostFactor = 2;
/// The largest random increase of the cost of a call, as a fraction of the cost.
constexpr double kCostJitterFraction = 0.1;
/// The shortest time, in seconds, between two increments of the estimated connection limit of an endpoint.
constexpr double kConnectionLimitStepInterval = 2;
/// Idle connections, counted over all relays, that an endpoint is assumed to have room for.
constexpr double kAssumedIdleConnectionCapacity = 8;
/// The mean use gap, in idle timeouts of connections, above which a connection is hardly ever used again.
constexpr double kLongUseGapMultiple = 2.5;
/// Seconds after a failed connect during which the connection table of an endpoint is assumed to be full.
constexpr double kConnectionTableFullPeriod = 30;

// Returns the number of calls in flight to endpoints awaiting a success.
int probes_in_flight(const CallTable& calls) {
  int count = 0;
  for (const auto& [id, call] : calls)
    if (call.endpoint->health.is_awaiting_success()) count++;
  return count;
}

// Returns the cost of a call to the endpoint: the expected wait in seconds, raised by the surcharge of its
// zone and by the cost of leaving this relay's zone.
double call_cost(const Settings& settings, const EndpointState& endpoint) {
  const auto zone = static_cast<std::size_t>(endpoint.info.zone);
  const bool has_surcharge = endpoint.is_independent && zone < settings.zone_surcharges.size();
  const double surcharge = has_surcharge ? settings.zone_surcharges[zone] : 0;
  const double load =
      static_cast<double>(endpoint.calls.size()) + 1 + endpoint.health.record().consecutive_failures;
  const double slow_start_factor = endpoint.health.is_in_slow_start() ? kSlowStartCostFactor : 1;
  const double zone_cost = endpoint.info.zone == settings.zone ? 0 : kCrossZoneCost;
  return load * endpoint.latency.recent() * slow_start_factor * (1 + surcharge) + zone_cost;
}

}  // namespace

// Returns the endpoint with the lowest cost among those that the message may be sent to now. If there is
// none, returns null and requests a round for the time at which there is one.
EndpointState* Dispatcher::State::select_endpoint(const Message& message) {
  EndpointState* best = nullptr;
  double best_cost = 0;
  Time earliest = kNever;
  for (EndpointState* const endpoint : directory.endpoints_of(message.destination)) {
    const Time ready = earliest_send_time(message, *endpoint);
    if (ready > round.now()) {
      earliest = std::min(earliest, ready);
      continue;
    }
    // Joining a call of this round is preferred: -1 is less than any cost.
    const bool joins_call = can_join_call(message, *endpoint);
    const double endpoint_cost =
        joins_call ? -1 : call_cost(settings, *endpoint) * (1 + kCostJitterFraction * round.uniform());
    if (best != nullptr && endpoint_cost >= best_cost) continue;
    best = endpoint;
    best_cost = endpoint_cost;
  }
  if (best == nullptr && earliest < kNever) round.wake_up_at(earliest);
  return best;
}

// Returns when the message may be sent to the endpoint: now, later, or kNever if that does not depend on time
// alone. Every send passes this check.
Time Dispatcher::State::earliest_send_time(const Message& message, EndpointState& endpoint) {
  const Time now = round.now();
  const ClassSettings& message_class = *message.message_class;
  if (!is_in_service(endpoint)) return kNever;
  const bool key_is_zonal =
      message_class.idempotency == Idempotency::by_key && message_class.key_scope == KeyScope::zone;
  if (key_is_zonal && message.possible_execution_zone.value_or(endpoint.info.zone) != endpoint.info.zone)
    return kNever;
  RateLimiter& limiter = directory.scope_of(endpoint).limiter;
  if (limiter.blocked_until() > now) return limiter.blocked_until();
  if (can_join_call(message, endpoint)) return now;
  if (calls.size() >= static_cast<std::size_t>(settings.max_calls_in_flight)) return kNever;
  const SlowStartPacer& slow_start = directory.scope_of(endpoint).slow_start;
  const auto pacing = slow_start.is_active() ? EndpointPacing::by_destination : EndpointPacing::by_endpoint;
  const Time health_ready = endpoint.health.call_ready_at(round, endpoint.info.id, pacing);
  const Time limiter_ready = limiter.token_ready_at(round);
  const Time pacer_ready = low_rate_pacer.token_ready_at(round, limiter, message.attempts_made);
  const Time slow_start_ready =
      directory.scope_of(endpoint).slow_start.token_ready_at(round, limiter.rate_limit());
  const Time ready = std::max({health_ready, limiter_ready, pacer_ready, slow_start_ready});
  if (ready > now) return ready;
  // A message that must not be repeated is not sent as a probe that may be lost, unless its objective has
  // passed or the last failure is so long ago that it says little.
  if (endpoint.health.is_ejected() && endpoint.health.has_recent_outage(round) &&
      message_class.idempotency == Idempotency::none &&
      endpoint.health.record().last_failure_may_have_executed && now < message.full_value_until)
    return message.full_value_until;
  return static_cast<int>(endpoint.calls.size()) < max_calls_in_flight(endpoint) ? now : kNever;
}

// Whether the message can be sent with the call that this round has begun to the endpoint.
bool Dispatcher::State::can_join_call(const Message& message, const EndpointState& endpoint) const {
  if (endpoint.current_call == 0) return false;
  const Call* const call = calls.find(endpoint.current_call);
  if (call == nullptr || call->sent_at != round.now()) return false;
  const bool fits =
      settings.max_batch_bytes == 0 || call->batch_bytes + message.batch_bytes <= settings.max_batch_bytes;
  return fits && call->message_count < endpoint.adaptive_batch_size;
}

// Returns how many calls may be in flight to the endpoint. Each endpoint is a bulkhead: a silent or slow one
// must not occupy the calls that the others need.
int Dispatcher::State::max_calls_in_flight(EndpointState& endpoint) {
  const int max_calls = settings.max_calls_in_flight;
  // Probes are limited in their rate. Here only their total number is limited, to a fraction of all calls.
  if (endpoint.health.is_awaiting_success())
    return probes_in_flight(calls) < std::max(1.0, kMaxProbeCallFraction * max_calls) ? max_calls : 0;
  const bool suspect =
      outlier_detector.overdue_call_count(endpoint) > 0 || endpoint.health.record().consecutive_failures > 0;
  const double bulkhead = std::max(
      1.0, suspect ? max_calls * kMaxSuspectCallFraction : std::ceil(max_calls * kMaxEndpointCallFraction));
  // Little's law: the mean number of calls in flight is their rate multiplied by their latency.
  const double justified =
      kConcurrencyHeadroomFactor * endpoint.served_calls.rate(round.now()) * endpoint.latency.recent();
  double limit = std::min(bulkhead, kBaseConcurrency + justified);
  if (endpoint.connection_limit_estimate > 0)
    limit = std::min<double>(limit, endpoint.connection_limit_estimate);
  return std::max(1, static_cast<int>(limit));
}

void Dispatcher::State::initialize_estimates(EndpointState& endpoint) {
  endpoint.adaptive_batch_size = endpoint.max_batch_size;
  endpoint.use_gap.set_initial_mean(seconds(settings.connection_idle_timeout) * kInitialUseGapFraction);
  endpoint.demand.start(round.now());
  if (directory.siblings_of(endpoint).empty()) endpoint.destination->scope.arrivals.start(round.now());
}

void Dispatcher::State::raise_limits(EndpointState& endpoint) {
  endpoint.adaptive_batch_size = std::min(endpoint.adaptive_batch_size + 1, endpoint.max_batch_size);
  if (endpoint.connection_limit_estimate == 0) return;
  if (round.now() - endpoint.connection_limit_changed_at <= micros(kConnectionLimitStepInterval)) return;
  endpoint.connection_limit_estimate++;
  endpoint.connection_limit_changed_at = round.now();
}

// Halves the batch size after a failed call, as all messages of a call fail together. Guards against losing
// whole batches to an unreliable endpoint, and against an endpoint that fails on large batches only. The
// batch size stays as it is if the failure may be an isolated one: calls are limited, and with small batches
// the other messages would starve.
void Dispatcher::State::reduce_batch_size(EndpointState& endpoint, Outcome outcome, int message_count) {
  if (outcome == Outcome::connect_failed || outlier_detector.last_failure_may_be_isolated(endpoint)) return;
  endpoint.adaptive_batch_size = std::max(1, std::min(endpoint.adaptive_batch_size, message_count) / 2);
}

// Takes the current concurrency as the endpoint's connection limit if a connect fails while the calls in
// flight are being answered: the endpoint's connection table may be full.
void Dispatcher::State::estimate_connection_limit(EndpointState& endpoint, Outcome outcome) {
  if (outcome != Outcome::connect_failed) return;
  endpoint.last_connect_failure_at = round.now();
  if (!endpoint.health.is_healthy() || endpoint.health.record().consecutive_failures > 0) return;
  if (endpoint.calls.empty() || outlier_detector.overdue_call_count(endpoint) > 0) return;
  endpoint.connection_limit_estimate = static_cast<int>(endpoint.calls.size());
  endpoint.connection_limit_changed_at = round.now();
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
  scope.slow_start.take_token(round);
  low_rate_pacer.take_token(round, scope.limiter);
  endpoint.health.on_call_sent(round, scope.backoff);
  if (outlier_detector.overdue_call_count(endpoint) > 0) close_idle_connections(endpoint);
}

// Guards against losing messages that must not be repeated to an endpoint that went silent. If a new
// connection cannot be established, the message provably was not executed; on an old connection this remains
// unknown.
void Dispatcher::State::close_idle_connections(EndpointState& endpoint) {
  if (endpoint.idle_connections_closed) return;
  endpoint.idle_connections_closed = true;
  round.emit(action::CloseIdleConnections{endpoint.info.id});
}

// Closes the idle connections of endpoints whose calls ended in this round, if they will hardly be used again
// before the idle timeout. After a failed connect, shorter use gaps suffice. Guards against connection tables
// that the idle connections of many relays fill up. Connections that are used more often stay open, as
// otherwise nearly every call in a large fleet would cost a handshake.
void Dispatcher::State::close_unused_connections() {
  for (const EndpointId& id : endpoints_with_ended_calls) {
    const EndpointState& endpoint = directory.at(id);
    const bool table_full =
        round.now() < endpoint.last_connect_failure_at + micros(kConnectionTableFullPeriod);
    const double max_gap_multiple =
        std::max(kAssumedIdleConnectionCapacity / settings.relay_count, table_full ? 0 : kLongUseGapMultiple);
    if (endpoint.use_gap.mean() > seconds(settings.connection_idle_timeout) * max_gap_multiple)
      round.emit(action::CloseIdleConnections{id});
  }
  endpoints_with_ended_calls.clear();
}

Time Dispatcher::State::call_timeout(const Message& message, const EndpointState& endpoint) const {
  const bool repeatable = message.message_class->idempotency != Idempotency::none;
  const double min_timeout = seconds(message.message_class->latency_objective) *
                             (repeatable ? kRepeatableMinTimeoutMultiple : kUnrepeatableMinTimeoutMultiple);
  const double timeout = std::max(min_timeout, kTimeoutLatencyMultiple * endpoint.latency.recent());
  return std::min(micros(timeout), message.deadline - round.now());
}

}  // namespace dispatch
