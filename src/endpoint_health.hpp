// Which failures eject an endpoint from ordinary traffic (outlier detection), and how much of it an endpoint
// gets while it returns (slow start).
#pragma once

#include <algorithm>

#include "dispatch/events.hpp"
#include "health_log.hpp"
#include "learned_records.hpp"
#include "records.hpp"
#include "retry_backoff.hpp"

namespace dispatch {

class CallTable;
class EndpointDirectory;

inline constexpr double kOverdueLatencies = 4;  // a call in flight for so many latencies,
inline constexpr double kOverdueSlack = 0.3;    // and so many seconds more, is overdue

/// Invariant: a healthy endpoint is not limited here. An ejected one gets single probe requests, one in slow
/// start a rate that grows with its capacity; both take them from one token bucket. Both states end by
/// themselves: ejection in slow start, slow start in health.
class EndpointHealth {
 public:
  bool is_healthy() const { return record_.state == HealthState::healthy; }
  bool is_ejected() const { return record_.state == HealthState::ejected; }
  bool is_in_slow_start() const { return record_.state == HealthState::slow_start; }
  /// Not served since its outage began.
  bool is_on_probation() const { return !is_healthy() && record_.consecutive_failures > 0; }
  bool remembers_outage(const RoundContext& round) const;
  CallKind kind_of_next_call() const;
  const EndpointHealthRecord& record() const { return record_; }

  void on_served(RoundContext& round, const EndpointId& id, Time sent_at);
  void on_rejected() { record_.last_failure_may_have_run = false; }
  void on_failed(Outcome outcome);
  void count_failure() { record_.consecutive_failures++; }
  void count_as_failing() { record_.consecutive_failures = std::max(record_.consecutive_failures, 1); }

  /// Of a healthy endpoint, before it is ejected or starts slowly: what its slow start is computed from, in
  /// calls a second.
  void remember_rate(double rate) { record_.expected_rate = rate; }
  void eject(RoundContext& round, const EndpointId& id, HealthChangeCause cause, const RetryBackoff& backoff);
  void start_slowly(RoundContext& round, const EndpointId& id, HealthChangeCause cause);
  void inherit(RoundContext& round, const EndpointHealth& sibling);
  /// When the next call may go out; ends states whose time is over.
  Time call_ready_at(RoundContext& round, const EndpointId& id);
  void on_call_sent(RoundContext& round, const RetryBackoff& backoff);

  EndpointHealthRecord& learned_record() { return record_; }  ///< For the learned state only.

 private:
  void change_to(RoundContext& round, HealthState state, const EndpointId& id, HealthChangeCause cause);
  double allowed_rate(const RoundContext& round) const;

  EndpointHealthRecord record_;
};

/// Invariant: an endpoint is ejected by a run of failures that is too long for chance, by too great a part of
/// failing calls, by overdue calls, by the failures of those it shares a limit with, or as all calls there
/// are rejected. Where calls fail now and then, everywhere or at one endpoint, longer runs are needed.
class OutlierDetector {
 public:
  OutlierDetector(RoundContext& round, EndpointDirectory& directory, const CallTable& calls)
      : round_(round), directory_(directory), calls_(calls) {}

  /// Before the endpoint is among its siblings.
  void on_added(EndpointState& endpoint);
  /// Operators let the endpoint serve again: it was restarted meanwhile, and begins as after an outage.
  void on_resumed(EndpointState& endpoint);
  void on_served(EndpointState& endpoint, Time sent_at);
  /// After the rate limiter has seen the rejection.
  void on_rejected(EndpointState& endpoint);
  /// After the endpoint's health has counted the failure.
  void eject_failing(EndpointState& endpoint, const event::AttemptEnded& attempt);

  /// Whether the last failure may be an isolated one, of an endpoint that serves on.
  bool may_be_isolated(const EndpointState& endpoint) const;
  int overdue_calls(const EndpointState& endpoint) const;

  template <class Visitor>
  void visit_learned_fields(Visitor&& visit) {
    visit(isolated_failure_share_);
  }

 private:
  void remember_rate(EndpointState& endpoint);
  void eject(EndpointState& endpoint, HealthChangeCause cause);
  void eject_siblings(EndpointState& endpoint, Time failed_call_sent_at);
  double isolated_failure_share(const EndpointState& endpoint) const;
  int failures_beyond_chance(const EndpointState& endpoint) const;
  int failures_of_own_calls(EndpointState& endpoint) const;

  RoundContext& round_;
  EndpointDirectory& directory_;
  const CallTable& calls_;
  double isolated_failure_share_ = 0;  // of all calls: failures at endpoints that serve on
};

}  // namespace dispatch
