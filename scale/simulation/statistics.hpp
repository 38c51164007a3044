// Counts the messages and calls of the simulation.
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

// A hash of a sequence of numbers: FNV-1a on 64-bit words instead of bytes, with the initial value 0.
class Digest {
 public:
  void add(std::uint64_t value);
  [[nodiscard]] std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0;
};

// How a message ended.
enum class MessageResult { delivered, rejected, failed };

// Collects the counts of one simulation.
// Invariant: calls are counted only between the warm-up and the end of arrivals; the digest covers all calls
// and messages.
class Statistics {
 public:
  // `settings` must outlive this object.
  explicit Statistics(const FleetSettings& settings) : settings_(settings) {}

  // Returns whether a message that arrives now with the given deadline is counted.
  [[nodiscard]] bool counts_message(Time now, Time deadline) const;

  void record_call_sent(const Call& call);
  // Records that a destination rejected a call.
  void record_call_rejected(Time now);
  // Records the end of a call, even if its relay has been killed and does not observe the outcome.
  void record_call_end(Time now, dispatch::Outcome outcome);
  // Records that the relay which sent a call observed its outcome.
  void record_observed_outcome(Time now, dispatch::Outcome outcome);
  void record_message_end(Time now, dispatch::MessageId id, const JournaledMessage& message,
                          MessageResult result);

  // Returns the counts so far and the results that are read from the destinations at the end. Overruns of the
  // rate limits are included only if `has_restarted_relays`, because they are measured from the first restart
  // on.
  [[nodiscard]] FleetResult result(const std::vector<Destination>& destinations,
                                   bool has_restarted_relays) const;

 private:
  bool counts_calls(Time now) const;
  void add_destination(FleetResult& result, const Destination& destination, bool has_restarted_relays) const;

  const FleetSettings& settings_;
  FleetResult counts_;
  Digest digest_;
};

}  // namespace scale_tool::simulation
