#include "simulation/call_table.hpp"

#include <algorithm>

namespace scale_tool::simulation {

CallNumber CallTable::open(const Call& call) {
  const CallNumber number = next_number_++;
  calls_.emplace(number, call);
  return number;
}

std::optional<Call> CallTable::close(CallNumber number) {
  const auto found = calls_.find(number);
  if (found == calls_.end()) return std::nullopt;
  const Call call = found->second;
  calls_.erase(found);
  replies_.erase(number);
  return call;
}

const Call* CallTable::find(CallNumber number) const {
  const auto found = calls_.find(number);
  return found == calls_.end() ? nullptr : &found->second;
}

std::optional<CallNumber> CallTable::find_attempt(RelayIndex relay, dispatch::MessageId message,
                                                  int attempt) const {
  const auto found = std::find_if(calls_.begin(), calls_.end(), [&](const auto& entry) {
    const Call& call = entry.second;
    return call.relay == relay && call.message == message && call.attempt == attempt;
  });
  return found == calls_.end() ? std::nullopt : std::optional(found->first);
}

void CallTable::set_reply(CallNumber number, const CallReply& reply) {
  replies_.insert_or_assign(number, reply);
}

std::optional<CallReply> CallTable::reply(CallNumber number) const {
  const auto found = replies_.find(number);
  return found == replies_.end() ? std::nullopt : std::optional(found->second);
}

void CallTable::drop_replies(DestinationIndex destination, const EndpointDirectory& endpoints) {
  std::erase_if(replies_, [&](const auto& entry) {
    const Call& call = calls_.at(entry.first);
    return endpoints.at(call.endpoint).destination == destination;
  });
}

}  // namespace scale_tool::simulation
