// The plan of a decision round: side effects that are executed after their records are committed to the
// journal.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "delivery_client.hpp"
#include "ingress_server.hpp"

namespace message_relay {

// A response to a client that is sent when the plan is executed.
struct PendingResponse {
  // The message that the response accepts; empty if the response rejects or fails the message.
  std::optional<MessageId> accepted_message;
  ResponseCallback respond;
  ClientResponse response;
};

// A call that carries a batch of messages to one endpoint.
struct PlannedCall {
  EndpointId endpoint;
  std::vector<OutgoingMessage> messages;
  std::int64_t batch_bytes = 0;  // that the messages add to the body of the call
};

// All side effects of a round, in the order in which they are executed.
struct Plan {
  std::vector<PendingResponse> client_responses;
  std::vector<PlannedCall> calls;
  std::vector<MessageId> final_notices;  // messages whose recorded final answer is sent to the platform
};

}  // namespace message_relay
