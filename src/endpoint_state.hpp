// The state kept for each endpoint and each destination, composed of the states of the components.
#pragma once

#include <set>
#include <vector>

#include "dispatch/endpoint.hpp"
#include "endpoint_health.hpp"
#include "latency_estimator.hpp"
#include "rate_estimator.hpp"
#include "rate_limiter.hpp"
#include "records.hpp"
#include "retry_backoff.hpp"
#include "shared_constants.hpp"
#include "slow_start_pacer.hpp"
#include "use_gap_estimator.hpp"

namespace dispatch {

/// The state of one rate limit. It is shared by the endpoints of a destination, except that an independent
/// endpoint has a rate limit of its own.
struct RateLimitScope {
  RetryBackoff backoff;
  RateLimiter limiter;
  SlowStartPacer slow_start;
  // New messages for the destination. Not used in an independent endpoint's own scope.
  RateEstimator arrivals{kDemandTimeConstant};
  int consecutive_failures = 0;  // failed calls since the last served one; used by OutlierDetector

  template <class Visitor>
  void visit_learned_fields(Visitor&& visit) {
    backoff.visit_learned_fields(visit);
    limiter.record().visit_learned_fields(visit);
  }
};

struct DestinationState;

/// An endpoint that is listed or still has to be remembered.
struct EndpointState {
  Endpoint info;
  DestinationState* destination = nullptr;  // state of info.destination; null: must be looked up again
  bool is_independent = false;              // it has its own rate limit and fails on its own
  bool suspended = false;                   // suspended by operators
  RateLimitScope own_scope;                 // used if is_independent
  RateEstimator served_calls{kServedRateTimeConstant};
  RateEstimator demand{kDemandTimeConstant};  // calls begun for first attempts while the endpoint is healthy
  LatencyEstimator latency{kLatencyParameters};
  EndpointHealth health;
  std::set<CallId> calls;       // calls in flight, oldest first
  CallId current_call = 0;      // the last call begun; messages of the same round may join it; 0: none
  int max_batch_size = 1;       // the largest number of messages in a call
  int adaptive_batch_size = 1;  // the current limit, which is halved while calls fail
  bool idle_connections_closed = false;  // they were closed after the last served call
  UseGapEstimator use_gap{kUseGapParameters};
  int connection_limit_estimate = 0;  // calls in flight at which connects failed; 0: unknown
  Time connection_limit_changed_at = 0;
  Time last_connect_failure_at = -kNever;

  template <class Visitor>
  void visit_learned_fields(Visitor&& visit) {
    own_scope.visit_learned_fields(visit);
    served_calls.visit_learned_fields(visit);
    demand.visit_learned_fields(visit);
    visit(adaptive_batch_size);
    latency.visit_learned_fields(visit);
    health.learned_record().visit_failure_fields(visit);
    visit(idle_connections_closed);
    use_gap.visit_learned_fields(visit);
    health.learned_record().visit_state_fields(visit);
    visit_fields(visit, connection_limit_estimate, connection_limit_changed_at, last_connect_failure_at);
  }
};

/// Whether the endpoint is listed as active and not suspended.
inline bool is_in_service(const EndpointState& endpoint) {
  return endpoint.info.status == EndpointStatus::active && !endpoint.suspended;
}

/// A destination and its endpoints.
struct DestinationState {
  RateLimitScope scope;  // shared by the endpoints that are not independent
  std::vector<EndpointState*> endpoints;
};

}  // namespace dispatch
