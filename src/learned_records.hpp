// What the parts learn and a relay's next incarnation takes over: plain records. The order in which fields
// are visited is the order in which they are stored.
#pragma once

#include <limits>

#include "learned_state.hpp"
#include "rate_estimator.hpp"
#include "time_units.hpp"
#include "token_bucket.hpp"

namespace dispatch {

inline constexpr double kUnlimited = std::numeric_limits<double>::infinity();

/// Of RateLimiter.
struct RateLimiterRecord {
  explicit RateLimiterRecord(double served_rate_memory) : served(served_rate_memory) {}

  double rate = kUnlimited;  // calls a second of this relay
  TokenBucket bucket{1};
  Time rate_reduced_at = -kNever;
  Time rate_raised_at = 0;
  Time retry_after_until = 0;
  RateEstimator served;
  int rejections = 0;                // since the last served call
  double admission_probability = 1;  // as of admission_reduced_at
  Time admission_reduced_at = -kNever;
  Time gossiped_at = -kNever;  // the last gossip of it, sent or received
  Time admission_held_until = 0;
  Time first_rejection_at = 0;  // the first of `rejections`
  double notified_limit = 0;    // calls a second of all relays; 0: not notified

  template <class Visitor>
  void visit_learned_fields(Visitor&& visit) {
    visit(rate);
    bucket.visit_tokens(visit);
    bucket.visit_refilled_at(visit);
    visit_fields(visit, rate_reduced_at, rate_raised_at, retry_after_until);
    served.visit_learned_fields(visit);
    visit_fields(visit, rejections, admission_probability, admission_reduced_at, gossiped_at);
    visit_fields(visit, admission_held_until, first_rejection_at, notified_limit);
  }
};

/// Of LowRatePacer.
struct LowRatePacerRecord {
  explicit LowRatePacerRecord(double demand_memory) : demand(demand_memory) {}

  double demand_factor = kUnlimited;  // calls for each call of demand
  TokenBucket bucket{1};
  double rejected_share = 0;  // of recent calls
  RateEstimator demand;

  template <class Visitor>
  void visit_learned_fields(Visitor&& visit) {
    visit(demand_factor);
    bucket.visit_tokens(visit);
    visit(rejected_share);
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
