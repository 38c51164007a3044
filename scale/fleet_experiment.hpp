// Reads the table [fleet] of an experiment file.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet.hpp"

namespace scale_tool {

constexpr std::int64_t kMaxRelays = 10'000;

// Describes the simulations to run: one for each number of relays and each seed.
struct FleetExperiment {
  FleetSettings settings;
  std::vector<std::int64_t> relay_counts{30};
  std::vector<std::int64_t> seeds{1};
};

// Returns the defaults for an empty path. Throws BadInput for an invalid file; the message names the file and
// the key, and also the line unless settings contradict each other.
[[nodiscard]] FleetExperiment read_fleet_experiment(const std::string& path);

}  // namespace scale_tool
