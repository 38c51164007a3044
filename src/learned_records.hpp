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

/// Stored by their positions.
enum class HealthState { healthy, ejected, slow_start };

/// Of EndpointHealth; stored in two pieces.
struct EndpointHealthRecord {
  double failure_share = 0;  // of recent calls
  int consecutive_failures = 0;
  int isolated_failures = 0;          // resets and errors among the consecutive failures
  double isolated_failure_share = 0;  // of recent calls: such failures while it serves on
  Time served_at = 0;
  Time newest_served_send = 0;  // the newest send among the served calls
  bool last_failure_may_have_run = false;

  HealthState state = HealthState::healthy;
  double expected_rate = 0;  // calls a second before the outage
  Time changed_at = 0;       // when the state began
  TokenBucket bucket{0};     // for calls while ejected or in slow start
  Time next_probe_at = 0;

  template <class Visitor>
  void visit_failure_fields(Visitor&& visit) {
    visit_fields(visit, failure_share, consecutive_failures, isolated_failures, isolated_failure_share);
    visit_fields(visit, served_at, newest_served_send, last_failure_may_have_run);
  }
  template <class Visitor>
  void visit_state_fields(Visitor&& visit) {
    visit_fields(visit, state, expected_rate, changed_at);
    bucket.visit_tokens(visit);
    bucket.visit_refilled_at(visit);
    visit(next_probe_at);
  }
};

}  // namespace dispatch
