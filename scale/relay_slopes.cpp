// Measures a relay process with simulated peers: the cost of its start, its memory, and the processor time
// for each message.
#include <utility>

#include "endpoint_catalogue.hpp"
#include "relay_trial.hpp"
#include "resource_meters.hpp"
#include "slopes.hpp"
#include "units.hpp"

namespace scale_tool {
namespace {

Costs concatenate(Costs costs, const Costs& more) {
  costs.insert(costs.end(), more.begin(), more.end());
  return costs;
}

// An update without entries, as discovery sends it to a relay whose cached list is up to date.
std::string empty_update() { return endpoint_list("", kFirstListVersion + 1, ListForm::update); }

std::string empty_snapshot() { return endpoint_list("", kFirstListVersion, ListForm::snapshot); }

// Costs of a relay that has all endpoints in the cached list of its configuration.
Costs cached_list_costs(const SlopesSettings& settings, std::int64_t endpoints) {
  RelayTrial trial(settings);
  const std::string address = trial.endpoint_address();
  static_cast<void>(
      trial.start(list_snapshot(endpoints, settings.endpoints_per_destination, address), empty_update()));
  Costs costs = trial.start_costs();
  costs = concatenate(std::move(costs), trial.list_change_costs(list_entry(0, 0, address)));
  const std::int64_t destinations = destination_of(endpoints, settings.endpoints_per_destination);
  return concatenate(std::move(costs), trial.delivery_costs(destinations));
}

// Measures a relay that receives all endpoints from discovery. If the relay rejects the list as too long,
// reports the length of the list, once for all repetitions.
void measure_watched_endpoints(SlopeRecorder& recorder, std::int64_t endpoints) {
  const SlopesSettings& settings = recorder.settings();
  bool is_length_reported = false;
  recorder.add_medians(SizeKind::watched_endpoints, endpoints, [&]() -> Costs {
    RelayTrial trial(settings);
    const std::string list = list_snapshot(endpoints, settings.endpoints_per_destination,
                                           trial.endpoint_address(), kFirstListVersion + 1);
    if (trial.start(empty_snapshot(), list) == StartResult::ready) {
      const auto watch_bytes_sent = static_cast<double>(trial.watch_bytes_sent());
      return concatenate(trial.start_costs(), {{"on the watch, bytes", watch_bytes_sent}});
    }
    if (!std::exchange(is_length_reported, true))
      recorder.report_value(SizeKind::watched_endpoints, endpoints,
                            {"not ready, a list too long, bytes", static_cast<double>(list.size())});
    return {};
  });
}

// Costs of a relay that recovers this many held messages from its journal.
Costs held_message_costs(const SlopesSettings& settings, std::int64_t messages) {
  RelayTrial trial(settings);
  trial.fill_journal(messages);
  const std::string address = trial.endpoint_address();
  const std::string entries = list_entry(0, kDrainingDestination, address, "draining") + "," +
                              list_entry(1, kServingDestination, address);
  static_cast<void>(
      trial.start(endpoint_list(entries, kFirstListVersion, ListForm::snapshot), empty_update()));
  return concatenate(trial.start_costs(), {{"message delivered, us", trial.cpu_time_per_delivery()}});
}

// Processor time of a relay that receives messages at this rate.
Costs message_rate_costs(const SlopesSettings& settings, std::int64_t messages_per_second) {
  RelayTrial trial(settings);
  static_cast<void>(trial.start(
      list_snapshot(kDefaultEndpointCount, settings.endpoints_per_destination, trial.endpoint_address()),
      empty_update()));
  return {{"a second of it, processor, us", trial.cpu_time_per_second(messages_per_second)}};
}

// Has the recorder report the sizes at which the relay reaches the limits for restart time, processor time
// and memory.
void report_sizes_reaching_targets(SlopeRecorder& recorder) {
  const SlopesSettings& settings = recorder.settings();
  const double max_restart_time = settings.target_restart_seconds * kMicrosecondsPerSecond;
  const double max_message_time = kMicrosecondsPerSecond / settings.target_messages_per_second;
  recorder.report_size_reaching(SizeKind::listed_endpoints, "ready, processor, us", max_restart_time);
  recorder.report_size_reaching(SizeKind::listed_endpoints, "message delivered, connections full, us",
                                max_message_time);
  recorder.report_size_reaching(SizeKind::listed_endpoints, "resident, bytes", settings.target_memory_bytes);
  recorder.report_size_reaching(SizeKind::held_messages, "ready, processor, us", max_restart_time);
  recorder.report_size_reaching(SizeKind::held_messages, "message delivered, us", max_message_time);
  recorder.report_size_reaching(SizeKind::held_messages, "resident, bytes", settings.target_memory_bytes);
  recorder.report_size_reaching(SizeKind::messages_per_second, "a second of it, processor, us",
                                kMicrosecondsPerSecond);
}

}  // namespace

void measure_relay(SlopeRecorder& recorder) {
  const SlopesSettings& settings = recorder.settings();
  for (const auto size : settings.listed_endpoints)
    recorder.add_medians(SizeKind::listed_endpoints, size, [&] { return cached_list_costs(settings, size); });
  for (const auto size : settings.watched_endpoints) measure_watched_endpoints(recorder, size);
  for (const auto size : settings.held_messages)
    recorder.add_medians(SizeKind::held_messages, size, [&] { return held_message_costs(settings, size); });
  for (const auto size : settings.messages_per_second)
    recorder.add_medians(SizeKind::messages_per_second, size,
                         [&] { return message_rate_costs(settings, size); });
  report_sizes_reaching_targets(recorder);
}

}  // namespace scale_tool
