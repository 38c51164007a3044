// Limits the rate of this relay's calls to the endpoints that share one rate limit, and blocks them for a
// time.
//
// Invariant: no call is admitted before a Retry-After has passed, while admission is paused, or without a
// token. The token rate is unlimited until a rejection or a reported limit bounds it. It falls on rejections,
// only once for those close together, and rises while calls are served.
#pragma once

#include <algorithm>
#include <cstddef>

#include "dispatch/events.hpp"
#include "learned_records.hpp"
#include "records.hpp"
#include "rejection_statistics.hpp"
#include "retry_backoff.hpp"
#include "shared_constants.hpp"

namespace dispatch {

/// Token bucket whose rate adapts to the answers, combined with probabilistic admission after rejections.
class RateLimiter {
 public:
  void set_kind(std::size_t kind) { kind_ = kind; }
  /// Until a limit is reported, uses the weight of an endpoint in the endpoint list as the limit in calls per
  /// second over all relays. Has no effect with WeightKind::none.
  void initialize_from_weight(RoundContext& round, double weight);
  /// Takes over what an answer reports: the limit in calls per second over all relays, and the Retry-After.
  /// Each is ignored if it is 0 or negative.
  void on_limits_reported(const RoundContext& round, double rate_limit, Time retry_after);

  void on_served(const RoundContext& round, RejectionStatistics& statistics, const LoadReport& report);
  /// Must be called after `backoff` has counted the rejection. The rejection of a probe request changes
  /// neither the rate nor the admission.
  void on_rejected(RoundContext& round, RejectionStatistics& statistics, const RetryBackoff& backoff,
                   CallKind kind, const EndpointId& endpoint);
  /// Lowers the admission probability after a rejection of a call of this relay or, by gossip, of another
  /// one. The probability recovers over time.
  void reduce_admission(RoundContext& round, RejectionStatistics& statistics, RejectionSource source,
                        const EndpointId& endpoint);

  /// Returns whether the next call is admitted. Otherwise admission is paused for about the longest backoff.
  [[nodiscard]] bool admit(RoundContext& round);
  /// Returns the time at which a token for the next call is available.
  Time token_ready_at(const RoundContext& round);
  void take_token();
  /// With a quota, makes a token available as soon as tokens are added again.
  void fill_bucket(const RoundContext& round) {
    if (token_quota(round) > 0) record_.bucket.set(1, record_.bucket.refilled_at());
  }

  /// Returns the end of the last Retry-After; 0 if there was none.
  Time retry_after_until() const { return record_.retry_after_until; }
  /// Returns the time before which no call may be sent, because of a Retry-After or of paused admission.
  Time blocked_until() const { return std::max(record_.retry_after_until, record_.admission_paused_until); }
  /// Returns the limit in calls per second over all relays; 0 if no limit is known.
  double rate_limit() const { return record_.reported_limit; }
  /// Returns this relay's equal share of the reported limit, in calls per second. 0 if no limit is known, and
  /// in a small fleet, where the relay's own call rates are the better estimate.
  double quota(const RoundContext& round) const;
  /// Whether the quota is so low that the relay can't learn from its own calls before its messages expire.
  bool is_low_rate(const RoundContext& round) const;
  /// Whether all calls are being rejected, as by a destination that is closed rather than rate-limited.
  bool rejects_all_calls(const RoundContext& round) const;

  RateLimiterRecord& record() { return record_; }  ///< For the learned state only.

 private:
  /// Returns the quota that governs the token rate; 0 for a low rate, where LowRatePacer governs the calls.
  double token_quota(const RoundContext& round) const { return is_low_rate(round) ? 0 : quota(round); }
  double min_rate(const RoundContext& round, const RejectionStatistics& statistics,
                  const RetryBackoff& backoff) const;
  void reduce_rate(RoundContext& round, const RejectionStatistics& statistics, const RetryBackoff& backoff);
  void reduce_rate_within_quota(RoundContext& round, double relay_quota);
  void raise_rate(const RoundContext& round, const LoadReport& report);
  double admission_probability(const RoundContext& round) const;

  std::size_t kind_ = 0;  // of the destination; index for RejectionStatistics
  RateLimiterRecord record_{kServedRateTimeConstant};
};

}  // namespace dispatch
