// How fast this relay may call the endpoints that share one rate limit, and when it may not call them at all.
//
// Invariant: no call is admitted before a Retry-After has passed, while admission is held, or without a
// token. The token rate is unlimited until a rejection or a notified limit bounds it, falls on rejections
// (once for those close together) and rises while calls are served.
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

class RateLimiter {
 public:
  void set_kind(std::size_t kind) { kind_ = kind; }
  /// Before any limit was notified, the weight in the endpoint list stands for it, where weights are given.
  void start_from_weight(RoundContext& round, double weight);
  /// What an answer tells: the limit in calls a second over all relays, and a Retry-After. 0 or less:
  /// nothing.
  void notify(const RoundContext& round, double rate_limit, Time retry_after);

  void on_served(const RoundContext& round, RejectionStatistics& statistics, const LoadReport& report);
  /// The backoff has seen the rejection. A rejected probe changes neither rate nor admission.
  void on_rejected(RoundContext& round, RejectionStatistics& statistics, const RetryBackoff& backoff,
                   CallKind kind, const EndpointId& endpoint);
  /// After a rejection that this relay or others met: fewer calls are admitted for a while.
  void reduce_admission(RoundContext& round, RejectionStatistics& statistics, RejectionSource source,
                        const EndpointId& endpoint);

  /// Whether the next call is admitted; otherwise admission is held for a while.
  [[nodiscard]] bool admit(RoundContext& round);
  /// When there is a token for the next call.
  Time token_ready_at(const RoundContext& round);
  void take_token();

  Time retry_after_until() const { return record_.retry_after_until; }
  /// Until then no call may go out: for a Retry-After, or as admission is held.
  Time held_until() const { return std::max(record_.retry_after_until, record_.admission_held_until); }
  /// This relay's part of a notified limit, in calls a second: all relays at it together just use the limit.
  /// 0: none notified, or a small fleet, where a relay's own rates tell more.
  double quota(const RoundContext& round) const;
  /// Whether the quota is so low that a relay's own calls teach it nothing in time.
  bool is_low_rate(const RoundContext& round) const;
  /// Whether all calls are rejected, as by a destination that is shut rather than limited.
  bool rejects_everything(const RoundContext& round) const;

  RateLimiterRecord& record() { return record_; }  ///< For the learned state only.

 private:
  double token_quota(const RoundContext& round) const { return is_low_rate(round) ? 0 : quota(round); }
  double min_rate(const RoundContext& round, const RejectionStatistics& statistics,
                  const RetryBackoff& backoff) const;
  void reduce_rate(RoundContext& round, const RejectionStatistics& statistics, const RetryBackoff& backoff);
  void reduce_rate_to_quota(RoundContext& round, double quota);
  void raise_rate(const RoundContext& round, const LoadReport& report);
  double admission_probability(const RoundContext& round) const;

  std::size_t kind_ = 0;  // of the destination
  RateLimiterRecord record_{kServedRateTimeConstant};
};

}  // namespace dispatch
