// The clock of the simulation: microseconds since its start.
#pragma once

#include <cmath>
#include <cstdint>

#include "dispatch/dispatcher.hpp"
#include "units.hpp"

namespace scale_tool::simulation {

using dispatch::Time;

// Later than all events, but small enough that adding a duration does not overflow.
constexpr Time kNever = INT64_MAX / 4;

// The time after which an attempt to connect has failed, in microseconds.
constexpr Time kConnectTimeout = 1'000'000;

inline Time to_microseconds(double seconds) {
  return static_cast<Time>(std::llround(seconds * kMicrosecondsPerSecond));
}

inline double to_seconds(Time time) { return static_cast<double>(time) / kMicrosecondsPerSecond; }

}  // namespace scale_tool::simulation
