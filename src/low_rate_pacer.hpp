// Paces the calls to all low-rate destinations together.
//
// A quota of one call in minutes is no guide for a message that lives for seconds, but the outcomes of the
// calls to all such destinations show within seconds whether the fleet exceeds their limits.
//
// Invariant: once too large a fraction of these calls is rejected, they are sent at this relay's demand times
// a factor. The factor falls on rejections and rises on served calls, until the rate is unlimited again.
//
// Guards against limits that stay unused because each of thousands of quotas is applied by itself, and
// against a fleet that exceeds them with no other sign of it. Drawback: calls to destinations below their
// limits may be delayed while most others are above theirs.
#pragma once

#include <algorithm>
#include <cmath>

#include "rate_limiter.hpp"

namespace dispatch {

/// Has no effect for rate limiters that are not of a low rate.
class LowRatePacer {
 public:
  void on_arrival(const RoundContext& round, const RateLimiter& limiter) {
    if (limiter.is_low_rate(round)) record_.demand.add_event(round.now());
  }
  void on_served(const RoundContext& round, const RateLimiter& limiter) {
    if (limiter.is_low_rate(round)) record_outcome(round, 0);
  }
  void on_rejected(const RoundContext& round, const RateLimiter& limiter, CallKind kind) {
    if (limiter.is_low_rate(round) && kind == CallKind::ordinary) record_outcome(round, 1);
  }
  /// Returns when a token is available for a message of which `attempts_made` attempts were made so far.
  Time token_ready_at(const RoundContext& round, const RateLimiter& limiter, int attempts_made) {
    if (record_.demand_factor == kUnlimited || !limiter.is_low_rate(round)) return round.now();
    const double rate = record_.demand_factor * record_.demand.rate(round.now());
    const double burst = std::max(kMinBurst, rate * round.shortest_objective());
    record_.bucket.refill(round.now(), rate, burst);
    // Retries need more tokens, so that first attempts take precedence when tokens are short. Most retries
    // are rejected again while their destination is at its limit.
    const double needed = attempts_made > 0 ? std::max(1.0, burst / 2) : 1;
    return record_.bucket.ready_at(needed, std::max(rate, 1e-9));
  }
  void take_token(const RoundContext& round, const RateLimiter& limiter) {
    if (record_.demand_factor != kUnlimited && limiter.is_low_rate(round)) record_.bucket.take();
  }
  LowRatePacerRecord& record() { return record_; }  ///< For the learned state only.

 private:
  // The factor is controlled to this fraction: 0.3 rejected calls for each served one.
  static constexpr double kTargetRejectedFraction = 0.23;
  // Weight of the newest call, both in the moving average of the fraction and in the factor.
  static constexpr double kGain = 0.05;
  static constexpr double kMinDemandFactor = 0.1;
  // Above this factor the rate is unlimited again.
  static constexpr double kMaxDemandFactor = 2;
  // At least this many calls may be saved up.
  static constexpr double kMinBurst = 2;

  /// `rejected` is 1 for a rejected call and 0 for a served one.
  void record_outcome(const RoundContext& round, int rejected) {
    record_.rejected_fraction += kGain * (rejected - record_.rejected_fraction);
    if (record_.demand_factor != kUnlimited) {
      const double change = std::exp(kGain * (kTargetRejectedFraction - rejected));
      record_.demand_factor = std::max(kMinDemandFactor, record_.demand_factor * change);
    } else if (record_.rejected_fraction > kTargetRejectedFraction) {
      record_.demand_factor = 1;
      record_.bucket.set(1, round.now());
    }
    if (record_.demand_factor > kMaxDemandFactor) record_.demand_factor = kUnlimited;
  }

  LowRatePacerRecord record_{kDemandTimeConstant};
};

}  // namespace dispatch
