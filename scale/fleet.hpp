// Simulates a fleet of relays: many instances of the real dispatcher run in one process and in virtual time
// against modelled destinations. The simulated events do not depend on the machine: equal settings and an
// equal seed give equal results, except for the measured CPU time and memory.
//
// All times are in seconds and all rates are per second of virtual time, unless stated otherwise. Fractions
// and probabilities are between 0 and 1. A pair of min_x and max_x is a range from which a value is drawn for
// each destination.
#pragma once

#include <cstdint>
#include <functional>

#include "dispatch/dispatcher.hpp"

namespace scale_tool {

// The delivery targets of one message class, in seconds from a message's arrival.
struct ClassObjectives {
  double latency_objective = 0;
  double deadline = 0;
};

// The messages that arrive. A load is the rate of a destination's messages as a multiple of its rate limit.
struct WorkloadSettings {
  double load = 0.5;
  // The fraction of the destinations whose load is `hot_load` instead of `load`.
  double hot_fraction = 0;
  double hot_load = 0;
  // From `burst_start` until `burst_end`, the message rate of the whole fleet is multiplied by the ratio of
  // `burst_load` to `load`.
  double burst_load = 0;
  double burst_start = 0;
  double burst_end = 0;
  // The coefficient of variation of the relays' shares of the traffic. At 1, some relays get several times
  // the mean.
  double relay_traffic_variation = 0;
  double non_idempotent_fraction = 0.23;
  ClassObjectives idempotent{.latency_objective = 1.5, .deadline = 8};
  ClassObjectives non_idempotent{.latency_objective = 2, .deadline = 16};
};

// How calls to a destination end during an outage.
enum class OutageSymptom {
  unreachable,  // connections are not established within the connect timeout
  refused,      // connections are refused at once
  hung,         // calls are accepted and never answered
  shut,         // calls are rejected, some with a Retry-After that ends with the outage
  failing       // most calls are answered with an error, the others are served
};

// The modelled destinations.
struct DestinationSettings {
  double mean_endpoints = 1.7;  // of one destination; its endpoints share its rate limit
  double rate_limit = 2.84;     // calls per second that one destination admits from all relays together
  // The fraction of the destinations that limit the calls in fixed windows. The others use a token bucket,
  // whose depth is given by the time in which an empty bucket fills up.
  double fixed_window_fraction = 0.67;
  double min_window = 1;
  double max_window = 2;
  double min_bucket_fill_time = 0.4;
  double max_bucket_fill_time = 1;
  // The fraction of the destinations at which rejected calls use up the rate limit too.
  double rejections_count_fraction = 0;
  // The fraction of the admitted calls that end as reset although the destination is available.
  double isolated_reset_fraction = 0;
  // The probability that a call rejected by the rate limit, or while the destination is shut, is answered
  // with a Retry-After.
  double min_retry_after_probability = 0.05;
  double max_retry_after_probability = 0.9;
  double min_capacity_ratio = 1.2;  // the capacity divided by the rate limit
  double max_capacity_ratio = 1.6;
  double mean_service_time = 0.15;
  double service_time_variation = 0.6;  // coefficient of variation
  double max_weight_error = 0.5;        // largest relative error of the weight in the endpoint list
  double load_report_period = 0.4;
  double load_report_delay = 0.15;
  double load_report_noise = 0.1;  // largest relative error of a reported value
  // In slow start, which follows an outage, the capacity grows linearly from this fraction to the full
  // capacity.
  double slow_start_capacity = 0.22;
  double slow_start_duration = 9;
  // A destination in slow start collapses when calls arrive at `overload_multiple` times its present capacity
  // for `overload_duration`.
  double overload_multiple = 2;
  double overload_duration = 1.5;
};

struct NetworkSettings {
  int zone_count = 2;
  double same_zone_delay = 0.015;    // one way
  double cross_zone_delay = 0.05;    // one way
  double max_list_update_delay = 1;  // until a relay receives a change of the endpoint list
};

struct FaultSettings {
  // The fraction of the destinations that are down at any time. Outages begin at regular intervals, chosen to
  // give this fraction, each at a destination drawn at random.
  double unavailable_fraction = 0;
  double outage_duration = 10;
  OutageSymptom outage_symptom = OutageSymptom::unreachable;
  double endpoint_replacement_rate = 0;  // endpoints replaced per second in the whole fleet
  // The fraction of the relays that are all killed at the same time. They keep their journals and start again
  // after `restart_delay`.
  double killed_relay_fraction = 0;
  double killed_at = 30;
  double restart_delay = 1;
};

// Limits of each relay; see dispatch::Settings.
struct RelayLimits {
  int max_calls_in_flight = 145;
  int max_open_messages = 4'150;
  int max_attempts = 6;
};

struct FleetSettings {
  int relay_count = 30;
  std::uint64_t seed = 1;
  // The number of destinations grows with the number of relays up to the maximum. The traffic for each
  // destination does not depend on the number of relays, nor does, up to the maximum, the traffic for each
  // relay.
  int destinations_per_relay = 146;
  int max_destinations = 200;
  double duration = 60;
  double warm_up = 15;  // at the start; its messages and calls are not counted
  WorkloadSettings workload;
  DestinationSettings destination;
  NetworkSettings network;
  FaultSettings faults;
  RelayLimits relay;
};

struct FleetResult {
  std::int64_t destinations = 0;
  std::int64_t endpoints = 0;

  // Messages that arrived after the warm-up and whose deadline was at the latest at the end of `duration`.
  std::int64_t messages = 0;
  std::int64_t delivered = 0;  // before the deadline
  std::int64_t within_objective = 0;
  std::int64_t failed = 0;
  std::int64_t rejected = 0;
  std::int64_t never_attempted = 0;
  // Of these messages, the ones at whose arrival the destination was neither down nor in slow start, and
  // whose destination had no outage until they ended.
  std::int64_t unaffected_messages = 0;
  std::int64_t unaffected_delivered = 0;

  // Calls after the warm-up and before the end of `duration`.
  std::int64_t calls = 0;
  std::int64_t calls_succeeded = 0;
  std::int64_t calls_rejected = 0;
  std::int64_t calls_failed = 0;
  double calls_allowed = 0;  // by the rate limits of all destinations

  // The number of destinations that collapsed under overload in slow start, and the number of these to which
  // more than two thirds of the recent calls came from relays that had been notified of the outage.
  std::int64_t collapses = 0;
  std::int64_t collapses_by_notified_relays = 0;
  // The longest uninterrupted time after the first restart of a relay for which the calls in the period of a
  // destination's rate limit exceeded the limit, in seconds, and the number of destinations at which this
  // time was longer than the period plus 2 s. Both are 0 if no relay restarted.
  double longest_overrun = 0;
  std::int64_t overruns = 0;

  // Allocated at the end, including the memory of the simulation itself.
  std::int64_t bytes_per_relay = 0;
  double cpu_seconds_per_relay = 0;  // per second of virtual time
  std::uint64_t digest = 0;          // hash of all calls, outcomes and ends of messages, in order
};

// Throws std::invalid_argument for invalid settings. The message begins with their keys in the experiment
// file.
void validate(const FleetSettings& settings);

// Runs one simulation. Calls `progress` about once per second of virtual time with the time that has passed.
// Throws what validate() throws.
[[nodiscard]] FleetResult run_fleet(
    const FleetSettings& settings, const std::function<void(double second)>& progress = [](double) {});

}  // namespace scale_tool
