// The HTTP request that delivers messages to an endpoint.
#pragma once

#include <cstddef>
#include <limits>
#include <string>
#include <vector>

#include "clock.hpp"
#include "dispatch/dispatcher.hpp"

namespace message_relay {

using dispatch::MessageId;

// A message with the parameters of one delivery attempt. Times are in microseconds.
struct OutgoingMessage {
  MessageId id = 0;
  int attempt = 0;
  Time timeout = 0;  // counted from the start of the call
  std::string client_id;
  std::string body;
  std::string idempotency_key = {};       // empty if the message has none
  Time time_to_deadline = 3'600'000'000;  // the message is given up then, whether delivered or not
  bool repeatable = true;                 // the message may be sent again although it may have been executed
  // Steady time. If writing the request has not started by then, the message is not sent.
  Time start_by = std::numeric_limits<Time>::max();
};

// The number of bytes that a message adds to the body of a call with several messages, at most.
[[nodiscard]] std::size_t batch_entry_bytes(std::size_t id_bytes, std::size_t key_bytes,
                                            std::size_t body_bytes);

// Returns the bytes of the request: a single message as its body, several as a JSON array. Takes the bodies
// out of the messages, of which there must be at least one.
[[nodiscard]] std::string encode_delivery_request(const std::vector<OutgoingMessage*>& messages);

}  // namespace message_relay
