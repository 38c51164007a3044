// Records of what a relay has learned and hands over to the next process: plain data. The order in which the
// fields are visited is the order in which they are stored.
#pragma once

#include <limits>

#include "learned_state.hpp"
#include "rate_estimator.hpp"
#include "time_units.hpp"
#include "token_bucket.hpp"

namespace dispatch {

/// Stands for a rate or a factor without a limit.
inline constexpr double kUnlimited = std::numeric_limits<double>::infinity();

/// The state of a RateLimiter.
struct RateLimiterRecord {
  explicit RateLimiterRecord(double served_rate_time_constant) : served(served_rate_time_constant) {}

  double rate = kUnlimited;  // calls per second of this relay
  TokenBucket bucket{1};
  Time rate_reduced_at = -kNever;  // by a rejection
  Time rate_raised_at = 0;         // up to when the growth of the rate is accounted for
  Time retry_after_until = 0;
  RateEstimator served;                 // served calls
  int consecutive_rejections = 0;       // since the last served call
  double admission_probability = 1;     // as of admission_reduced_at
  Time admission_reduced_at = -kNever;  // by a rejection
  Time last_gossip_at = -kNever;        // last gossip on this limit, sent or received
  Time admission_paused_until = 0;
  Time first_rejection_at = 0;  // of the consecutive rejections
  // Calls per second over all relays. Until an answer reports it, taken from the weight; 0: unknown.
  double reported_limit = 0;

  template <class Visitor>
  void visit_learned_fields(Visitor&& visit) {
    visit(rate);
    bucket.visit_tokens(visit);
    bucket.visit_refilled_at(visit);
    visit_fields(visit, rate_reduced_at, rate_raised_at, retry_after_until);
    served.visit_learned_fields(visit);
    visit_fields(visit, consecutive_rejections, admission_probability, admission_reduced_at, last_gossip_at);
    visit_fields(visit, admission_paused_until, first_rejection_at, reported_limit);
  }
};

/// The state of a LowRatePacer.
struct LowRatePacerRecord {
  explicit LowRatePacerRecord(double demand_time_constant) : demand(demand_time_constant) {}

  double demand_factor = kUnlimited;  // ratio of the allowed rate to the demand
  TokenBucket bucket{1};
  double rejected_fraction = 0;  // of recent calls
  RateEstimator demand;          // arriving messages

  template <class Visitor>
  void visit_learned_fields(Visitor&& visit) {
    visit(demand_factor);
    bucket.visit_tokens(visit);
    visit(rejected_fraction);
    bucket.visit_refilled_at(visit);
    demand.visit_learned_fields(visit);
  }
};

/// Stored as the index of the enumerator, so the order is part of the format.
enum class HealthState { healthy, ejected, slow_start };

/// The state of an EndpointHealth. Its fields are stored in two groups.
struct EndpointHealthRecord {
  double failure_fraction = 0;   // failures as a fraction of recent calls
  int consecutive_failures = 0;  // since the last served call
  int isolated_failures = 0;     // resets and errors among the consecutive failures
  // Resets and errors before a call that was served again, as a fraction of recent calls.
  double isolated_failure_fraction = 0;
  Time last_served_at = 0;         // when the last served call ended
  Time latest_served_sent_at = 0;  // latest time at which a served call was sent
  bool last_failure_may_have_executed = false;

  HealthState state = HealthState::healthy;
  double expected_rate = 0;   // calls per second before the outage
  Time state_started_at = 0;  // from when the duration of the state counts
  TokenBucket bucket{0};      // for calls while ejected or in slow start
  Time next_probe_at = 0;

  template <class Visitor>
  void visit_failure_fields(Visitor&& visit) {
    visit_fields(visit, failure_fraction, consecutive_failures, isolated_failures, isolated_failure_fraction);
    visit_fields(visit, last_served_at, latest_served_sent_at, last_failure_may_have_executed);
  }
  template <class Visitor>
  void visit_state_fields(Visitor&& visit) {
    visit_fields(visit, state, expected_rate, state_started_at);
    bucket.visit_tokens(visit);
    bucket.visit_refilled_at(visit);
    visit(next_probe_at);
  }
};

/// Stored as the index of the enumerator, so the order is part of the format.
enum class SlowStartPhase {
  inactive,          ///< calls are not limited
  awaiting_success,  ///< an unsuccessful call was not followed by a served one yet
  slow_start         ///< the destination may have returned from an outage
};

/// The state of a SlowStartPacer.
struct SlowStartRecord {
  SlowStartPhase phase = SlowStartPhase::inactive;
  Time phase_started_at = 0;  // while awaiting a success: the last unsuccessful call
  Time interrupted_slow_start_at =
      -kNever;                    // start of the slow start before the wait; -kNever: there was none
  Time last_served_at = -kNever;  // when the last served call ended
  Time last_unsuccessful_sent_at = -kNever;  // the latest time at which an unsuccessful call was sent
  int consecutive_unsuccessful = 0;          // calls since the last served one
  double unsuccessful_fraction = 0;          // of the recent calls
  double demand = 0;                         // calls per second of this relay before the outage
  TokenBucket bucket{0};
  Time unlimited_until = -kNever;  // an outage that began with the only failure can't be over; not stored

  template <class Visitor>
  void visit_learned_fields(Visitor&& visit) {
    visit_fields(visit, phase, phase_started_at, interrupted_slow_start_at, last_served_at);
    visit_fields(visit, last_unsuccessful_sent_at, consecutive_unsuccessful, unsuccessful_fraction, demand);
    bucket.visit_tokens(visit);
    bucket.visit_refilled_at(visit);
  }
};

}  // namespace dispatch
