// The settings of cost measurements, read from the table [slopes] of an experiment file.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "experiment.hpp"

namespace scale_tool {

// The quantity whose number is varied in a series of measurements.
enum class SizeKind {
  listed_endpoints,
  watched_endpoints,  // listed endpoints that the relay receives on a watch of the endpoint list
  held_messages,
  unavailable_destinations,
  calls_in_flight,
  learned_destinations,
  records_per_commit,
  messages_per_second
};

// The name of the size in reports.
[[nodiscard]] std::string to_string(SizeKind kind);

using Sizes = std::vector<std::int64_t>;

// Each list of sizes is in ascending order and has at least two sizes.
struct SlopesSettings {
  std::int64_t repetitions = 3;  // of each measurement, whose median is reported
  double endpoints_per_destination = 1.7;
  std::int64_t body_bytes = 200;                  // of the body of each message
  std::int64_t message_destination_count = 1000;  // that held messages are spread over

  Sizes listed_endpoints{40'000, 80'000, 160'000, 323'000};
  Sizes watched_endpoints{2000, 5000, 10'000, 20'000, 30'000, 40'000};
  Sizes held_messages{40'000, 80'000, 160'000, 320'000};
  Sizes unavailable_destinations{250, 500, 1000, 2000, 4000};
  Sizes calls_in_flight{64, 128, 256, 512, 1024};
  Sizes learned_destinations{500, 1000, 2000, 4000};  // in the learned state of an earlier instance
  Sizes records_per_commit{1, 8, 64, 512};
  Sizes messages_per_second{50, 100, 208, 416};

  std::string relay_program;  // set by the command line, not read from the file

  // The load that one relay of a fleet must be able to handle. Each fitted line is extrapolated to it; 0 if
  // it is not known.
  double target_endpoints = 323'000;
  double target_destinations = 190'000;
  double target_messages = 9.2e6;
  double target_messages_per_second = 208;
  double target_memory_bytes = 64e6;
  double target_restart_seconds = 10;
  std::int64_t max_list_bytes = 4 << 20;  // kMaxListBytes of relay/discovery_client.cpp

  // Reads the settings that the file contains; the others keep their defaults. Throws BadInput that names the
  // file, the line and the key of an invalid value.
  void read(ExperimentTable& experiment);
  // The size that one relay must be able to handle; 0 if it is not known.
  [[nodiscard]] double target_size(SizeKind kind) const;
};

}  // namespace scale_tool
