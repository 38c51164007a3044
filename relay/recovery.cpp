#include "recovery.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "arrival_event.hpp"

namespace message_relay {

namespace event = dispatch::event;

namespace {

using InFlightById = std::map<MessageId, event::CallInFlight>;

InFlightById index_by_message(const std::vector<InFlightCall>& calls) {
  InFlightById in_flight;
  for (std::size_t i = 0; i < calls.size(); i++)
    for (const OutgoingMessage& message : calls[i].messages)
      in_flight[message.id] = {calls[i].endpoint, i, message.attempt, calls[i].sent_at};
  return in_flight;
}

// Sets zone and send time of the first attempt that may have been executed, other than the one in flight.
void set_possible_execution(const std::vector<Attempt>& attempts, event::MessageRecovered& recovered) {
  for (std::size_t i = 0; i < attempts.size(); i++) {
    const bool is_in_flight = recovered.in_flight && static_cast<int>(i) == recovered.in_flight->attempt;
    if (is_in_flight || !attempts[i].may_have_executed()) continue;
    recovered.possible_execution_zone = attempts[i].zone;
    // Converted from journal time to steady time; the result may precede the start of the steady clock and be
    // negative.
    const Time elapsed = std::max<Time>(journal_now() - attempts[i].sent_at, 0);
    recovered.possible_execution_sent_at = steady_now() - elapsed;
    return;
  }
}

event::MessageRecovered to_recovered(MessageId id, const JournaledMessage& journaled,
                                     const configuration::SettingNames& names,
                                     const InFlightById& in_flight) {
  event::MessageRecovered recovered;
  recovered.message = to_arrival(id, journaled.message, names);
  recovered.attempts_made = static_cast<int>(journaled.attempts.size());
  if (const auto call = in_flight.find(id); call != in_flight.end()) recovered.in_flight = call->second;
  set_possible_execution(journaled.attempts, recovered);
  return recovered;
}

}  // namespace

RecoveredMessages recover_messages(const Journal& journal, const configuration::SettingNames& names,
                                   const std::vector<InFlightCall>& calls, EventQueue& events) {
  const InFlightById in_flight = index_by_message(calls);
  RecoveredMessages result;
  for (const auto& [id, journaled] : journal.messages()) {
    if (journaled.final_answer)
      result.awaiting_notice.push_back(id);
    else if (!names.classes.contains(journaled.message.message_class))
      result.unknown_class.push_back(id);
    else
      events.add_without_round(to_recovered(id, journaled, names, in_flight));
  }
  return result;
}

}  // namespace message_relay
