#include "plan_executor.hpp"

#include <utility>

namespace message_relay {

PlanExecutor::PlanExecutor(const Journal& journal, const EndpointDirectory& directory,
                           DeliveryClient& delivery, Platform& platform, EventQueue& events)
    : journal_(journal), directory_(directory), delivery_(delivery), platform_(platform), events_(events) {}

void PlanExecutor::execute(Plan plan) {
  for (const PendingResponse& pending : plan.client_responses) pending.respond(pending.response);
  for (PlannedCall& call : plan.calls) start_call(std::move(call));
  for (const MessageId id : plan.final_notices) {
    const auto entry = journal_.messages().find(id);
    if (entry == journal_.messages().end()) continue;
    platform_.send_final_notice(id, entry->second.message.id, *entry->second.final_answer);
  }
}

void PlanExecutor::start_call(PlannedCall call) {
  drop_completed_messages(call);
  if (call.messages.empty()) return;
  const bool may_still_receive = may_receive(call.endpoint);
  delivery_.send(call.endpoint, std::move(call.messages));
  // The endpoint was suspended, or is no longer listed as active, since the call was planned, while the
  // journal could not be written. The call ends as Outcome::not_sent.
  if (!may_still_receive) delivery_.cancel_unsent(call.endpoint);
}

// A message may have been completed while its records could not be written, for example when its client was
// rejected. Its attempt ends as Outcome::not_sent.
void PlanExecutor::drop_completed_messages(PlannedCall& call) {
  std::erase_if(call.messages, [&](const OutgoingMessage& message) {
    if (journal_.messages().contains(message.id)) return false;
    dispatch::event::AttemptEnded ended;
    ended.id = message.id;
    ended.attempt = message.attempt;
    ended.endpoint = call.endpoint;
    ended.outcome = Outcome::not_sent;
    ended.message_settled = true;
    events_.add(std::move(ended));
    return true;
  });
}

bool PlanExecutor::may_receive(const EndpointId& endpoint) const {
  return !journal_.suspended_endpoints().contains(endpoint) && directory_.is_active(endpoint);
}

}  // namespace message_relay
