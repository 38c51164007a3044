// The dispatcher: decides which message a relay sends to which endpoint, and when.
//
// A relay passes each event that it observes to one Dispatcher and carries out the actions that handle()
// returns; one call of handle() is one round. The dispatcher never blocks, performs no input or output, reads
// no clock and has no state outside the instance: equal settings, seed and events give equal actions.
//
// All times and durations are in microseconds. Zones, kinds, classes and tenants are referred to by their
// indexes in the lists of the settings, not by their names.
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

/// Decides which message is sent where and when. Not thread-safe.
class Dispatcher {
 public:
  /// Throws std::invalid_argument, naming the setting, on settings that validate() does not accept.
  Dispatcher(const Settings& settings, std::uint64_t seed);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;
  Dispatcher(Dispatcher&&) noexcept;
  Dispatcher& operator=(Dispatcher&&) noexcept;

  /// Runs one round: processes all events as of `now`, which must not decrease between rounds, and appends
  /// the actions to `actions`. The actions take effect at `now`, in their order.
  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions);

  /// Everything learned about endpoints and destinations, including Retry-After, as text for
  /// event::LearnedStateRestored.
  std::string learned_state() const;

  /// The number of listed endpoints that currently get no ordinary traffic, because operators suspended them
  /// or because they are ejected.
  std::size_t excluded_endpoint_count() const;

  /// The destinations to which calls are limited because they may be returning from an outage. A destination
  /// may stay for a second after the limit has ended.
  const DestinationLimits& limited_destinations() const;

  /// The number of endpoints, destinations, suspensions, messages, order keys, quiet periods of order keys
  /// and calls that the dispatcher stores. A gauge of its memory.
  std::size_t tracked_object_count() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace dispatch
