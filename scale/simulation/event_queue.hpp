// The future events of the simulation, in the order of their times.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <variant>
#include <vector>

#include "dispatch/dispatcher.hpp"
#include "simulation/call_table.hpp"
#include "simulation/destination.hpp"
#include "simulation/virtual_time.hpp"

namespace scale_tool::simulation {

// The next message arrives at a relay.
struct MessageArrival {};

// A relay runs a round of its dispatcher. Ignored if the relay has been killed since the event was scheduled.
struct DispatcherRound {
  RelayIndex relay = 0;
  int incarnation = 0;
};

// A timer of a dispatcher expires. Ignored if the relay has been killed since the event was scheduled.
struct TimerExpiry {
  RelayIndex relay = 0;
  int incarnation = 0;
};

// A call arrives at its destination.
struct CallArrival {
  CallNumber call = 0;
};

// The reply to a call arrives at the relay.
struct ReplyArrival {
  CallNumber call = 0;
};

// A call times out at its relay, or the relay's dispatcher has cancelled it.
struct CallAbort {
  CallNumber call = 0;
  dispatch::Outcome outcome = dispatch::Outcome::timeout;
};

// An outage of a destination begins.
struct OutageStart {};

// An endpoint in the endpoint list is replaced.
struct ListChange {};

// A relay receives a change of the endpoint list.
struct ListUpdateArrival {
  RelayIndex relay = 0;
  std::shared_ptr<const std::vector<dispatch::Endpoint>> endpoints;
};

// A fraction of the relays is killed at the same time.
struct RelayKill {};

// A killed relay starts again.
struct RelayStart {
  RelayIndex relay = 0;
};

// The overruns of the rate limits of all destinations are measured.
struct OverrunMeasurement {};

using SimulationEvent =
    std::variant<MessageArrival, DispatcherRound, TimerExpiry, CallArrival, ReplyArrival, CallAbort,
                 OutageStart, ListChange, ListUpdateArrival, RelayKill, RelayStart, OverrunMeasurement>;

struct ScheduledEvent {
  Time at = 0;
  std::uint64_t sequence_number = 0;
  SimulationEvent event;
};

// Invariant: events are returned in the order of their times, and events of the same time in the order in
// which they were scheduled.
class EventQueue {
 public:
  void schedule(Time at, SimulationEvent event);
  // Removes and returns the next event. Returns nothing if there is no event up to and including `end`.
  [[nodiscard]] std::optional<ScheduledEvent> pop(Time end);

 private:
  // Orders the heap such that the earliest event is on top.
  struct Later {
    bool operator()(const ScheduledEvent& a, const ScheduledEvent& b) const;
  };

  std::uint64_t next_sequence_number_ = 0;
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, Later> events_;
};

}  // namespace scale_tool::simulation
