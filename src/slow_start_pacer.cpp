#include "slow_start_pacer.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dispatch {
namespace {

// Weight of the newest call in the moving average of the fraction of unsuccessful calls.
constexpr double kUnsuccessfulFractionGain = 0.15;
// Available destinations return some errors and rejections, too. This many in a row limit the calls.
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

// Returns the number of calls that all notified relays together may send in overload_duration. `expected` is
// the number N that the settings allow.
double notified_budget(double expected) {
  const double multiple = expected < kLargeCallCount ? kSmallCountChanceMultiple : kChanceMultiple;
  return kNotifiedFraction * (expected + multiple * std::sqrt(expected) + multiple);
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
  if (!was_active && call.is_weak_evidence && record_.consecutive_unsuccessful < kWeakEvidenceCalls)
    return false;
  if (!was_active) {
    record_.demand = load.demand;
    record_.interrupted_slow_start_at = -kNever;
  }
  if (is_in_slow_start) record_.interrupted_slow_start_at = record_.phase_started_at;
  const Time blocked_until = std::max(round.now(), call.blocked_until);
  begin_phase(SlowStartPhase::awaiting_success, blocked_until);
  record_.last_unsuccessful_sent_at = std::max(record_.last_unsuccessful_sent_at, call.sent_at);
  if (!was_active || blocked_until > round.now())
    record_.bucket.set(initial_tokens(round, load.rate_limit), blocked_until);
  return !was_active;
}

bool SlowStartPacer::on_served(const RoundContext& round, Time sent_at, const KnownLoad& load) {
  update_phase(round);
  record_.unsuccessful_fraction *= 1 - kUnsuccessfulFractionGain;
  record_.consecutive_unsuccessful = 0;
  const Time earlier_served_at = std::exchange(record_.last_served_at, round.now());
  const bool ends_wait =
      record_.phase == SlowStartPhase::awaiting_success && sent_at > record_.last_unsuccessful_sent_at;
  if (!ends_wait) return false;
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
Time SlowStartPacer::estimated_recovery(const RoundContext& round, double rate_limit) const {
  const Time since_unsuccessful = std::max<Time>(round.now() - record_.phase_started_at, 0);
  const double interval = 1 / std::max(allowance(round, rate_limit).rate, kMinRate);
  return round.now() - std::min(since_unsuccessful, micros(interval)) / 2;
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
}

// Without further calls, the wait for a success ends after a time. Otherwise a destination that the relay
// hardly ever calls would stay limited.
void SlowStartPacer::update_phase(const RoundContext& round) {
  const Time duration = phase_duration(round);
  if (record_.phase == SlowStartPhase::awaiting_success && round.now() >= record_.phase_started_at + duration)
    begin_phase(SlowStartPhase::slow_start, record_.phase_started_at + duration);
  if (record_.phase == SlowStartPhase::slow_start && round.now() >= record_.phase_started_at + duration)
    begin_phase(SlowStartPhase::inactive, round.now());
}

bool SlowStartPacer::has_recent_outage(const RoundContext& round) const {
  const Time duration = phase_duration(round);
  const Time limited_for = record_.phase == SlowStartPhase::awaiting_success ? 2 * duration : duration;
  return is_active() && round.now() < record_.phase_started_at + limited_for;
}

// Returns the calls that this relay may send. The mean of its share by demand and an equal share bounds the
// sum over all relays, while those with much traffic get more.
SlowStartPacer::Allowance SlowStartPacer::allowance(const RoundContext& round, double rate_limit) const {
  const Settings& settings = round.settings();
  const double equal_share = 1.0 / settings.relay_count;
  const double full_rate =
      rate_limit > 0 ? rate_limit : std::max(record_.demand * settings.relay_count, kMinDestinationRate);
  const double demand_share = rate_limit > 0 ? record_.demand / full_rate : equal_share;
  const double share = std::min(1.0, (demand_share + equal_share) / 2);
  double capacity_fraction = settings.slow_start_capacity_fraction;
  if (record_.phase == SlowStartPhase::slow_start)
    capacity_fraction += (1 - capacity_fraction) * seconds(round.now() - record_.phase_started_at) /
                         seconds(phase_duration(round));
  const double window = seconds(settings.overload_duration);
  const double budget =
      notified_budget(settings.overload_multiple * std::min(capacity_fraction, 1.0) * full_rate * window);
  const double burst = kBurstFraction * share * budget;
  if (burst >= 1) return {.rate = (share * budget - burst) / window, .burst = burst};
  return {.rate = share * mean_within(budget) / window, .burst = 1};
}

Time SlowStartPacer::token_ready_at(const RoundContext& round, double rate_limit) {
  update_phase(round);
  if (!is_active()) return round.now();
  TokenBucket& bucket = record_.bucket;
  if (round.now() < bucket.refilled_at()) return bucket.refilled_at();
  const Allowance allowed = allowance(round, rate_limit);
  bucket.refill(round.now(), allowed.rate, allowed.burst);
  const Time end = record_.phase_started_at + phase_duration(round);
  return std::min(bucket.ready_at(1, std::max(allowed.rate, kMinRate)), end);
}

void SlowStartPacer::take_token() {
  if (is_active()) record_.bucket.take();
}

}  // namespace dispatch
