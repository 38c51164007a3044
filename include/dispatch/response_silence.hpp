// Decides how long an endpoint may stay silent in the middle of a response.
#pragma once

#include "dispatch/types.hpp"

namespace dispatch {

/// Microseconds. An endpoint that has been silent for this long in the middle of a response may have stopped.
/// Its call would hold a slot until its timeout.
inline constexpr Time kMaxResponseSilence = 400'000;

/// A call whose endpoint has been silent for kMaxResponseSilence in the middle of its response.
struct SilentCall {
  bool delivered = false;   ///< its only message is delivered, whatever follows
  bool repeatable = true;   ///< all its messages may be sent again
  bool slots_free = false;  ///< the relay can begin other calls meanwhile
};

enum class SilenceDecision { wait, give_up };

/// A message that must not be repeated is lost if its call is given up, though the rest of the response may
/// say that it was rejected. So its call goes on until its timeout while no other call waits for the slot.
[[nodiscard]] constexpr SilenceDecision decide_on_silence(const SilentCall& call) {
  const bool gains_by_waiting = !call.delivered && !call.repeatable;
  return gains_by_waiting && call.slots_free ? SilenceDecision::wait : SilenceDecision::give_up;
}

}  // namespace dispatch
