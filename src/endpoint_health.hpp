// Outlier detection, which ejects failing endpoints from ordinary traffic, and slow start, which limits the
// traffic of endpoints that recover.
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

/// A call is overdue when it has been in flight for this multiple of the endpoint's recent latency plus
/// kOverdueSlackSeconds.
inline constexpr double kOverdueLatencyMultiple = 4;
inline constexpr double kOverdueSlackSeconds = 0.3;

/// What limits the rate of the calls to an endpoint that is ejected or in slow start.
enum class EndpointPacing {
  by_endpoint,    ///< its own token bucket
  by_destination  ///< SlowStartPacer, for all endpoints of the destination together
};

/// The health of one endpoint.
///
/// Invariant: the calls to a healthy endpoint are not limited here. An ejected endpoint gets single probe
/// requests until it serves one of them, however long that takes. An endpoint in slow start gets calls at a
/// rate that grows with its capacity, and becomes healthy after a time without failures. Both take their
/// tokens from one bucket.
class EndpointHealth {
 public:
  bool is_healthy() const { return record_.state == HealthState::healthy; }
  bool is_ejected() const { return record_.state == HealthState::ejected; }
  bool is_in_slow_start() const { return record_.state == HealthState::slow_start; }
  /// Whether the endpoint is ejected or in slow start and has not served a call since it last failed.
  bool is_awaiting_success() const { return !is_healthy() && record_.consecutive_failures > 0; }
  /// Whether the endpoint is ejected or in slow start and entered that state, or failed, a short time ago.
  bool has_recent_outage(const RoundContext& round) const;
  CallKind kind_of_next_call() const;
  const EndpointHealthRecord& record() const { return record_; }

  void on_served(RoundContext& round, const EndpointId& id, Time sent_at);
  void on_rejected() { record_.last_failure_may_have_executed = false; }
  void on_failed(Outcome outcome);
  void count_failure() { record_.consecutive_failures++; }
  /// Raises the number of consecutive failures to at least one.
  void mark_failing() { record_.consecutive_failures = std::max(record_.consecutive_failures, 1); }

  /// Sets the rate, in calls per second, from which the limit in slow start is computed. To be set while the
  /// endpoint is healthy, before eject() and enter_slow_start().
  void set_expected_rate(double rate) { record_.expected_rate = rate; }
  /// Ejects the endpoint; if it is ejected already, the ejection starts anew.
  void eject(RoundContext& round, const EndpointId& id, HealthChangeCause cause, const RetryBackoff& backoff);
  void enter_slow_start(RoundContext& round, const EndpointId& id, HealthChangeCause cause);
  /// Takes over the state of another endpoint of the destination.
  void copy_state_from(RoundContext& round, const EndpointHealth& sibling);
  /// Returns when the next call may be sent. Ends a slow start that has expired.
  Time call_ready_at(RoundContext& round, const EndpointId& id, EndpointPacing pacing);
  void on_call_sent(RoundContext& round, const RetryBackoff& backoff);

  EndpointHealthRecord& learned_record() { return record_; }  ///< For the learned state only.

 private:
  void change_to(RoundContext& round, HealthState state, const EndpointId& id, HealthChangeCause cause);
  double allowed_rate(const RoundContext& round) const;
  Time latest_call_time(const RoundContext& round) const;

  EndpointHealthRecord record_;
};

/// Decides which endpoints to eject.
///
/// Invariant: an endpoint is ejected only if its consecutive failures are too many for chance, if too large a
/// fraction of its calls fails, if too many of its calls are overdue, if the endpoints that share its rate
/// limit fail, or if all its calls are rejected. Where isolated failures occur, at all endpoints or at this
/// one, more consecutive failures are required.
class OutlierDetector {
 public:
  OutlierDetector(RoundContext& round, EndpointDirectory& directory, const CallTable& calls)
      : round_(round), directory_(directory), calls_(calls) {}

  /// Must be called before the endpoint is added to its siblings.
  void on_added(EndpointState& endpoint);
  /// Operators resumed the endpoint. It enters slow start as after an outage, because it is assumed to have
  /// been restarted meanwhile.
  void on_resumed(EndpointState& endpoint);
  void on_served(EndpointState& endpoint, Time sent_at);
  /// Must be called after the rate limiter has counted the rejection.
  void on_rejected(EndpointState& endpoint);
  /// Must be called after the endpoint's health has counted the failure.
  void eject_if_failing(EndpointState& endpoint, const event::AttemptEnded& attempt);

  /// Whether the last failure may be an isolated one of an endpoint that otherwise serves its calls.
  bool last_failure_may_be_isolated(const EndpointState& endpoint) const;
  /// Returns the number of overdue calls that were sent since the endpoint last served a call.
  int overdue_call_count(const EndpointState& endpoint) const;

  template <class Visitor>
  void visit_learned_fields(Visitor&& visit) {
    visit(isolated_failure_fraction_);
  }

 private:
  void update_expected_rate(EndpointState& endpoint);
  void eject(EndpointState& endpoint, HealthChangeCause cause);
  void eject_siblings(EndpointState& endpoint, Time failed_call_sent_at);
  double isolated_failure_fraction(const EndpointState& endpoint) const;
  int significant_failure_count(const EndpointState& endpoint) const;
  int required_failure_count(EndpointState& endpoint) const;

  RoundContext& round_;
  EndpointDirectory& directory_;
  const CallTable& calls_;
  // Isolated failures as a fraction of the recent calls of all endpoints.
  double isolated_failure_fraction_ = 0;
};

}  // namespace dispatch
