// The two clocks. Intervals are measured on the steady clock; times that are stored beyond the life of the
// process are wall times. All times are in microseconds.
#pragma once

#include <algorithm>
#include <chrono>

#include "dispatch/dispatcher.hpp"

namespace message_relay {

using dispatch::Time;

inline Time steady_now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
inline Time wall_now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Converts the time that a timer should wait; a negative time becomes 0.
inline std::chrono::microseconds to_duration(Time time) {
  return std::chrono::microseconds(std::max<Time>(time, 0));
}

}  // namespace message_relay
