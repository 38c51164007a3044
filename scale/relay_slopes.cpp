// The relay's program among its peers: its start, its memory, and what each message costs.
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

// What discovery gives to a relay whose cached list is up to date.
std::string empty_update() { return endpoint_list("", kFirstListVersion + 1, ListForm::update); }

std::string empty_snapshot() { return endpoint_list("", kFirstListVersion, ListForm::snapshot); }

// The relay knows all endpoints from its configuration.
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

// The relay hears of all endpoints from discovery. Reports the length of a list that is too long for it once.
void measure_watched_endpoints(SlopeRecorder& recorder, std::int64_t endpoints) {
  const SlopesSettings& settings = recorder.settings();
  bool is_reported = false;
  recorder.add_medians(SizeKind::watched_endpoints, endpoints, [&]() -> Costs {
    RelayTrial trial(settings);
    const std::string list = list_snapshot(endpoints, settings.endpoints_per_destination,
                                           trial.endpoint_address(), kFirstListVersion + 1);
    if (trial.start(empty_snapshot(), list) == StartResult::ready) {
      const auto watch_bytes = static_cast<double>(trial.watch_bytes());
      return concatenate(trial.start_costs(), {{"on the watch, bytes", watch_bytes}});
    }
    if (!std::exchange(is_reported, true))
      recorder.report_value(SizeKind::watched_endpoints, endpoints,
                            {"not ready, a list too long, bytes", static_cast<double>(list.size())});
    return {};
  });
}

Costs held_message_costs(const SlopesSettings& settings, std::int64_t messages) {
  RelayTrial trial(settings);
  trial.fill_journal(messages);
  const std::string address = trial.endpoint_address();
  const std::string entries = list_entry(0, kDrainingDestination, address, "draining") + "," +
                              list_entry(1, kServingDestination, address);
  static_cast<void>(
      trial.start(endpoint_list(entries, kFirstListVersion, ListForm::snapshot), empty_update()));
  return concatenate(trial.start_costs(), {{"message delivered, us", trial.delivery_cost()}});
}

Costs rate_costs(const SlopesSettings& settings, std::int64_t messages_per_second) {
  RelayTrial trial(settings);
  static_cast<void>(
      trial.start(list_snapshot(kFewEndpoints, settings.endpoints_per_destination, trial.endpoint_address()),
                  empty_update()));
  return {{"a second of it, processor, us", trial.cost_per_second(messages_per_second)}};
}

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
    recorder.add_medians(SizeKind::messages_per_second, size, [&] { return rate_costs(settings, size); });
  report_sizes_reaching_targets(recorder);
}

}  // namespace scale_tool
