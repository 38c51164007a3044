#include "attempt_result.hpp"

#include <rapidjson/document.h>

namespace message_relay {

std::optional<BatchStates> read_batch_states(const std::string& body) {
  rapidjson::Document document;
  // The recursive parser would exhaust the stack on input with thousands of opening brackets.
  document.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
  if (document.HasParseError() || !document.IsArray()) return std::nullopt;
  BatchStates states;
  for (const auto& entry : document.GetArray()) {
    if (!entry.IsObject()) continue;
    const auto id = entry.FindMember("id");
    const auto state = entry.FindMember("state");
    if (id == entry.MemberEnd() || state == entry.MemberEnd()) continue;
    if (id->value.IsString() && state->value.IsString())
      states[id->value.GetString()] = state->value.GetString();
  }
  return states;
}

AttemptResult result_of_batch_state(const std::string& state) {
  if (state == "done") return {.outcome = Outcome::succeeded, .message_settled = true};
  if (state == "busy") return {Outcome::rejected};
  if (state == "void") return {.outcome = Outcome::not_sent, .message_settled = true};
  if (state == "used_up") return {Outcome::not_sent};
  // The state is "failed", unknown or missing from the response: the endpoint may have processed the message.
  return {Outcome::error};
}

}  // namespace message_relay
