// Simulation of a fleet of relays: many instances of the real dispatcher in one process and in virtual time,
// against modelled destinations. Nothing of it depends on the machine: equal settings and seed give equal
// results.
//
// All settings of time are in seconds and all rates are per second of virtual time. Fractions and
// probabilities are between 0 and 1. A pair of min_x and max_x is a range from which each destination draws.
#pragma once

#include <cstdint>
#include <functional>

#include "dispatch/dispatcher.hpp"

namespace scale_tool {

// What the messages of one class demand.
struct ClassObjectives {
  double latency_objective = 0;
  double deadline = 0;
};

// The messages that arrive. Loads are the messages' rate as a multiple of the destination's rate limit.
struct WorkloadSettings {
  double load = 0.5;
  // This fraction of the destinations gets `hot_load` in place of `load`.
  double hot_fraction = 0;
  double hot_load = 0;
  // All destinations together get `burst_load` in place of `load` from `burst_start` until `burst_end`.
  double burst_load = 0;
  double burst_start = 0;
  double burst_end = 0;
  // Coefficient of variation of the relays' parts of the traffic: at 1, some get several times the mean.
  double relay_skew = 0;
  double non_idempotent_fraction = 0.23;
  ClassObjectives idempotent{.latency_objective = 1.5, .deadline = 8};
  ClassObjectives non_idempotent{.latency_objective = 2, .deadline = 16};
};

// The modelled destinations.
struct DestinationSettings {
  double mean_endpoints = 1.7;  // endpoints of a destination share its rate limit
  double rate_limit = 2.84;     // calls per second that a destination admits from all relays together
  // This fraction limits the calls in fixed windows; the others have a token bucket, whose depth is given by
  // the time in which it fills up.
  double fixed_window_fraction = 0.67;
  double min_window = 1;
  double max_window = 2;
  double min_bucket_fill_time = 0.4;
  double max_bucket_fill_time = 1;
  double rejections_count_fraction = 0;  // of destinations at which rejected calls use up the limit too
  double min_retry_after_probability = 0.05;
  double max_retry_after_probability = 0.9;
  double min_capacity_ratio = 1.2;  // capacity over the rate limit
  double max_capacity_ratio = 1.6;
  double mean_service_time = 0.15;
  double service_time_variation = 0.6;  // coefficient of variation
  double max_weight_error = 0.5;        // relative error of the weight in the endpoint list
  double load_report_period = 0.4;
  double load_report_delay = 0.15;
  double load_report_noise = 0.1;  // relative
  // Slow start: right after an outage there is this fraction of the capacity; it grows linearly to all of it.
  double slow_start_capacity = 0.22;
  double slow_start_duration = 9;
  // A destination in slow start collapses when calls come at this multiple of its present capacity for so
  // long.
  double overload_multiple = 2;
  double overload_duration = 1.5;
};

struct NetworkSettings {
  int zone_count = 2;
  double same_zone_delay = 0.015;  // one way
  double cross_zone_delay = 0.05;
  double max_list_delay = 1;  // until a relay hears of a change of the endpoint list
};

struct FaultSettings {
  // Destinations are down in turn, so that this fraction of them is down at any time.
  double unavailable_fraction = 0;
  double outage_duration = 10;
  double endpoint_replacement_rate = 0;
  // Relays that are killed at once; they keep their journals and start again after `restart_delay`.
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
  // The number of destinations grows with the relays up to the maximum. The traffic for each relay and
  // destination stays the same.
  int destinations_per_relay = 146;
  int max_destinations = 200;
  double duration = 60;
  double warm_up = 15;  // at the start, not counted
  WorkloadSettings workload;
  DestinationSettings destination;
  NetworkSettings network;
  FaultSettings faults;
  RelayLimits relay;
};

struct FleetResult {
  std::int64_t destinations = 0;
  std::int64_t endpoints = 0;

  // Messages that arrived after the warm-up and whose deadline was before the end.
  std::int64_t messages = 0;
  std::int64_t delivered = 0;  // before the deadline
  std::int64_t within_objective = 0;
  std::int64_t failed = 0;
  std::int64_t rejected = 0;
  std::int64_t never_attempted = 0;
  // Of these, those whose destination was neither down nor in slow start in their time.
  std::int64_t unaffected_messages = 0;
  std::int64_t unaffected_delivered = 0;

  // Calls after the warm-up.
  std::int64_t calls = 0;
  std::int64_t calls_succeeded = 0;
  std::int64_t calls_rejected = 0;
  std::int64_t calls_failed = 0;
  double calls_allowed = 0;  // by the rate limits

  // Destinations in slow start that collapsed under overload, and of these the ones to which more than two
  // thirds of the calls came from relays that had been notified of the outage.
  std::int64_t collapses = 0;
  std::int64_t collapses_by_notified_relays = 0;
  // The longest time after the restart for which the calls in a destination's window exceeded its limit
  // without a break, in seconds, and the number of destinations at which this took more than the window and
  // 2 s.
  double longest_overrun = 0;
  std::int64_t overruns = 0;

  // At the end, with what the simulation itself holds.
  std::int64_t bytes_per_relay = 0;
  double cpu_seconds_per_relay = 0;  // for a second of virtual time
  std::uint64_t digest = 0;          // of all that happened, in order
};

// Throws std::invalid_argument naming the setting that makes no sense, by its key in the experiment file.
void validate(const FleetSettings& settings);

// Runs one simulation; `progress` is called with each second of virtual time. Throws as validate() does.
[[nodiscard]] FleetResult run_fleet(
    const FleetSettings& settings, const std::function<void(double second)>& progress = [](double) {});

}  // namespace scale_tool
