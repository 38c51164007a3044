// Keeps the calls in flight between relays and destinations.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "dispatch/dispatcher.hpp"
#include "simulation/destination.hpp"
#include "simulation/endpoint_directory.hpp"
#include "simulation/virtual_time.hpp"

namespace scale_tool::simulation {

using CallNumber = std::uint64_t;

// One attempt to deliver a message.
struct Call {
  RelayIndex relay = 0;
  int incarnation = 0;  // of the relay when it sent the call
  EndpointIndex endpoint = 0;
  dispatch::MessageId message = 0;
  int attempt = 0;  // 0 for the first attempt of the message
  Time sent_at = 0;
};

// Holds the calls in flight by number, with their replies.
// Invariant: a reply is kept only while its call is in flight.
class CallTable {
 public:
  // Adds a call that is now in flight and returns its number.
  [[nodiscard]] CallNumber open(const Call& call);
  // Removes a call that has ended, with its reply, and returns it. Returns nothing if it had already ended.
  [[nodiscard]] std::optional<Call> close(CallNumber number);
  // Returns null if the call has ended.
  [[nodiscard]] const Call* find(CallNumber number) const;
  // Returns nothing if the attempt is not in flight.
  [[nodiscard]] std::optional<CallNumber> find_attempt(RelayIndex relay, dispatch::MessageId message,
                                                       int attempt) const;

  // Stores the reply to a call in flight until it arrives at the relay.
  void set_reply(CallNumber number, const CallReply& reply);
  // Returns nothing if there is no reply to the call.
  [[nodiscard]] std::optional<CallReply> reply(CallNumber number) const;
  // Discards the replies from this destination that have not arrived yet. Their calls stay in flight.
  void drop_replies(DestinationIndex destination, const EndpointDirectory& endpoints);

 private:
  CallNumber next_number_ = 1;
  std::unordered_map<CallNumber, Call> calls_;
  std::unordered_map<CallNumber, CallReply> replies_;
};

}  // namespace scale_tool::simulation
