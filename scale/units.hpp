// Conversion factors between units of time.
#pragma once

namespace scale_tool {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kMicrosecondsPerNanosecond = 1e-3;

}  // namespace scale_tool
