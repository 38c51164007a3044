// Conversion between the microseconds of the public interface and the seconds used in computations.
#pragma once

#include <limits>

#include "dispatch/types.hpp"

namespace dispatch {

/// Later than any time that occurs. The sum of several such values does not overflow.
inline constexpr Time kNever = std::numeric_limits<Time>::max() / 4;

/// Converts microseconds to seconds.
inline double seconds(Time microseconds) { return static_cast<double>(microseconds) * 1e-6; }

/// Converts seconds to microseconds, truncating the fraction. Durations above 1e9 seconds become kNever.
inline Time micros(double seconds) { return seconds > 1e9 ? kNever : static_cast<Time>(seconds * 1e6); }

}  // namespace dispatch
