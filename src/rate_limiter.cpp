#include "rate_limiter.hpp"

#include <cmath>
#include <utility>

#include "gossip_message.hpp"

namespace dispatch {
namespace {

// Times in seconds.
constexpr double kRejectionGap = 0.3;  // rejections closer than this are one event
// The token rate without a quota.
constexpr double kRateDecrease = 0.85;       // factor on a further rejection,
constexpr double kMaxRateOverServed = 1.25;  // which starts from no more than this times the served rate
constexpr double kRateGrowth = 0.15;         // growth a second while calls are served,
constexpr double kRateStep = 0.25;           // and on top calls in a shortest objective, a second
constexpr double kBurstTime = 0.3;           // of the rate may be saved up
// The token rate within a quota, as parts of the quota.
constexpr double kInitialQuota = 1;                      // before the first answer
constexpr double kQuotaDecrease = 0.5, kMinQuota = 0.3;  // factor on a rejection, and the least
constexpr double kSafeQuota = 0.8,
                 kQuotaGrowth = 0.25;    // the limit fills again with it; growth to it a second
constexpr double kAmpleRemaining = 0.5;  // with this part of the limit left
constexpr double kQuotaIncrement = 0.2;  // a served call raises it by so much
constexpr double kMaxQuota = 4;          // above it the rate is unlimited again
constexpr double kLowRateCalls = 1;      // a quota of fewer calls in a shortest deadline is a low rate
// Admission.
constexpr double kMinAdmission = 0.02, kAdmissionDecrease = 0.5;
constexpr double kMinRecentServes = 2;  // recent served calls under which a relay's own rate says little
constexpr double kGossipGap = 0.03;     // between gossip of all relays together: it costs by the receiver
// A destination that is shut.
constexpr int kShutRejections = 4;  // so many without a served call,
constexpr double kShutTime = 1.5;   // when they span this time

}  // namespace

// Guards against a release: the relays that were killed together know nothing, and all that comes to them
// again would go to the endpoints at once.
void RateLimiter::start_from_weight(RoundContext& round, double weight) {
  if (record_.notified_limit > 0 || round.settings().weight_kind == WeightKind::none) return;
  record_.notified_limit = weight;
  if (token_quota(round) == 0) return;
  record_.rate = kInitialQuota * token_quota(round);
  record_.bucket.set(round.uniform(), round.now());
  record_.rate_raised_at = round.now();
}

void RateLimiter::notify(const RoundContext& round, double rate_limit, Time retry_after) {
  if (rate_limit > 0) record_.notified_limit = rate_limit;
  if (retry_after <= 0) return;
  record_.retry_after_until = std::max(record_.retry_after_until, round.now() + retry_after);
}

double RateLimiter::quota(const RoundContext& round) const {
  return is_large_fleet(round.settings()) ? record_.notified_limit / round.settings().relay_count : 0;
}

bool RateLimiter::is_low_rate(const RoundContext& round) const {
  const double own = quota(round);
  return own > 0 && own * round.shortest_deadline() < kLowRateCalls;
}

bool RateLimiter::rejects_everything(const RoundContext& round) const {
  const Time span = round.now() - record_.first_rejection_at;
  return record_.rejections >= kShutRejections && span >= micros(kShutTime);
}

void RateLimiter::on_served(const RoundContext& round, RejectionStatistics& statistics,
                            const LoadReport& report) {
  record_.served.add_event(round.now());
  if (record_.rejections > 0) statistics.record_after_rejection(kind_, 1);
  record_.rejections = 0;
  raise_rate(round, report);
}

void RateLimiter::on_rejected(RoundContext& round, RejectionStatistics& statistics,
                              const RetryBackoff& backoff, CallKind kind, const EndpointId& endpoint) {
  if (record_.rejections > 0) statistics.record_after_rejection(kind_, 0);
  if (record_.rejections == 0) record_.first_rejection_at = round.now();
  record_.rejections++;
  if (kind == CallKind::probe) return;
  reduce_rate(round, statistics, backoff);
  reduce_admission(round, statistics, RejectionSource::own_call, endpoint);
}

// A relay that calls seldom has no served rate to go by: it may make one call a backoff, rarer with each
// rejection in a row, the more so where such calls were mostly rejected again (rejected calls use up some
// limits). A small fleet need not go below one call in the longest backoff. Guards against a rate that a
// burst of rejections cuts to one call in hours, from which no served call ever raises it.
double RateLimiter::min_rate(const RoundContext& round, const RejectionStatistics& statistics,
                             const RetryBackoff& backoff) const {
  const double rate = std::pow(statistics.served_after_rejection(kind_), record_.rejections) /
                      std::max(backoff.delay(round), initial_backoff(round));
  return is_large_fleet(round.settings()) ? rate : std::max(rate, 1 / max_backoff(round));
}

void RateLimiter::reduce_rate(RoundContext& round, const RejectionStatistics& statistics,
                              const RetryBackoff& backoff) {
  const Time now = round.now();
  if (now - record_.rate_reduced_at < micros(kRejectionGap)) return;
  record_.rate_reduced_at = now;
  record_.rate_raised_at = now;
  if (const double own = token_quota(round); own > 0) return reduce_rate_to_quota(round, own);
  const double least = min_rate(round, statistics, backoff);
  const double recent = std::max(record_.served.rate(now), least);
  const bool first = record_.rate == kUnlimited;
  const double reduced = std::min(record_.rate, kMaxRateOverServed * recent) * kRateDecrease;
  record_.rate = first ? recent : std::max(reduced, least);
  record_.bucket.set(first ? 0 : record_.bucket.tokens(), now);
}

void RateLimiter::reduce_rate_to_quota(RoundContext& round, double quota) {
  const double from = std::min(record_.rate, std::max(quota, record_.served.rate(round.now())));
  record_.rate = std::max(from * kQuotaDecrease, kMinQuota * quota);
  // Rejected together, with the same Retry-After and the same rate, all relays would come back together:
  // nothing is saved up until then, and each goes on from anywhere around nothing.
  record_.bucket.set(round.uniform() - 0.5, std::max(round.now(), record_.retry_after_until));
}

// Its own served calls teach a relay that calls seldom too slowly that a limit has capacity again; what the
// answers tell of all relays' calls does. Guards against a limit left half unused while messages for it
// expire.
void RateLimiter::raise_rate(const RoundContext& round, const LoadReport& report) {
  const Time now = round.now();
  const Time raised_at = std::exchange(record_.rate_raised_at, now);
  double& rate = record_.rate;
  if (rate == kUnlimited) return;
  if (const double own = token_quota(round); own > 0) {
    if (report.remaining_fraction >= kAmpleRemaining)
      rate = std::max(rate + kQuotaIncrement * own, kSafeQuota * own);
    if (rate > kMaxQuota * own) rate = kUnlimited;
    return;
  }
  const double elapsed = std::min(seconds(now - raised_at), std::max(1.0, 2 / rate));
  rate += elapsed * (kRateGrowth * rate + kRateStep / round.shortest_objective());
}

Time RateLimiter::token_ready_at(const RoundContext& round) {
  const Time now = round.now();
  double& rate = record_.rate;
  TokenBucket& bucket = record_.bucket;
  if (rate == kUnlimited) return now;
  if (now < bucket.refilled_at()) return bucket.refilled_at();
  // Of a rejection long ago nothing is left but that all relays together stay below the limit.
  const double safe = kSafeQuota * token_quota(round);
  if (rate < safe)
    rate = std::min(safe, rate + kQuotaGrowth * token_quota(round) * seconds(now - bucket.refilled_at()));
  bucket.refill(now, rate, std::max(1.0, rate * kBurstTime));
  return bucket.ready_at(1, rate);
}

void RateLimiter::take_token() {
  if (record_.rate != kUnlimited) record_.bucket.take();
}

double RateLimiter::admission_probability(const RoundContext& round) const {
  const double grown = std::exp(kRateGrowth * seconds(round.now() - record_.admission_reduced_at));
  return std::min(1.0, record_.admission_probability * grown);
}

// All relays meet a limit together: a part of the attempts is admitted, reduced and raised as the rate is,
// and told to the others where gossip is allowed. Guards against a limit that hundreds of relays overrun,
// each with a call a minute and no rate of its own to go by. Gossip is a hint: it ejects nothing, and its
// effect wears off. May hold messages needlessly for a few seconds where the rejection was of a passing
// burst.
void RateLimiter::reduce_admission(RoundContext& round, RejectionStatistics& statistics,
                                   RejectionSource source, const EndpointId& endpoint) {
  const Time now = round.now();
  const double factor = std::clamp(2 * statistics.served_after_rejection(kind_), kAdmissionDecrease, 1.0);
  // Where most calls after a rejection are served, the backoff is enough.
  if (factor >= 1 || token_quota(round) > 0) return;
  if (now - record_.admission_reduced_at < micros(kRejectionGap)) return;
  record_.admission_probability = std::max(kMinAdmission, admission_probability(round) * factor);
  record_.admission_reduced_at = now;
  if (source == RejectionSource::own_call) {
    const bool due = now - record_.gossiped_at >= micros(round.shortest_objective());
    if (!round.settings().gossip || !due || now < statistics.next_gossip_at) return;
    round.emit(action::SendGossip{-1, rejection_gossip(endpoint)});
    const double gap = jittered(round, kGossipGap * round.settings().relay_count);
    statistics.next_gossip_at = now + micros(gap);
  }
  record_.gossiped_at = now;
}

bool RateLimiter::admit(RoundContext& round) {
  const Settings& settings = round.settings();
  double probability = admission_probability(round);
  // Rejected twice and not served between: it may be shut, so no more than it takes when it returns in slow
  // start. In a small fleet the run of rejections that ejects comes soon enough; one of each of many is too
  // much.
  const double slow_start =
      settings.overload_multiple * overload_budget_fraction(settings) * settings.slow_start_capacity_fraction;
  if (record_.rejections >= 2 && is_large_fleet(settings) && token_quota(round) == 0)
    probability = std::min(probability, slow_start);
  if (record_.served.rate(round.now()) * kServedRateTimeConstant >= kMinRecentServes) return true;
  if (round.uniform() < probability) return true;
  record_.admission_held_until = round.now() + micros(jittered(round, max_backoff(round)));
  round.wake_up_at(record_.admission_held_until);
  return false;
}

}  // namespace dispatch
