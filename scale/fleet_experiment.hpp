// The table [fleet] of an experiment file.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet.hpp"

namespace scale_tool {

constexpr std::int64_t kMaxRelays = 10'000;

// One simulation is run for each number of relays and each seed.
struct FleetExperiment {
  FleetSettings settings;
  std::vector<std::int64_t> relay_counts{30};
  std::vector<std::int64_t> seeds{1};
};

// An empty path gives the defaults. Throws BadInput naming the file, the line and the key.
[[nodiscard]] FleetExperiment read_fleet_experiment(const std::string& path);

}  // namespace scale_tool
