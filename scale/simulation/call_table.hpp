// The calls in flight between relays and destinations.
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

// An attempt to deliver a message.
struct Call {
  RelayIndex relay = 0;
  int incarnation = 0;  // of the relay
  EndpointIndex endpoint = 0;
  dispatch::MessageId message = 0;
  int attempt = 0;
  Time sent_at = 0;
};

// Invariant: replies are kept only for calls in flight.
class CallTable {
 public:
  // The call is in flight from now on.
  [[nodiscard]] CallNumber open(const Call& call);
  // The call has ended: takes it and its reply out. Nothing where it had ended before.
  [[nodiscard]] std::optional<Call> close(CallNumber number);
  // Null where the call has ended.
  [[nodiscard]] const Call* find(CallNumber number) const;
  [[nodiscard]] std::optional<CallNumber> find_attempt(RelayIndex relay, dispatch::MessageId message,
                                                       int attempt) const;

  // The reply to a call in flight is on its way back.
  void set_reply(CallNumber number, const CallReply& reply);
  // Nothing where the call has no reply.
  [[nodiscard]] std::optional<CallReply> reply(CallNumber number) const;
  // The replies that are on their way from the destination do not come any more.
  void drop_replies(DestinationIndex destination, const EndpointDirectory& endpoints);

 private:
  CallNumber next_number_ = 1;
  std::unordered_map<CallNumber, Call> calls_;
  std::unordered_map<CallNumber, CallReply> replies_;
};

}  // namespace scale_tool::simulation
