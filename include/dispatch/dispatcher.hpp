// dispatch: the decisions of a dispatcher of notifications to outside receivers.
//
// A relay feeds one Dispatcher the events it sees and carries out the actions that come back, one
// handle() a round. The dispatcher never blocks, does no input or output, reads no clock and keeps
// no state outside the instance: equal settings, seed and events give equal actions.
//
// All times and durations are in microseconds. Names (zones, kinds, classes, tenants) do not appear:
// events carry positions in the lists of the settings.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "dispatch/actions.hpp"
#include "dispatch/endpoint.hpp"
#include "dispatch/events.hpp"
#include "dispatch/settings.hpp"
#include "dispatch/types.hpp"

namespace dispatch {

/// Decides which message is sent where and when. Not safe for use by several threads at once.
class Dispatcher {
 public:
  /// Throws std::invalid_argument where the settings make no sense.
  Dispatcher(const Settings& settings, std::uint64_t seed);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;
  Dispatcher(Dispatcher&&) noexcept;
  Dispatcher& operator=(Dispatcher&&) noexcept;

  /// One round: all events happen at `now` (which never goes back); the actions take effect at `now`,
  /// in order. `actions` is appended to.
  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions);

  /// What is known of endpoints and destinations, Retry-After included, as text for
  /// event::LearnedStateRestored.
  std::string learned_state() const;

  /// How many listed endpoints get no ordinary traffic now: suspended by operators, or ejected.
  std::size_t ejected_endpoint_count() const;

  /// How many endpoints, destinations, messages, order keys and calls are kept: a gauge of memory.
  std::size_t tracked_object_count() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace dispatch
