#include "rate_limiter.hpp"

#include <cmath>
#include <utility>

#include "gossip_message.hpp"

namespace dispatch {
namespace {

// Rejections within this time after a reduction count as the same event and cause no further reduction.
constexpr double kMinReductionIntervalSeconds = 0.3;

// The token rate without a quota.

// Factor on a rate that is already limited, on a further rejection.
constexpr double kRateDecreaseFactor = 0.85;
// A further reduction starts from at most this multiple of the rate of served calls.
constexpr double kMaxRateToServedRate = 1.25;
// Growth while calls are served, as a fraction of the rate. The admission probability grows as fast.
constexpr double kRateGrowthPerSecond = 0.15;
// Additional growth while calls are served, in calls per shortest latency objective.
constexpr double kRateIncrementPerSecond = 0.25;
// Tokens for this duration at the current rate may accumulate.
constexpr double kBurstSeconds = 0.3;

// The token rate with a quota, in fractions of the quota.

constexpr double kInitialQuotaFraction = 1;       // before the first answer
constexpr double kQuotaRateDecreaseFactor = 0.5;  // factor on the rate on a rejection
constexpr double kMinQuotaFraction = 0.3;         // rejections reduce the rate to at least this
// The destination's limit recovers while all relays call at this rate.
constexpr double kSafeQuotaFraction = 0.8;
// Growth of a lower rate up to kSafeQuotaFraction.
constexpr double kQuotaRecoveryPerSecond = 0.25;
// A served call raises the rate if at least this fraction of the limit is left.
constexpr double kAmpleRemainingFraction = 0.5;
constexpr double kServedCallIncrement = 0.2;  // growth on a served call while that much is left
// Above this multiple of the quota the rate is unlimited again.
constexpr double kMaxQuotaMultiple = 4;
// A quota of fewer calls than this within the shortest deadline is a low rate.
constexpr double kMinCallsPerDeadline = 1;

// Admission.

constexpr double kMinAdmissionProbability = 0.02;
constexpr double kMinAdmissionFactor = 0.5;  // the strongest reduction by one rejection
// With fewer recent served calls than this, a relay's own rate is too uncertain to go by.
constexpr double kMinRecentServedCalls = 2;
// Average interval between the gossip messages of the whole fleet, as each costs every receiver.
constexpr double kFleetGossipIntervalSeconds = 0.03;

// A destination counts as rejecting all calls once both minimums are reached.

constexpr int kMinConsecutiveRejections = 4;      // without a served call in between
constexpr double kMinRejectionSpanSeconds = 1.5;  // since the first of these rejections

}  // namespace

// Guards against a restart of all relays at once, as on a release: they have learned nothing yet, and the
// messages that clients submit again would all be sent to the endpoints at once.
void RateLimiter::initialize_from_weight(RoundContext& round, double weight) {
  if (record_.reported_limit > 0 || round.settings().weight_kind == WeightKind::none) return;
  record_.reported_limit = weight;
  if (token_quota(round) == 0) return;
  record_.rate = kInitialQuotaFraction * token_quota(round);
  record_.bucket.set(round.uniform(), round.now());
  record_.rate_raised_at = round.now();
}

void RateLimiter::on_limits_reported(const RoundContext& round, double rate_limit, Time retry_after) {
  if (rate_limit > 0) record_.reported_limit = rate_limit;
  if (retry_after <= 0) return;
  record_.retry_after_until = std::max(record_.retry_after_until, round.now() + retry_after);
}

double RateLimiter::quota(const RoundContext& round) const {
  return is_large_fleet(round.settings()) ? record_.reported_limit / round.settings().relay_count : 0;
}

bool RateLimiter::is_low_rate(const RoundContext& round) const {
  const double relay_quota = quota(round);
  return relay_quota > 0 && relay_quota * round.shortest_deadline() < kMinCallsPerDeadline;
}

bool RateLimiter::rejects_all_calls(const RoundContext& round) const {
  const Time span = round.now() - record_.first_rejection_at;
  return record_.consecutive_rejections >= kMinConsecutiveRejections &&
         span >= micros(kMinRejectionSpanSeconds);
}

void RateLimiter::on_served(const RoundContext& round, RejectionStatistics& statistics,
                            const LoadReport& report) {
  record_.served.add_event(round.now());
  if (record_.consecutive_rejections > 0) statistics.record_call_after_rejection(kind_, 1);
  record_.consecutive_rejections = 0;
  raise_rate(round, report);
}

void RateLimiter::on_rejected(RoundContext& round, RejectionStatistics& statistics,
                              const RetryBackoff& backoff, CallKind kind, const EndpointId& endpoint) {
  if (record_.consecutive_rejections > 0) statistics.record_call_after_rejection(kind_, 0);
  if (record_.consecutive_rejections == 0) record_.first_rejection_at = round.now();
  record_.consecutive_rejections++;
  if (kind == CallKind::probe) return;
  reduce_rate(round, statistics, backoff);
  reduce_admission(round, statistics, RejectionSource::own_call, endpoint);
}

// Returns the rate in calls per second below which rejections do not reduce the token rate.
//
// A relay that sends few calls has no reliable rate of served calls. It may send one call per backoff delay,
// and fewer with each consecutive rejection, in particular where calls after a rejection were mostly rejected
// again, because rejected calls use up some limits. In a small fleet the rate never falls below one call per
// longest backoff. Guards against a burst of rejections that reduces the rate to one call in hours, so that
// no served call ever raises it again.
double RateLimiter::min_rate(const RoundContext& round, const RejectionStatistics& statistics,
                             const RetryBackoff& backoff) const {
  const double rate =
      std::pow(statistics.served_fraction_after_rejection(kind_), record_.consecutive_rejections) /
      std::max(backoff.delay(round), initial_backoff(round));
  return is_large_fleet(round.settings()) ? rate : std::max(rate, 1 / max_backoff(round));
}

void RateLimiter::reduce_rate(RoundContext& round, const RejectionStatistics& statistics,
                              const RetryBackoff& backoff) {
  const Time now = round.now();
  if (now - record_.rate_reduced_at < micros(kMinReductionIntervalSeconds)) return;
  record_.rate_reduced_at = now;
  record_.rate_raised_at = now;
  if (const double relay_quota = token_quota(round); relay_quota > 0)
    return reduce_rate_within_quota(round, relay_quota);
  const double minimum = min_rate(round, statistics, backoff);
  const double served_rate = std::max(record_.served.rate(now), minimum);
  const bool was_unlimited = record_.rate == kUnlimited;
  const double reduced = std::min(record_.rate, kMaxRateToServedRate * served_rate) * kRateDecreaseFactor;
  record_.rate = was_unlimited ? served_rate : std::max(reduced, minimum);
  record_.bucket.set(was_unlimited ? 0 : record_.bucket.tokens(), now);
}

void RateLimiter::reduce_rate_within_quota(RoundContext& round, double relay_quota) {
  const double current = std::min(record_.rate, std::max(relay_quota, record_.served.rate(round.now())));
  record_.rate = std::max(current * kQuotaRateDecreaseFactor, kMinQuotaFraction * relay_quota);
  // Relays that are rejected together have the same Retry-After and the same rate, and would all resume at
  // the same time. Therefore no tokens accumulate until then, and each relay resumes with a random number of
  // tokens between -0.5 and 0.5.
  record_.bucket.set(round.uniform() - 0.5, std::max(round.now(), record_.retry_after_until));
}

// With a quota, the rate rises on the remaining fraction of the limit that answers report, which reflects the
// calls of all relays. A relay that sends few calls would learn too slowly from its own served calls that a
// limit has capacity again. Guards against a limit that stays half unused while messages for it expire.
void RateLimiter::raise_rate(const RoundContext& round, const LoadReport& report) {
  const Time now = round.now();
  const Time raised_at = std::exchange(record_.rate_raised_at, now);
  double& rate = record_.rate;
  if (rate == kUnlimited) return;
  if (const double relay_quota = token_quota(round); relay_quota > 0) {
    if (report.remaining_fraction >= kAmpleRemainingFraction)
      rate = std::max(rate + kServedCallIncrement * relay_quota, kSafeQuotaFraction * relay_quota);
    if (rate > kMaxQuotaMultiple * relay_quota) rate = kUnlimited;
    return;
  }
  const double elapsed = std::min(seconds(now - raised_at), std::max(1.0, 2 / rate));
  rate += elapsed * (kRateGrowthPerSecond * rate + kRateIncrementPerSecond / round.shortest_objective());
}

Time RateLimiter::token_ready_at(const RoundContext& round) {
  const Time now = round.now();
  double& rate = record_.rate;
  TokenBucket& bucket = record_.bucket;
  if (rate == kUnlimited) return now;
  if (now < bucket.refilled_at()) return bucket.refilled_at();
  // The effect of a rejection wears off, up to the rate at which all relays together stay below the limit.
  const double safe_rate = kSafeQuotaFraction * token_quota(round);
  if (rate < safe_rate)
    rate = std::min(
        safe_rate, rate + kQuotaRecoveryPerSecond * token_quota(round) * seconds(now - bucket.refilled_at()));
  bucket.refill(now, rate, std::max(1.0, rate * kBurstSeconds));
  return bucket.ready_at(1, rate);
}

void RateLimiter::take_token() {
  if (record_.rate != kUnlimited) record_.bucket.take();
}

double RateLimiter::admission_probability(const RoundContext& round) const {
  const double growth = std::exp(kRateGrowthPerSecond * seconds(round.now() - record_.admission_reduced_at));
  return std::min(1.0, record_.admission_probability * growth);
}

// All relays exceed a limit together, so each admits only a fraction of its attempts. The fraction falls and
// recovers like the rate, and other relays are notified where gossip is enabled. Guards against a limit that
// hundreds of relays exceed although each sends one call per minute and has no rate of its own to go by.
// Gossip is only a hint: it ejects no endpoint, and its effect wears off. Drawback: if the rejection was due
// to a short burst, messages may wait needlessly for a few seconds.
void RateLimiter::reduce_admission(RoundContext& round, RejectionStatistics& statistics,
                                   RejectionSource source, const EndpointId& endpoint) {
  const Time now = round.now();
  const double factor =
      std::clamp(2 * statistics.served_fraction_after_rejection(kind_), kMinAdmissionFactor, 1.0);
  // Where most calls after a rejection are served, the backoff is enough.
  if (factor >= 1 || token_quota(round) > 0) return;
  if (now - record_.admission_reduced_at < micros(kMinReductionIntervalSeconds)) return;
  record_.admission_probability = std::max(kMinAdmissionProbability, admission_probability(round) * factor);
  record_.admission_reduced_at = now;
  if (source == RejectionSource::own_call) {
    const bool is_due = now - record_.last_gossip_at >= micros(round.shortest_objective());
    if (!round.settings().gossip || !is_due || now < statistics.next_gossip_at) return;
    round.emit(action::SendGossip{-1, rejection_gossip(endpoint)});
    const double interval = jittered(round, kFleetGossipIntervalSeconds * round.settings().relay_count);
    statistics.next_gossip_at = now + micros(interval);
  }
  record_.last_gossip_at = now;
}

bool RateLimiter::admit(RoundContext& round) {
  const Settings& settings = round.settings();
  double probability = admission_probability(round);
  // After two rejections without a served call in between, the destination may be rejecting all calls. No
  // more is admitted then than it can take at the beginning of slow start. A small fleet needs no such bound,
  // as it soon sees enough rejections to eject the endpoints; in a large fleet, that many rejections of each
  // relay are too many.
  const double slow_start_fraction =
      settings.overload_multiple * overload_budget_fraction(settings) * settings.slow_start_capacity_fraction;
  if (record_.consecutive_rejections >= 2 && is_large_fleet(settings) && token_quota(round) == 0)
    probability = std::min(probability, slow_start_fraction);
  if (record_.served.rate(round.now()) * kServedRateTimeConstant >= kMinRecentServedCalls) return true;
  if (round.uniform() < probability) return true;
  record_.admission_paused_until = round.now() + micros(jittered(round, max_backoff(round)));
  round.wake_up_at(record_.admission_paused_until);
  return false;
}

}  // namespace dispatch
