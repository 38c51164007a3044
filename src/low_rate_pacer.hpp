// One pace for the calls to all low-rate destinations together.
//
// A quota of a call in minutes says nothing to a message that lives for seconds; how calls fare over all such
// destinations tells in seconds what the fleet asks of them. Invariant: once too many are rejected, calls go
// out at a factor of this relay's demand, which falls on rejections and rises on served calls, until it is
// unlimited again. Guards against limits left unused by thousands of quotas, and against a fleet that has no
// other sign of asking too much. May hold back calls to sound destinations while most others are over their
// limits.
#pragma once

#include <algorithm>
#include <cmath>

#include "rate_limiter.hpp"

namespace dispatch {

/// Passes over limiters that are not of a low rate.
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
  /// When there is a token for a message with so many attempts.
  Time token_ready_at(const RoundContext& round, const RateLimiter& limiter, int attempts_made) {
    if (record_.demand_factor == kUnlimited || !limiter.is_low_rate(round)) return round.now();
    const double rate = record_.demand_factor * record_.demand.rate(round.now());
    const double burst = std::max(kMinBurst, rate * round.shortest_objective());
    record_.bucket.refill(round.now(), rate, burst);
    // What is short goes to first attempts: most retries are rejected again while their destination is full.
    const double needed = attempts_made > 0 ? std::max(1.0, burst / 2) : 1;
    return record_.bucket.ready_at(needed, std::max(rate, 1e-9));
  }
  void take_token(const RoundContext& round, const RateLimiter& limiter) {
    if (record_.demand_factor != kUnlimited && limiter.is_low_rate(round)) record_.bucket.take();
  }
  LowRatePacerRecord& record() { return record_; }  ///< For the learned state only.

 private:
  static constexpr double kTargetRejectedShare = 0.23;  // held: 0.3 calls rejected for each one served
  static constexpr double kGain = 0.05;  // weight of the newest call, in that share and in the factor
  static constexpr double kMinDemandFactor = 0.1;
  static constexpr double kMaxDemandFactor = 2;  // above it the pace is unlimited again
  static constexpr double kMinBurst = 2;         // calls that may be saved up at least

  void record_outcome(const RoundContext& round, int rejected) {
    record_.rejected_share += kGain * (rejected - record_.rejected_share);
    if (record_.demand_factor != kUnlimited) {
      const double change = std::exp(kGain * (kTargetRejectedShare - rejected));
      record_.demand_factor = std::max(kMinDemandFactor, record_.demand_factor * change);
    } else if (record_.rejected_share > kTargetRejectedShare) {
      record_.demand_factor = 1;
      record_.bucket.set(1, round.now());
    }
    if (record_.demand_factor > kMaxDemandFactor) record_.demand_factor = kUnlimited;
  }

  LowRatePacerRecord record_{kDemandTimeConstant};
};

}  // namespace dispatch
