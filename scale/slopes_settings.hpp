// The table [slopes] of an experiment file.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "experiment.hpp"

namespace scale_tool {

// What a size is the number of.
enum class SizeKind {
  listed_endpoints,
  watched_endpoints,  // listed endpoints that the relay hears of by a watch
  held_messages,
  unavailable_destinations,
  calls_in_flight,
  learned_destinations,
  records_per_commit,
  messages_per_second
};

// As the reports name it.
[[nodiscard]] std::string to_string(SizeKind kind);

using Sizes = std::vector<std::int64_t>;

// The sizes of each list are ascending, two at least.
struct SlopesSettings {
  std::int64_t repetitions = 3;  // of each measurement; the median counts
  double endpoints_per_destination = 1.7;
  std::int64_t body_bytes = 200;                 // of a message
  std::int64_t destinations_of_messages = 1000;  // over which held messages are spread

  Sizes listed_endpoints{40'000, 80'000, 160'000, 323'000};
  Sizes watched_endpoints{2000, 5000, 10'000, 20'000, 30'000, 40'000};
  Sizes held_messages{40'000, 80'000, 160'000, 320'000};
  Sizes unavailable_destinations{250, 500, 1000, 2000, 4000};
  Sizes calls_in_flight{64, 128, 256, 512, 1024};
  Sizes learned_destinations{500, 1000, 2000, 4000};  // in a state that an earlier incarnation has left
  Sizes records_per_commit{1, 8, 64, 512};
  Sizes messages_per_second{50, 100, 208, 416};

  std::string relay_program;  // from the command line, not from the file

  // What a relay of the fleet must bear; each line is extrapolated to there. 0: not known.
  double target_endpoints = 323'000;
  double target_destinations = 190'000;
  double target_messages = 9.2e6;
  double target_messages_per_second = 208;
  double target_memory_bytes = 64e6;
  double target_restart_seconds = 10;
  std::int64_t max_list_bytes = 4 << 20;  // kMaxListBytes of relay/discovery_client.cpp

  // Throws BadInput naming the file, the line and the key.
  void read(ExperimentTable& experiment);
  // The size that a relay must bear; 0 where it is not known.
  [[nodiscard]] double target(SizeKind kind) const;
};

}  // namespace scale_tool
