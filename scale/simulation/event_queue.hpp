// What is to happen in the simulation, in order of its time.
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

// A relay runs its dispatcher. Void where the relay has been killed since.
struct DispatcherRound {
  RelayIndex relay = 0;
  int incarnation = 0;
};

// A timer of a dispatcher expires. Void where the relay has been killed since.
struct TimerExpiry {
  RelayIndex relay = 0;
  int incarnation = 0;
};

// A call comes to its destination.
struct CallArrival {
  CallNumber call = 0;
};

// The reply to a call comes to the relay.
struct ReplyArrival {
  CallNumber call = 0;
};

// A relay gives up waiting for a reply, or its dispatcher has cancelled the call.
struct CallAbort {
  CallNumber call = 0;
  dispatch::Outcome outcome = dispatch::Outcome::timeout;
};

// A destination goes down.
struct OutageStart {};

// An endpoint of the list is replaced.
struct ListChange {};

// A relay hears of a change of the list.
struct ListUpdate {
  RelayIndex relay = 0;
  std::shared_ptr<const std::vector<dispatch::Endpoint>> endpoints;
};

// Some of the relays are killed at once.
struct RelayKill {};

struct RelayStart {
  RelayIndex relay = 0;
};

// The overruns of all rate limits are measured.
struct OverrunMeasurement {};

using SimulationEvent =
    std::variant<MessageArrival, DispatcherRound, TimerExpiry, CallArrival, ReplyArrival, CallAbort,
                 OutageStart, ListChange, ListUpdate, RelayKill, RelayStart, OverrunMeasurement>;

struct ScheduledEvent {
  Time at = 0;
  std::uint64_t sequence_number = 0;
  SimulationEvent event;
};

// Invariant: events come out in the order of their times, and those of the same time as they were scheduled.
class EventQueue {
 public:
  void schedule(Time at, SimulationEvent event);
  // Takes out the next event up to and including `end`; nothing where there is none.
  [[nodiscard]] std::optional<ScheduledEvent> pop(Time end);

 private:
  struct Later {
    bool operator()(const ScheduledEvent& a, const ScheduledEvent& b) const;
  };

  std::uint64_t next_sequence_number_ = 0;
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, Later> events_;
};

}  // namespace scale_tool::simulation
