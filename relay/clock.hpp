// The clocks. Intervals are measured on the steady clock. Times that are stored beyond the life of the
// process are journal times: steady times plus an offset that the processes on one state folder share, so
// that steps of the system's wall clock do not move them. All times are in microseconds.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>

#include "dispatch/dispatcher.hpp"

namespace message_relay {

using dispatch::Time;

inline Time steady_now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
// The system's wall clock, which may be stepped in either direction.
inline Time wall_now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// The disk space in bytes that load_journal_clock() may take in the state folder, for two files of one block.
inline constexpr std::uint64_t kJournalClockBytes = 1024;

// The present journal time. Before load_journal_clock(), it begins at the wall time of the first call.
[[nodiscard]] Time journal_now();
// Continues the journal time of the earlier processes on this state folder. If there is none, or if the
// machine has been restarted since, it begins at the present wall time and is stored for the next process.
// Logs an error and goes on if the file cannot be read or written.
void load_journal_clock(const std::string& folder);

// Converts the time that a timer should wait; a negative time becomes 0.
inline std::chrono::microseconds to_duration(Time time) {
  return std::chrono::microseconds(std::max<Time>(time, 0));
}

}  // namespace message_relay
