#include "fleet_experiment.hpp"

#include <stdexcept>

#include "experiment.hpp"

namespace scale_tool {
namespace {

constexpr int kMaxDestinations = 1'000'000;
constexpr double kMinPositive = 1e-6;
constexpr double kMaxPositive = 3'600;
constexpr double kMaxNonNegative = 1e6;

// A key of the experiment file and the setting that it sets. The keys are a public interface, so they keep
// their names when a setting is renamed.
struct NumberKey {
  const char* key;
  double& value;
};

void read_counts(ExperimentTable& table, FleetSettings& settings) {
  table.read("destinations_per_relay", settings.destinations_per_relay, 1, kMaxDestinations);
  table.read("most_destinations", settings.max_destinations, 1, kMaxDestinations);
  table.read("zones", settings.network.zone_count, 1, 1'000);
  table.read("slots", settings.relay.max_calls_in_flight, 1, 100'000);
  table.read("open_max", settings.relay.max_open_messages, 1, 10'000'000);
  table.read("attempts_max", settings.relay.max_attempts, 1, 1'000);
}

void read_fractions(ExperimentTable& table, FleetSettings& settings) {
  WorkloadSettings& workload = settings.workload;
  DestinationSettings& destination = settings.destination;
  const NumberKey keys[] = {{"hot_part", workload.hot_fraction},
                            {"unsafe_part", workload.non_idempotent_fraction},
                            {"window_part", destination.fixed_window_fraction},
                            {"refused_count_part", destination.rejections_count_fraction},
                            {"tells_wait_least", destination.min_retry_after_probability},
                            {"tells_wait_most", destination.max_retry_after_probability},
                            {"weight_off", destination.max_weight_error},
                            {"report_noise", destination.load_report_noise},
                            {"down_part", settings.faults.unavailable_fraction},
                            {"killed_part", settings.faults.killed_relay_fraction},
                            {"reset_part", destination.isolated_reset_fraction},
                            {"cold_from", destination.slow_start_capacity}};
  for (const auto& [key, value] : keys) table.read(key, value, 0, 1);
}

void read_positive_numbers(ExperimentTable& table, FleetSettings& settings) {
  WorkloadSettings& workload = settings.workload;
  DestinationSettings& destination = settings.destination;
  const NumberKey keys[] = {{"length", settings.duration},
                            {"aim", workload.idempotent.latency_objective},
                            {"deadline", workload.idempotent.deadline},
                            {"unsafe_aim", workload.non_idempotent.latency_objective},
                            {"unsafe_deadline", workload.non_idempotent.deadline},
                            {"window_least", destination.min_window},
                            {"window_most", destination.max_window},
                            {"depth_least", destination.min_bucket_fill_time},
                            {"depth_most", destination.max_bucket_fill_time},
                            {"service", destination.mean_service_time},
                            {"down", settings.faults.outage_duration},
                            {"cold", destination.slow_start_duration},
                            {"overload_for", destination.overload_duration},
                            {"fall_multiple", destination.overload_multiple},
                            {"report_period", destination.load_report_period},
                            {"limit", destination.rate_limit},
                            {"load", workload.load},
                            {"spare_least", destination.min_capacity_ratio},
                            {"spare_most", destination.max_capacity_ratio},
                            {"endpoints", destination.mean_endpoints}};
  for (const auto& [key, value] : keys) table.read(key, value, kMinPositive, kMaxPositive);
}

void read_non_negative_numbers(ExperimentTable& table, FleetSettings& settings) {
  WorkloadSettings& workload = settings.workload;
  NetworkSettings& network = settings.network;
  FaultSettings& faults = settings.faults;
  const NumberKey keys[] = {{"warm_up", settings.warm_up},
                            {"hot_load", workload.hot_load},
                            {"burst_load", workload.burst_load},
                            {"burst_from", workload.burst_start},
                            {"burst_to", workload.burst_end},
                            {"service_cv", settings.destination.service_time_variation},
                            {"report_delay", settings.destination.load_report_delay},
                            {"same_zone", network.same_zone_delay},
                            {"cross_zone", network.cross_zone_delay},
                            {"list_delay", network.max_list_update_delay},
                            {"killed_at", faults.killed_at},
                            {"killed_for", faults.restart_delay},
                            {"churn", faults.endpoint_replacement_rate},
                            {"uneven", workload.relay_traffic_variation}};
  for (const auto& [key, value] : keys) table.read(key, value, 0, kMaxNonNegative);
}

void read_outage_symptom(ExperimentTable& table, FleetSettings& settings) {
  auto position = static_cast<std::size_t>(settings.faults.outage_symptom);
  // In the order of the enumerators.
  table.read_choice("outage", position, {"unreachable", "refused", "hung", "shut", "failing"});
  settings.faults.outage_symptom = static_cast<OutageSymptom>(position);
}

}  // namespace

FleetExperiment read_fleet_experiment(const std::string& path) {
  FleetExperiment experiment;
  ExperimentTable table(path, "fleet");
  table.read("relays", experiment.relay_counts, 1, kMaxRelays);
  table.read("seeds", experiment.seeds, 0, INT64_MAX);
  read_counts(table, experiment.settings);
  read_fractions(table, experiment.settings);
  read_positive_numbers(table, experiment.settings);
  read_non_negative_numbers(table, experiment.settings);
  read_outage_symptom(table, experiment.settings);
  table.check_all_keys_read();
  try {
    validate(experiment.settings);
  } catch (const std::invalid_argument& error) {
    throw BadInput((path.empty() ? "" : path + ": ") + "fleet: " + error.what());
  }
  return experiment;
}

}  // namespace scale_tool
