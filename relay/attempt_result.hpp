// The result of one attempt to deliver a message.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "dispatch/dispatcher.hpp"

namespace message_relay {

using dispatch::Outcome;

struct AttemptResult {
  Outcome outcome = Outcome::succeeded;
  bool message_settled = false;  // no further attempt may follow
};

// The states of the messages of a batch in the body of its response, by client id.
using BatchStates = std::map<std::string, std::string>;

// Returns nothing if the body is not a JSON array.
[[nodiscard]] std::optional<BatchStates> read_batch_states(const std::string& body);

// Returns the result of a message with this state. The state is empty if the response does not name it.
[[nodiscard]] AttemptResult result_of_batch_state(const std::string& state);

}  // namespace message_relay
