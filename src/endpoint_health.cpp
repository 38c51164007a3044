#include "endpoint_health.hpp"

#include <cmath>

#include "call_table.hpp"
#include "endpoint_directory.hpp"

namespace dispatch {
namespace {

// Consecutive failures that eject an endpoint, counting overdue calls as failures.
constexpr int kFailuresToEject = 3;
// An endpoint is ejected if a larger fraction of its recent calls failed.
constexpr double kMaxFailureFraction = 0.5;
// Weight of the newest call in the moving average of that fraction.
constexpr double kFailureFractionGain = 0.15;
// An endpoint is ejected if all calls of this period failed, but after kFailuresToEject failures at the
// latest.
constexpr double kEvidenceSeconds = 3;
// Calls per second from all relays together that an endpoint is assumed to receive at least.
constexpr double kMinEndpointRate = 3;

// An ejected endpoint is probed without a token once this many state durations have passed.
constexpr int kProbeWithoutTokenDurations = 2;

// Isolated failures: resets and errors at endpoints that otherwise serve their calls.

// Weight of the newest call in the moving average of the fraction of isolated failures at all endpoints.
constexpr double kIsolatedFailureGain = 0.02;
// The same at one endpoint, which gets fewer calls.
constexpr double kEndpointIsolatedFailureGain = 0.1;
// A smaller fraction of isolated failures is ignored.
constexpr double kMinIsolatedFailureFraction = 0.05;
// Consecutive failures that occur by chance with a higher probability than this eject no endpoint.
constexpr double kMaxChanceProbability = 0.003;
// Of consecutive failures at most this many count as isolated ones: the others may be due to an outage.
constexpr int kMaxIsolatedFailures = 2;
// This many consecutive failures eject an endpoint however probable they are by chance.
constexpr int kMaxFailuresToEject = 8;

Time state_duration(const RoundContext& round) {
  return std::max(round.settings().slow_start_duration, micros(round.shortest_objective()));
}
Time next_probe_time(RoundContext& round, const RetryBackoff& backoff) {
  return round.now() + micros(jittered(round, std::max(backoff.delay(round), initial_backoff(round))));
}

}  // namespace

bool EndpointHealth::has_recent_outage(const RoundContext& round) const {
  return !is_healthy() && round.now() < record_.state_started_at + state_duration(round);
}

CallKind EndpointHealth::kind_of_next_call() const {
  if (is_healthy()) return CallKind::ordinary;
  return is_ejected() ? CallKind::probe : CallKind::slow_start;
}

void EndpointHealth::on_served(RoundContext& round, const EndpointId& id, Time sent_at) {
  record_.last_served_at = round.now();
  record_.latest_served_sent_at = std::max(record_.latest_served_sent_at, sent_at);
  record_.failure_fraction *= 1 - kFailureFractionGain;
  if (is_ejected()) {
    const Time ejected_for = round.now() - record_.state_started_at;
    // An endpoint that was ejected only for overdue calls, which it has answered after all, is slow but had
    // no outage, and needs no slow start.
    const bool is_slow =
        record_.consecutive_failures == 0 && record_.failure_fraction < kMaxFailureFraction / 2;
    if (is_slow)
      change_to(round, HealthState::healthy, id, HealthChangeCause::late_answer);
    else
      change_to(round, HealthState::slow_start, id, HealthChangeCause::probe_succeeded);
    // The endpoint recovered at some time since the last failure; the middle is taken as the beginning of
    // slow start. The probes of many relays are due one after the other, and if each relay took the success
    // of its own probe as the time of recovery, they would begin slow start seconds late.
    if (!is_slow) record_.state_started_at = round.now() - ejected_for / 2;
    record_.bucket.set(record_.bucket.tokens(), round.now());
  }
  for (; record_.isolated_failures > 0; record_.isolated_failures--)
    record_.isolated_failure_fraction +=
        kEndpointIsolatedFailureGain * (1 - record_.isolated_failure_fraction);
  record_.isolated_failure_fraction *= 1 - kEndpointIsolatedFailureGain;
  record_.consecutive_failures = 0;
}

void EndpointHealth::on_failed(Outcome outcome) {
  record_.consecutive_failures++;
  if (outcome == Outcome::reset || outcome == Outcome::error)
    record_.isolated_failures = std::min(record_.isolated_failures + 1, kMaxIsolatedFailures);
  record_.last_failure_may_have_executed = outcome != Outcome::connect_failed;
  record_.failure_fraction += kFailureFractionGain * (1 - record_.failure_fraction);
}

void EndpointHealth::eject(RoundContext& round, const EndpointId& id, HealthChangeCause cause,
                           const RetryBackoff& backoff) {
  // The random number of tokens spreads the probes of many relays, which would otherwise arrive together.
  if (is_healthy()) record_.bucket.set(round.uniform(), round.now());
  if (!is_ejected()) change_to(round, HealthState::ejected, id, cause);
  record_.state_started_at = round.now();
  record_.next_probe_at = next_probe_time(round, backoff);
}

void EndpointHealth::enter_slow_start(RoundContext& round, const EndpointId& id, HealthChangeCause cause) {
  change_to(round, HealthState::slow_start, id, cause);
  record_.bucket.set(round.uniform(), round.now());
  record_.consecutive_failures = 0;
  record_.failure_fraction = 0;
}

void EndpointHealth::copy_state_from(RoundContext& round, const EndpointHealth& sibling) {
  record_.state = sibling.record_.state;
  record_.state_started_at = sibling.record_.state_started_at;
  record_.expected_rate = sibling.record_.expected_rate;
  record_.next_probe_at = round.now();
  record_.bucket.set(round.uniform(), round.now());
}

// Returns the calls per second that this relay may send in the current state: its share, derived from its own
// first attempts before the outage, of the load that the endpoint certainly withstands. There is no minimum:
// in a fleet of hundreds of relays that each send one call per minute, a minimum of one call for each relay
// would overload the endpoint.
double EndpointHealth::allowed_rate(const RoundContext& round) const {
  const Settings& settings = round.settings();
  double capacity = settings.slow_start_capacity_fraction;
  if (is_in_slow_start())
    capacity += (1 - settings.slow_start_capacity_fraction) *
                seconds(round.now() - record_.state_started_at) / seconds(state_duration(round));
  const double multiple =
      settings.overload_multiple * overload_budget_fraction(settings) * std::min(capacity, 1.0);
  // Until the endpoint serves a call, it may have recovered only just now. It gets no more calls than before
  // the outage, however many messages have accumulated.
  return record_.expected_rate * (is_awaiting_success() ? std::min(multiple, 1.0) : multiple);
}

Time EndpointHealth::call_ready_at(RoundContext& round, const EndpointId& id, EndpointPacing pacing) {
  const Time now = round.now();
  if (is_in_slow_start() && now >= record_.state_started_at + state_duration(round)) {
    change_to(round, HealthState::healthy, id, HealthChangeCause::slow_start_complete);
    record_.consecutive_failures = 0;
    record_.failure_fraction = 0;
  }
  if (is_healthy()) return now;
  const double rate = allowed_rate(round);
  record_.bucket.refill(now, rate, 1);
  const bool has_own_bucket = pacing == EndpointPacing::by_endpoint;
  const Time token_at = has_own_bucket ? record_.bucket.ready_at(1, std::max(rate, 1e-9)) : now;
  const Time ready = std::min(token_at, latest_call_time(round));
  return is_ejected() ? std::max(ready, record_.next_probe_at) : ready;
}

// Returns the time at which a call may be sent even without a token: the end of slow start, or, for an
// ejected endpoint, a time after which an endpoint that is hardly ever called must be probed.
Time EndpointHealth::latest_call_time(const RoundContext& round) const {
  const Time duration = state_duration(round);
  return record_.state_started_at + (is_ejected() ? kProbeWithoutTokenDurations : 1) * duration;
}

void EndpointHealth::on_call_sent(RoundContext& round, const RetryBackoff& backoff) {
  if (!is_healthy()) record_.bucket.take();
  if (!is_ejected()) return;
  const bool is_late_probe = round.now() >= latest_call_time(round);
  record_.next_probe_at =
      is_late_probe ? round.now() + state_duration(round) : next_probe_time(round, backoff);
}

void EndpointHealth::change_to(RoundContext& round, HealthState state, const EndpointId& id,
                               HealthChangeCause cause) {
  record_.state = state;
  record_.state_started_at = round.now();
  log_health_change(round, state, id, cause);
}

int OutlierDetector::overdue_call_count(const EndpointState& endpoint) const {
  const Time overdue_after =
      micros(kOverdueLatencyMultiple * endpoint.latency.recent() + kOverdueSlackSeconds);
  int count = 0;
  for (const CallId id : endpoint.calls) {
    const Time sent_at = calls_.at(id).sent_at;
    // A lost call does not mean that the endpoint is silent if it has served calls since. Therefore only
    // calls that were sent after the last served call count.
    if (round_.now() - sent_at > overdue_after && sent_at >= endpoint.health.record().last_served_at) count++;
  }
  return count;
}

// Sets the rate in calls per second that a healthy endpoint can be expected to serve for this relay: the
// relay's demand or, if higher, its share of a reported limit, which is less than the endpoint's capacity.
void OutlierDetector::update_expected_rate(EndpointState& endpoint) {
  if (!endpoint.health.is_healthy()) return;
  const auto siblings =
      endpoint.is_independent ? 1.0 : static_cast<double>(directory_.siblings_of(endpoint).size());
  const double quota = directory_.scope_of(endpoint).limiter.quota(round_) / std::max(1.0, siblings);
  const double min_rate = quota > 0 ? 0 : kMinEndpointRate / round_.settings().relay_count;
  endpoint.health.set_expected_rate(std::max({endpoint.demand.rate(round_.now()), quota, min_rate}));
}

void OutlierDetector::eject(EndpointState& endpoint, HealthChangeCause cause) {
  update_expected_rate(endpoint);
  endpoint.health.eject(round_, endpoint.info.id, cause, directory_.scope_of(endpoint).backoff);
}

// A new endpoint takes over the state of its siblings if none of them is healthy, so that it does not get
// full traffic while its destination is in an outage.
void OutlierDetector::on_added(EndpointState& endpoint) {
  const EndpointState* source = nullptr;
  for (const EndpointState* const sibling : directory_.siblings_of(endpoint))
    if (source == nullptr || sibling->health.is_healthy()) source = sibling;
  if (source != nullptr && !endpoint.is_independent && !source->health.is_healthy())
    endpoint.health.copy_state_from(round_, source->health);
}

void OutlierDetector::on_resumed(EndpointState& endpoint) {
  update_expected_rate(endpoint);
  endpoint.health.enter_slow_start(round_, endpoint.info.id, HealthChangeCause::operator_resumed);
}

void OutlierDetector::on_served(EndpointState& endpoint, Time sent_at) {
  directory_.scope_of(endpoint).consecutive_failures = 0;
  for (int i = 0; i < endpoint.health.record().isolated_failures; i++)
    isolated_failure_fraction_ += kIsolatedFailureGain * (1 - isolated_failure_fraction_);
  isolated_failure_fraction_ *= 1 - kIsolatedFailureGain;
  endpoint.health.on_served(round_, endpoint.info.id, sent_at);
}

void OutlierDetector::on_rejected(EndpointState& endpoint) {
  endpoint.health.on_rejected();
  const bool all_rejected = directory_.scope_of(endpoint).limiter.rejects_all_calls(round_);
  if (!all_rejected && endpoint.health.is_healthy()) return;
  endpoint.health.mark_failing();
  if (endpoint.is_independent) {
    if (all_rejected || endpoint.health.is_ejected()) eject(endpoint, HealthChangeCause::all_rejected);
    return;
  }
  for (EndpointState* const sibling : directory_.siblings_of(endpoint)) {
    if (!all_rejected && !sibling->health.is_ejected()) continue;
    sibling->health.count_failure();
    eject(*sibling, HealthChangeCause::all_rejected);
  }
}

double OutlierDetector::isolated_failure_fraction(const EndpointState& endpoint) const {
  return std::max(isolated_failure_fraction_, endpoint.health.record().isolated_failure_fraction);
}

// Returns the number of consecutive failures that indicate an outage because they are improbable by chance; 1
// if isolated failures are too rare to matter. Guards against ejecting healthy endpoints one after the other
// while connections are often reset, and against ejecting permanently the few endpoints that are hit.
int OutlierDetector::significant_failure_count(const EndpointState& endpoint) const {
  const double fraction = isolated_failure_fraction(endpoint);
  if (fraction < kMinIsolatedFailureFraction) return 1;
  const int count = static_cast<int>(std::ceil(std::log(kMaxChanceProbability) / std::log(fraction)));
  return std::min(kMaxFailuresToEject, count);
}

bool OutlierDetector::last_failure_may_be_isolated(const EndpointState& endpoint) const {
  return significant_failure_count(endpoint) > 1 && endpoint.health.record().consecutive_failures <= 1;
}

// Returns the number of consecutive failures that eject an endpoint at this relay's call rate. A relay that
// sends few calls requires fewer failures; otherwise it would detect an outage too late.
int OutlierDetector::required_failure_count(EndpointState& endpoint) const {
  const double calls = std::ceil(kEvidenceSeconds * endpoint.demand.rate(round_.now()));
  return std::clamp(static_cast<int>(calls), 1, kFailuresToEject);
}

void OutlierDetector::eject_if_failing(EndpointState& endpoint, const event::AttemptEnded& attempt) {
  const EndpointHealth& health = endpoint.health;
  const int significant = significant_failure_count(endpoint);
  // A single error is weak evidence, because healthy endpoints return some, too.
  const int min_failures = attempt.outcome == Outcome::error ? 2 : 1;
  const int required = std::max({required_failure_count(endpoint), min_failures, significant});
  // In slow start two consecutive failures eject the endpoint again. A single isolated failure must not make
  // it start over.
  int required_with_overdue = 1;
  if (health.is_healthy()) required_with_overdue = std::max(kFailuresToEject, significant);
  if (health.is_in_slow_start()) required_with_overdue = std::max(kFailuresToEject - 1, significant);
  const double max_fraction =
      kMaxFailureFraction + (significant > 1 ? isolated_failure_fraction(endpoint) : 0);
  const int consecutive = health.record().consecutive_failures;
  if (consecutive >= required || consecutive + overdue_call_count(endpoint) >= required_with_overdue ||
      health.record().failure_fraction > max_fraction)
    eject(endpoint, cause_of(attempt.outcome));
  // Endpoints that share a rate limit mostly fail together. Therefore the number of failures that ejects one
  // of them ejects all, whichever of them the failures hit. Fewer are enough where this relay sends few calls
  // and, in a large fleet, for calls without an answer, which are noticed late.
  RateLimitScope& scope = directory_.scope_of(endpoint);
  const bool unanswered = attempt.outcome == Outcome::timeout || attempt.outcome == Outcome::cancelled;
  const bool eject_early =
      scope.limiter.is_low_rate(round_) || (unanswered && is_large_fleet(round_.settings()));
  scope.consecutive_failures++;
  if (scope.consecutive_failures < (eject_early ? required : std::max(kFailuresToEject, significant))) return;
  if (!endpoint.is_independent) eject_siblings(endpoint, round_.now() - attempt.latency);
}

void OutlierDetector::eject_siblings(EndpointState& endpoint, Time failed_call_sent_at) {
  for (EndpointState* const sibling : directory_.siblings_of(endpoint)) {
    // A sibling that has served a call since the failed call was sent is working.
    if (!sibling->health.is_healthy() || sibling->health.record().last_served_at > failed_call_sent_at)
      continue;
    sibling->health.count_failure();
    eject(*sibling, HealthChangeCause::sibling_failures);
  }
}

}  // namespace dispatch
