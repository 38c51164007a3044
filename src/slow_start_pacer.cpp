#include "slow_start_pacer.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dispatch {
namespace {

// Weight of the newest call in the moving average of the fraction of unsuccessful calls.
constexpr double kUnsuccessfulFractionGain = 0.15;
// Available destinations return some errors and rejections, too. From this many in a row on, no token is left
// for a retry.
constexpr int kWeakEvidenceCalls = 2;
// A larger fraction is an outage even if single calls are served.
constexpr double kMaxUnsuccessfulFraction = 0.7;
// Calls per second from all relays together that a destination is assumed to receive at least.
constexpr double kMinDestinationRate = 3;

// A smaller rate, in calls per second, counts as this one where it is divided by.
constexpr double kMinRate = 1e-9;

// The platform's allowance for chance: a destination in slow start withstands N calls plus a multiple of the
// square root of N, plus the same number. The multiple is larger for a small N.
constexpr double kLargeCallCount = 30;
constexpr double kChanceMultiple = 2;
constexpr double kSmallCountChanceMultiple = 3;
// The budget is exceeded by the notified relays if more than this fraction of the calls comes from them.
constexpr double kNotifiedFraction = 2.0 / 3;
// The number of calls that many relays send independently is a Poisson variable. Its mean is chosen so that
// this many standard deviations above it are within the budget.
constexpr double kDeviationsWithinBudget = 2;
// The fraction of a relay's share of the budget that it may use at once, if that is a whole call.
constexpr double kBurstFraction = 0.5;
// Slow start is taken to have begun at most this fraction of its duration before the first served call.
constexpr double kMaxElapsedFraction = 0.5;

// Returns the number of calls that a destination in slow start withstands in overload_duration. `expected` is
// the number N that the settings allow.
double total_budget(double expected) {
  const double multiple = expected < kLargeCallCount ? kSmallCountChanceMultiple : kChanceMultiple;
  return expected + multiple * std::sqrt(expected) + multiple;
}

// Returns the mean number of calls of many relays for which the budget is not exceeded by chance.
double mean_within(double budget) {
  // Solves mean + kDeviationsWithinBudget * sqrt(mean) = budget.
  constexpr double half = kDeviationsWithinBudget / 2;
  const double root = std::sqrt(budget + half * half) - half;
  return root * root;
}

Time phase_duration(const RoundContext& round) {
  return std::max(round.settings().slow_start_duration, micros(round.shortest_objective()));
}

// Returns the calls per second of a relay that calls the destination so seldom that it waits for messages
// rather than for tokens. `full_rate` is the rate at which all relays call the destination, `allowed_rate`
// the rate that it withstands.
//
// If each of n relays sends a call no sooner than T after its last one, and has a message every n / full_rate
// on average, all send full_rate / (1 + T * full_rate / n) together. T is chosen so that this is
// allowed_rate. The duration of slow start is added, so that messages that arrive together are not sent at
// once.
double rate_of_occasional_calls(const RoundContext& round, double full_rate, double allowed_rate) {
  const double excess = std::max(full_rate / std::max(allowed_rate, kMinRate) - 1, 0.0);
  return 1 / (seconds(phase_duration(round)) + excess * round.settings().relay_count / full_rate);
}

}  // namespace

bool SlowStartPacer::on_unsuccessful(RoundContext& round, const UnsuccessfulCall& call,
                                     const KnownLoad& load) {
  update_phase(round);
  record_.consecutive_unsuccessful++;
  record_.unsuccessful_fraction += kUnsuccessfulFractionGain * (1 - record_.unsuccessful_fraction);
  const bool is_in_slow_start = record_.phase == SlowStartPhase::slow_start;
  // The call was lost in the outage that this slow start follows.
  if (is_in_slow_start && call.sent_at < record_.phase_started_at) return false;
  const bool was_active = is_active();
  if (!was_active && call.is_explained_by_limit && record_.consecutive_unsuccessful < kWeakEvidenceCalls)
    return false;
  if (!was_active) {
    record_.demand = load.demand;
    record_.interrupted_slow_start_at = -kNever;
  }
  if (is_in_slow_start) record_.interrupted_slow_start_at = record_.phase_started_at;
  const Time blocked_until = std::max(round.now(), call.blocked_until);
  begin_phase(SlowStartPhase::awaiting_success, blocked_until);
  record_.last_unsuccessful_sent_at = std::max(record_.last_unsuccessful_sent_at, call.sent_at);
  if (!was_active || blocked_until > round.now() || record_.consecutive_unsuccessful == kWeakEvidenceCalls)
    set_tokens(round, call, load, blocked_until);
  return !was_active;
}

// A message whose call failed by chance must not wait for minutes where this relay's share is small, so a
// single failure leaves a token for its retry. Nor does it delay calls while the destination has served one
// so recently that an outage since then can't be over. After a Retry-After the random number of tokens keeps
// relays that were told the same end from resuming together.
void SlowStartPacer::set_tokens(RoundContext& round, const UnsuccessfulCall& call, const KnownLoad& load,
                                Time blocked_until) {
  const bool is_single_failure = record_.consecutive_unsuccessful < kWeakEvidenceCalls;
  const bool is_blocked = blocked_until > round.now();
  const bool is_weak = is_single_failure && call.is_weak_evidence;
  if (is_weak) record_.unlimited_until = record_.last_served_at + round.settings().overload_duration;
  if (is_weak && !is_blocked)
    return record_.bucket.set(allowance(round, load.rate_limit).burst, blocked_until);
  const double initial = initial_tokens(round, load.rate_limit);
  const bool keeps_fewer = !is_single_failure && !is_blocked;
  record_.bucket.set(keeps_fewer ? std::min(record_.bucket.tokens(), initial) : initial, blocked_until);
}

bool SlowStartPacer::on_served(const RoundContext& round, Time sent_at, const KnownLoad& load) {
  update_phase(round);
  record_.unsuccessful_fraction *= 1 - kUnsuccessfulFractionGain;
  record_.consecutive_unsuccessful = 0;
  const bool is_awaiting = record_.phase == SlowStartPhase::awaiting_success;
  // The call tells nothing of the time after the unsuccessful one.
  if (is_awaiting && sent_at <= record_.last_unsuccessful_sent_at) return false;
  const Time earlier_served_at = std::exchange(record_.last_served_at, round.now());
  if (!is_awaiting) return false;
  record_.demand = load.demand;
  // An outage between two served calls can have lasted no longer than the time between them. A destination
  // is overloaded only by more calls than can be sent in overload_duration.
  const bool may_have_had_outage = sent_at - earlier_served_at > round.settings().overload_duration ||
                                   record_.unsuccessful_fraction > kMaxUnsuccessfulFraction;
  if (may_have_had_outage) {
    begin_phase(SlowStartPhase::slow_start, estimated_recovery(round, load.rate_limit));
    return true;
  }
  const bool was_in_slow_start = record_.interrupted_slow_start_at > -kNever;
  begin_phase(was_in_slow_start ? SlowStartPhase::slow_start : SlowStartPhase::inactive,
              was_in_slow_start ? record_.interrupted_slow_start_at : round.now());
  update_phase(round);
  return false;
}

// The destination recovered at some time since the last unsuccessful call; the middle is the best estimate.
// A relay that may send often would have noticed a recovery earlier than half an interval of its calls ago.
// However long there was no call, the destination may have recovered just now, and messages that arrived
// together must not follow at once.
Time SlowStartPacer::estimated_recovery(const RoundContext& round, double rate_limit) const {
  const Time since_unsuccessful = std::max<Time>(round.now() - record_.phase_started_at, 0);
  const double interval = 1 / std::max(allowance(round, rate_limit).rate, kMinRate);
  const auto longest = static_cast<Time>(kMaxElapsedFraction * static_cast<double>(phase_duration(round)));
  return round.now() - std::min(std::min(since_unsuccessful, micros(interval)) / 2, longest);
}

// Where the allowance is less than one call, the random number of tokens spreads the next calls of many
// relays.
double SlowStartPacer::initial_tokens(RoundContext& round, double rate_limit) const {
  const double burst = allowance(round, rate_limit).burst;
  return burst > 1 ? burst : round.uniform();
}

void SlowStartPacer::begin_phase(SlowStartPhase phase, Time at) {
  record_.phase = phase;
  record_.phase_started_at = at;
  record_.unlimited_until = -kNever;
}

// Slow start follows a served call and lasts for a known time. The wait for a success has no such end: as
// long as no call is served, the outage may go on.
void SlowStartPacer::update_phase(const RoundContext& round) {
  if (record_.phase == SlowStartPhase::slow_start && !is_limiting(round))
    begin_phase(SlowStartPhase::inactive, round.now());
}

bool SlowStartPacer::is_limiting(const RoundContext& round) const {
  if (record_.phase == SlowStartPhase::slow_start)
    return round.now() < record_.phase_started_at + phase_duration(round);
  return record_.phase == SlowStartPhase::awaiting_success;
}

bool SlowStartPacer::has_recent_outage(const RoundContext& round) const {
  return is_limiting(round) && round.now() < record_.phase_started_at + 2 * phase_duration(round);
}

// Returns the calls that this relay may send. The mean of its share by demand and an equal share bounds the
// sum over all relays, while those with much traffic get more.
SlowStartPacer::Allowance SlowStartPacer::allowance(const RoundContext& round, double rate_limit) const {
  const Settings& settings = round.settings();
  const double full_rate =
      rate_limit > 0 ? rate_limit : std::max(record_.demand * settings.relay_count, kMinDestinationRate);
  const double equal_share = 1.0 / settings.relay_count;
  const double demand_share = rate_limit > 0 ? record_.demand / full_rate : equal_share;
  const double share = std::min(1.0, (demand_share + equal_share) / 2);
  double capacity_fraction = settings.slow_start_capacity_fraction;
  if (record_.phase == SlowStartPhase::slow_start)
    capacity_fraction += (1 - capacity_fraction) * seconds(round.now() - record_.phase_started_at) /
                         seconds(phase_duration(round));
  const double window = seconds(settings.overload_duration);
  const double budget =
      total_budget(settings.overload_multiple * std::min(capacity_fraction, 1.0) * full_rate * window);
  const double notified_budget = kNotifiedFraction * budget;
  const double burst = kBurstFraction * share * notified_budget;
  if (burst >= 1) return {.rate = (share * notified_budget - burst) / window, .burst = burst};
  const double shared_rate = share * mean_within(notified_budget) / window;
  const double occasional_rate = rate_of_occasional_calls(round, full_rate, mean_within(budget) / window);
  return {.rate = std::max(shared_rate, occasional_rate), .burst = 1};
}

Time SlowStartPacer::token_ready_at(const RoundContext& round, double rate_limit) {
  update_phase(round);
  const bool may_have_recovered = round.now() > record_.unlimited_until;
  if (!is_active() || !may_have_recovered) return round.now();
  TokenBucket& bucket = record_.bucket;
  if (round.now() < bucket.refilled_at()) return bucket.refilled_at();
  const Allowance allowed = allowance(round, rate_limit);
  bucket.refill(round.now(), allowed.rate, allowed.burst);
  const Time ready = bucket.ready_at(1, std::max(allowed.rate, kMinRate));
  if (record_.phase == SlowStartPhase::awaiting_success) return ready;
  return std::min(ready, record_.phase_started_at + phase_duration(round));
}

void SlowStartPacer::take_token(const RoundContext& round) {
  if (is_active() && round.now() > record_.unlimited_until) record_.bucket.take();
}

}  // namespace dispatch
