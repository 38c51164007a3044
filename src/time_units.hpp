// Conversion between the interface's microseconds and the seconds in which decisions are computed.
#pragma once

#include <limits>

#include "dispatch/types.hpp"

namespace dispatch {

/// Later than any time that occurs, and still far enough from overflow to be added to.
inline constexpr Time kNever = std::numeric_limits<Time>::max() / 4;

inline double seconds(Time microseconds) { return static_cast<double>(microseconds) * 1e-6; }

/// Rounds down; durations over 1e9 seconds become kNever.
inline Time micros(double seconds) { return seconds > 1e9 ? kNever : static_cast<Time>(seconds * 1e6); }

}  // namespace dispatch
