// The two clocks. Intervals run on the steady one; what outlasts the process is written in wall time. All
// times are in microseconds.
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

// For timers: a time that has passed already is no wait.
inline std::chrono::microseconds to_duration(Time time) {
  return std::chrono::microseconds(std::max<Time>(time, 0));
}

}  // namespace message_relay
