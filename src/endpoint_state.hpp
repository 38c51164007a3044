// What is kept of an endpoint and of a destination: records that join the parts' own states.
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
#include "use_gap_estimator.hpp"

namespace dispatch {

/// What endpoints that share one rate limit have in common: all of a destination, or one with an independent
/// route.
struct RateLimitScope {
  RetryBackoff backoff;
  RateLimiter limiter;
  int failures = 0;  // of calls since the last served one, for OutlierDetector

  template <class Visitor>
  void visit_learned_fields(Visitor&& visit) {
    backoff.visit_learned_fields(visit);
    limiter.record().visit_learned_fields(visit);
  }
};

struct DestinationState;

struct EndpointState {
  Endpoint info;
  DestinationState* destination = nullptr;  // of info.destination; null: EndpointDirectory looks it up
  bool independent_route = false;           // it has a rate limit and outages of its own
  bool suspended = false;                   // by operators
  RateLimitScope own_scope;                 // used with an independent route only
  RateEstimator served{kServedRateTimeConstant};
  RateEstimator demand{kDemandTimeConstant};  // first attempts while healthy
  LatencyEstimator latency{kLatencyParameters};
  EndpointHealth health;
  std::set<CallId> calls;                // in flight, oldest first
  CallId current_call = 0;               // begun in this round, for further messages
  int max_batch_size = 1;                // messages in a call: at most,
  int batch_size = 1;                    // and as trusted now
  bool idle_connections_closed = false;  // since the last served call
  UseGapEstimator use_gap{kUseGapParameters};
  int concurrency_cap = 0;  // calls in flight at which connects failed; 0: unknown
  Time concurrency_cap_changed_at = 0;
  Time last_connect_failure_at = -kNever;

  template <class Visitor>
  void visit_learned_fields(Visitor&& visit) {
    own_scope.visit_learned_fields(visit);
    served.visit_learned_fields(visit);
    demand.visit_learned_fields(visit);
    visit(batch_size);
    latency.visit_learned_fields(visit);
    health.learned_record().visit_failure_fields(visit);
    visit(idle_connections_closed);
    use_gap.visit_learned_fields(visit);
    health.learned_record().visit_state_fields(visit);
    visit_fields(visit, concurrency_cap, concurrency_cap_changed_at, last_connect_failure_at);
  }
};

/// Listed as active, and not suspended.
inline bool is_in_service(const EndpointState& endpoint) {
  return endpoint.info.status == EndpointStatus::active && !endpoint.suspended;
}

struct DestinationState {
  RateLimitScope scope;  // used by the endpoints without an independent route
  std::vector<EndpointState*> endpoints;
};

}  // namespace dispatch
