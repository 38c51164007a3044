// What a decision round decided: side effects that wait until their records stand in the journal.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "delivery_client.hpp"
#include "ingress_server.hpp"

namespace message_relay {

struct PendingAnswer {
  // The open message that the answer accepts; none where the answer rejects it.
  std::optional<MessageId> accepted;
  ResponseCallback respond;
  ClientResponse response;
};

// Messages that travel in one call.
struct PlannedCall {
  EndpointId endpoint;
  std::vector<OutgoingMessage> messages;
};

struct Plan {
  std::vector<PendingAnswer> answers;
  std::vector<PlannedCall> calls;
  std::vector<MessageId> final_notices;  // messages whose final answer is recorded
};

}  // namespace message_relay
