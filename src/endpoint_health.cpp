#include "endpoint_health.hpp"

#include <cmath>

#include "call_table.hpp"
#include "endpoint_directory.hpp"

namespace dispatch {
namespace {

constexpr int kEjectionFailures = 3;        // failures without a served call that eject
constexpr double kMaxFailureShare = 0.5;    // a greater part of failing calls ejects
constexpr double kFailureShareGain = 0.15;  // weight of the newest call in that part
constexpr double kEvidenceTime = 3;         // seconds of own calls that must fail, kEjectionFailures at most
constexpr double kMinEndpointRate = 3;      // calls a second of all relays that an endpoint is taken to get
// Isolated failures.
constexpr double kIsolatedFailureGain = 0.02;      // weight of the newest call in their part of all calls,
constexpr double kOwnIsolatedFailureGain = 0.1;    // and of those at one endpoint, which sees fewer
constexpr double kMinIsolatedFailureShare = 0.05;  // less of them are not reckoned with
constexpr double kMaxChance = 0.003;       // a run that is likelier than this by chance ejects nothing
constexpr int kIsolatedFailuresOfRun = 2;  // of one run counted at most: the rest may be an outage
constexpr int kMaxEjectionFailures = 8;    // so many eject whatever the chance

Time state_duration(const RoundContext& round) {
  return std::max(round.settings().slow_start_duration, micros(round.shortest_objective()));
}
Time next_probe(RoundContext& round, const RetryBackoff& backoff) {
  return round.now() + micros(jittered(round, std::max(backoff.delay(round), initial_backoff(round))));
}

}  // namespace

bool EndpointHealth::remembers_outage(const RoundContext& round) const {
  return !is_healthy() && round.now() < record_.changed_at + state_duration(round);
}

CallKind EndpointHealth::kind_of_next_call() const {
  if (is_healthy()) return CallKind::ordinary;
  return is_ejected() ? CallKind::probe : CallKind::slow_start;
}

void EndpointHealth::on_served(RoundContext& round, const EndpointId& id, Time sent_at) {
  record_.served_at = round.now();
  record_.newest_served_send = std::max(record_.newest_served_send, sent_at);
  record_.failure_share *= 1 - kFailureShareGain;
  if (is_ejected()) {
    const Time ejected_for = round.now() - record_.changed_at;
    // Ejected on overdue calls alone, and they were answered after all: slow, not out, so needs no slow
    // start.
    const bool slow = record_.consecutive_failures == 0 && record_.failure_share < kMaxFailureShare / 2;
    if (slow)
      change_to(round, HealthState::healthy, id, HealthChangeCause::late_answer);
    else
      change_to(round, HealthState::slow_start, id, HealthChangeCause::probe_succeeded);
    // It came back some time since the last failure. Many relays that each take it to be now, one after the
    // other as their probes fall due, would start seconds late.
    if (!slow) record_.changed_at = round.now() - ejected_for / 2;
    record_.bucket.set(record_.bucket.tokens(), round.now());
  }
  for (; record_.isolated_failures > 0; record_.isolated_failures--)
    record_.isolated_failure_share += kOwnIsolatedFailureGain * (1 - record_.isolated_failure_share);
  record_.isolated_failure_share *= 1 - kOwnIsolatedFailureGain;
  record_.consecutive_failures = 0;
}

void EndpointHealth::on_failed(Outcome outcome) {
  record_.consecutive_failures++;
  if (outcome == Outcome::reset || outcome == Outcome::error)
    record_.isolated_failures = std::min(record_.isolated_failures + 1, kIsolatedFailuresOfRun);
  record_.last_failure_may_have_run = outcome != Outcome::connect_failed;
  record_.failure_share += kFailureShareGain * (1 - record_.failure_share);
}

void EndpointHealth::eject(RoundContext& round, const EndpointId& id, HealthChangeCause cause,
                           const RetryBackoff& backoff) {
  // Each relay starts anywhere between two of its probes, else those of many would come together.
  if (is_healthy()) record_.bucket.set(round.uniform(), round.now());
  if (!is_ejected()) change_to(round, HealthState::ejected, id, cause);
  record_.changed_at = round.now();
  record_.next_probe_at = next_probe(round, backoff);
}

void EndpointHealth::start_slowly(RoundContext& round, const EndpointId& id, HealthChangeCause cause) {
  change_to(round, HealthState::slow_start, id, cause);
  record_.bucket.set(round.uniform(), round.now());
  record_.consecutive_failures = 0;
  record_.failure_share = 0;
}

void EndpointHealth::inherit(RoundContext& round, const EndpointHealth& sibling) {
  record_.state = sibling.record_.state;
  record_.changed_at = sibling.record_.changed_at;
  record_.expected_rate = sibling.record_.expected_rate;
  record_.next_probe_at = round.now();
  record_.bucket.set(round.uniform(), round.now());
}

// Its part, by this relay's own first attempts, of what the endpoint stands for sure. No floor: in a fleet of
// hundreds that each see a call a minute, floors of one call each would overload it.
double EndpointHealth::allowed_rate(const RoundContext& round) const {
  const Settings& settings = round.settings();
  double capacity = settings.slow_start_capacity_fraction;
  if (is_in_slow_start())
    capacity += (1 - settings.slow_start_capacity_fraction) * seconds(round.now() - record_.changed_at) /
                seconds(state_duration(round));
  const double multiple = settings.overload_multiple * overload_budget(settings) * std::min(capacity, 1.0);
  // Not served since: perhaps it returned only now, so no more than was asked of it before, backlog or not.
  return record_.expected_rate * (is_on_probation() ? std::min(multiple, 1.0) : multiple);
}

Time EndpointHealth::call_ready_at(RoundContext& round, const EndpointId& id) {
  const Time now = round.now();
  if (!is_healthy() && now >= record_.changed_at + state_duration(round)) {
    if (is_in_slow_start()) {
      change_to(round, HealthState::healthy, id, HealthChangeCause::slow_start_complete);
      record_.consecutive_failures = 0;
      record_.failure_share = 0;
    } else {
      // Also where the tokens never allowed a probe: held messages must not go out all at once.
      change_to(round, HealthState::slow_start, id, HealthChangeCause::ejection_expired);
    }
  }
  if (is_healthy()) return now;
  const double rate = allowed_rate(round);
  record_.bucket.refill(now, rate, 1);
  const Time token_at = record_.bucket.ready_at(1, std::max(rate, 1e-9));
  const Time ready = std::min(token_at, record_.changed_at + state_duration(round));
  return is_ejected() ? std::max(ready, record_.next_probe_at) : ready;
}

void EndpointHealth::on_call_sent(RoundContext& round, const RetryBackoff& backoff) {
  if (!is_healthy()) record_.bucket.take();
  if (is_ejected()) record_.next_probe_at = next_probe(round, backoff);
}

void EndpointHealth::change_to(RoundContext& round, HealthState state, const EndpointId& id,
                               HealthChangeCause cause) {
  record_.state = state;
  record_.changed_at = round.now();
  log_health_change(round, state, id, cause);
}

int OutlierDetector::overdue_calls(const EndpointState& endpoint) const {
  const Time overdue_after = micros(kOverdueLatencies * endpoint.latency.recent() + kOverdueSlack);
  int count = 0;
  for (const CallId id : endpoint.calls) {
    const Time sent_at = calls_.at(id).sent_at;
    // One lost among many answered is no sign of silence: only those sent since the last served call count.
    if (round_.now() - sent_at > overdue_after && sent_at >= endpoint.health.record().served_at) count++;
  }
  return count;
}

// What this relay may count on as its part of what a sound endpoint takes, in calls a second: what it asked
// of it, or its part of a notified limit, which is less than the capacity.
void OutlierDetector::remember_rate(EndpointState& endpoint) {
  if (!endpoint.health.is_healthy()) return;
  const auto siblings =
      endpoint.independent_route ? 1.0 : static_cast<double>(directory_.siblings_of(endpoint).size());
  const double quota = directory_.scope_of(endpoint).limiter.quota(round_) / std::max(1.0, siblings);
  const double least = quota > 0 ? 0 : kMinEndpointRate / round_.settings().relay_count;
  endpoint.health.remember_rate(std::max({endpoint.demand.rate(round_.now()), quota, least}));
}

void OutlierDetector::eject(EndpointState& endpoint, HealthChangeCause cause) {
  remember_rate(endpoint);
  endpoint.health.eject(round_, endpoint.info.id, cause, directory_.scope_of(endpoint).backoff);
}

// A new endpoint of a destination in an outage is no way around its siblings' state.
void OutlierDetector::on_added(EndpointState& endpoint) {
  const EndpointState* model = nullptr;
  for (const EndpointState* const sibling : directory_.siblings_of(endpoint))
    if (model == nullptr || sibling->health.is_healthy()) model = sibling;
  if (model != nullptr && !endpoint.independent_route && !model->health.is_healthy())
    endpoint.health.inherit(round_, model->health);
}

void OutlierDetector::on_resumed(EndpointState& endpoint) {
  remember_rate(endpoint);
  endpoint.health.start_slowly(round_, endpoint.info.id, HealthChangeCause::operator_resumed);
}

void OutlierDetector::on_served(EndpointState& endpoint, Time sent_at) {
  directory_.scope_of(endpoint).failures = 0;
  for (int i = 0; i < endpoint.health.record().isolated_failures; i++)
    isolated_failure_share_ += kIsolatedFailureGain * (1 - isolated_failure_share_);
  isolated_failure_share_ *= 1 - kIsolatedFailureGain;
  endpoint.health.on_served(round_, endpoint.info.id, sent_at);
}

void OutlierDetector::on_rejected(EndpointState& endpoint) {
  endpoint.health.on_rejected();
  const bool shut = directory_.scope_of(endpoint).limiter.rejects_all_calls(round_);
  if (!shut && endpoint.health.is_healthy()) return;
  endpoint.health.count_as_failing();
  if (endpoint.independent_route) {
    if (shut || endpoint.health.is_ejected()) eject(endpoint, HealthChangeCause::all_rejected);
    return;
  }
  for (EndpointState* const sibling : directory_.siblings_of(endpoint)) {
    if (!shut && !sibling->health.is_ejected()) continue;
    sibling->health.count_failure();
    eject(*sibling, HealthChangeCause::all_rejected);
  }
}

double OutlierDetector::isolated_failure_share(const EndpointState& endpoint) const {
  return std::max(isolated_failure_share_, endpoint.health.record().isolated_failure_share);
}

// How long a run of failures must be to tell an outage; 1 where isolated failures are too rare to matter.
// Guards against ejecting sound endpoints one after the other on a day of resets, and for good the few that
// they strike.
int OutlierDetector::failures_beyond_chance(const EndpointState& endpoint) const {
  const double share = isolated_failure_share(endpoint);
  if (share < kMinIsolatedFailureShare) return 1;
  const int run = static_cast<int>(std::ceil(std::log(kMaxChance) / std::log(share)));
  return std::min(kMaxEjectionFailures, run);
}

bool OutlierDetector::may_be_isolated(const EndpointState& endpoint) const {
  return failures_beyond_chance(endpoint) > 1 && endpoint.health.record().consecutive_failures <= 1;
}

// Where this relay calls seldom, fewer failures must do, else each relay's would come too late.
int OutlierDetector::failures_of_own_calls(EndpointState& endpoint) const {
  const double calls = std::ceil(kEvidenceTime * endpoint.demand.rate(round_.now()));
  return std::clamp(static_cast<int>(calls), 1, kEjectionFailures);
}

void OutlierDetector::eject_failing(EndpointState& endpoint, const event::AttemptEnded& attempt) {
  const EndpointHealth& health = endpoint.health;
  const int chance = failures_beyond_chance(endpoint);
  // A single error proves little: some come from sound endpoints too.
  const int least = attempt.outcome == Outcome::error ? 2 : 1;
  const int failures = std::max({failures_of_own_calls(endpoint), least, chance});
  // In slow start two in a row eject again: one isolated failure must not begin it anew.
  int failures_or_overdue = 1;
  if (health.is_healthy()) failures_or_overdue = std::max(kEjectionFailures, chance);
  if (health.is_in_slow_start()) failures_or_overdue = std::max(kEjectionFailures - 1, chance);
  const double max_share = kMaxFailureShare + (chance > 1 ? isolated_failure_share(endpoint) : 0);
  const int run = health.record().consecutive_failures;
  if (run >= failures || run + overdue_calls(endpoint) >= failures_or_overdue ||
      health.record().failure_share > max_share)
    eject(endpoint, cause_of(attempt.outcome));
  // Endpoints that share a limit mostly go out together: as many failures at any of them as eject one eject
  // all. Fewer where this relay calls seldom; in a large fleet for silence too, which is noticed late.
  RateLimitScope& scope = directory_.scope_of(endpoint);
  const bool silent = attempt.outcome == Outcome::timeout || attempt.outcome == Outcome::cancelled;
  const bool soon = scope.limiter.is_low_rate(round_) || (silent && is_large_fleet(round_.settings()));
  scope.failures++;
  if (scope.failures < (soon ? failures : std::max(kEjectionFailures, chance))) return;
  if (!endpoint.independent_route) eject_siblings(endpoint, round_.now() - attempt.latency);
}

void OutlierDetector::eject_siblings(EndpointState& endpoint, Time failed_call_sent_at) {
  for (EndpointState* const sibling : directory_.siblings_of(endpoint)) {
    // One that has answered since the failed call was sent is at work.
    if (!sibling->health.is_healthy() || sibling->health.record().served_at > failed_call_sent_at) continue;
    sibling->health.count_failure();
    eject(*sibling, HealthChangeCause::sibling_failures);
  }
}

}  // namespace dispatch
