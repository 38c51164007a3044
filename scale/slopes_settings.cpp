#include "slopes_settings.hpp"

#include <algorithm>
#include <stdexcept>

namespace scale_tool {
namespace {

constexpr std::int64_t kMaxSize = 20'000'000;
constexpr std::int64_t kMaxRepetitions = 1000;
constexpr double kMaxEndpointsPerDestination = 1000;
constexpr std::int64_t kMaxBodyBytes = 65'536;
constexpr std::int64_t kMaxDestinations = 100'000;
constexpr double kMaxTarget = 1e12;
constexpr double kMinTargetRate = 0.001;
constexpr double kMaxTargetBytes = 1e15;
constexpr double kMaxTargetSeconds = 1e6;
constexpr std::int64_t kMaxListBytes = std::int64_t{1} << 40;

// Reads sizes, sorts them and removes duplicates. A line can't be fitted through fewer than two sizes.
void read_sizes(ExperimentTable& experiment, const std::string& key, Sizes& sizes) {
  experiment.read(key, sizes, 1, kMaxSize);
  std::sort(sizes.begin(), sizes.end());
  sizes.erase(std::unique(sizes.begin(), sizes.end()), sizes.end());
  if (sizes.size() < 2) experiment.throw_invalid(key, "two different sizes are needed to fit a line");
}

}  // namespace

std::string to_string(SizeKind kind) {
  switch (kind) {
    case SizeKind::listed_endpoints:
      return "endpoints listed";
    case SizeKind::watched_endpoints:
      return "endpoints on a watch";
    case SizeKind::held_messages:
      return "messages held";
    case SizeKind::unavailable_destinations:
      return "destinations down";
    case SizeKind::calls_in_flight:
      return "calls out";
    case SizeKind::learned_destinations:
      return "destinations learnt";
    case SizeKind::records_per_commit:
      return "records a commit";
    case SizeKind::messages_per_second:
      return "messages a second";
  }
  throw std::logic_error("to_string: unknown SizeKind " + std::to_string(static_cast<int>(kind)));
}

void SlopesSettings::read(ExperimentTable& experiment) {
  experiment.read("repetitions", repetitions, 1, kMaxRepetitions);
  experiment.read("endpoints_per_destination", endpoints_per_destination, 1, kMaxEndpointsPerDestination);
  experiment.read("body_bytes", body_bytes, 0, kMaxBodyBytes);
  experiment.read("down", message_destination_count, 1, kMaxDestinations);
  read_sizes(experiment, "endpoints", listed_endpoints);
  read_sizes(experiment, "messages", held_messages);
  read_sizes(experiment, "destinations_down", unavailable_destinations);
  read_sizes(experiment, "calls_out", calls_in_flight);
  read_sizes(experiment, "recalled", learned_destinations);
  read_sizes(experiment, "batch", records_per_commit);
  read_sizes(experiment, "watched", watched_endpoints);
  read_sizes(experiment, "rates", messages_per_second);
  experiment.read("asked_endpoints", target_endpoints, 0, kMaxTarget);
  experiment.read("asked_destinations", target_destinations, 0, kMaxTarget);
  experiment.read("asked_messages", target_messages, 0, kMaxTarget);
  experiment.read("asked_messages_per_s", target_messages_per_second, kMinTargetRate, kMaxTarget);
  experiment.read("asked_memory_bytes", target_memory_bytes, 0, kMaxTargetBytes);
  experiment.read("asked_restart_s", target_restart_seconds, 0, kMaxTargetSeconds);
  experiment.read("list_limit_bytes", max_list_bytes, 1, kMaxListBytes);
}

double SlopesSettings::target_size(SizeKind kind) const {
  switch (kind) {
    case SizeKind::listed_endpoints:
    case SizeKind::watched_endpoints:
      return target_endpoints;
    case SizeKind::held_messages:
      return target_messages;
    case SizeKind::unavailable_destinations:
    case SizeKind::learned_destinations:
      return target_destinations;
    case SizeKind::messages_per_second:
      return target_messages_per_second;
    case SizeKind::calls_in_flight:
    case SizeKind::records_per_commit:
      return 0;
  }
  throw std::logic_error("SlopesSettings::target_size: unknown SizeKind " +
                         std::to_string(static_cast<int>(kind)));
}

}  // namespace scale_tool
