// What the simulation counts of messages and calls.
#pragma once

#include <cstdint>
#include <vector>

#include "dispatch/dispatcher.hpp"
#include "fleet.hpp"
#include "simulation/call_table.hpp"
#include "simulation/destination.hpp"
#include "simulation/simulated_relay.hpp"
#include "simulation/virtual_time.hpp"

namespace scale_tool::simulation {

// A hash of numbers in order (FNV-1a on whole words, from 0).
class Digest {
 public:
  void add(std::uint64_t value);
  [[nodiscard]] std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0;
};

enum class MessageEnd { delivered, rejected, failed };

// Invariant: calls are counted only between the warm-up and the end; the digest is of all calls and messages.
class Statistics {
 public:
  // The settings must outlive this.
  explicit Statistics(const FleetSettings& settings) : settings_(settings) {}

  // Whether a message that arrives now with that deadline is counted.
  [[nodiscard]] bool counts_message(Time now, Time deadline) const;

  void call_sent(const Call& call);
  // A destination rejected a call.
  void call_rejected(Time now);
  // A call has ended, whether or not its relay is there to see it.
  void call_ended(Time now, dispatch::Outcome outcome);
  // The relay saw it.
  void outcome_seen(Time now, dispatch::Outcome outcome);
  void message_ended(Time now, dispatch::MessageId id, const JournaledMessage& message, MessageEnd end);

  // The counts so far, with what is read from the destinations at the end. `has_restart`: overruns of the
  // rate limits have been measured since a restart of relays.
  [[nodiscard]] FleetResult result(const std::vector<Destination>& destinations, bool has_restart) const;

 private:
  bool counts_calls(Time now) const;
  void add_destination(FleetResult& result, const Destination& destination, bool has_restart) const;

  const FleetSettings& settings_;
  FleetResult counts_;
  Digest digest_;
};

}  // namespace scale_tool::simulation
