#include "plan_builder.hpp"

#include <algorithm>
#include <utility>

#include "client_responses.hpp"
#include "message_class.hpp"

namespace message_relay {

namespace {

constexpr int kUnknownZone = -1;  // recorded for an endpoint that is no longer listed

ClientResponse response_for(const FinalAnswer& answer) {
  return answer.retryable ? ClientResponse{503, answer.retry_after} : kFailed;
}

}  // namespace

PlanBuilder::PlanBuilder(Journal& journal, MessageRegistry& registry, const EndpointDirectory& directory,
                         const dispatch::Settings& settings, const configuration::SettingNames& names,
                         Time now)
    : journal_(journal),
      registry_(registry),
      directory_(directory),
      settings_(settings),
      names_(names),
      now_(now) {}

void PlanBuilder::defer_response(MessageId id, ResponseCallback respond) {
  deferred_responses_[id] = std::move(respond);
}

void PlanBuilder::send(const dispatch::action::Send& send) {
  const auto entry = journal_.messages().find(send.id);
  if (entry == journal_.messages().end() || entry->second.final_answer) return;
  const dispatch::Endpoint* endpoint = directory_.find(send.endpoint);
  OutgoingMessage message = outgoing_message(send, entry->second);
  journal_.record_attempt(send.id, journal_now(), endpoint == nullptr ? kUnknownZone : endpoint->zone);
  add_to_call(send.endpoint, max_batch_size(endpoint), std::move(message));
}

OutgoingMessage PlanBuilder::outgoing_message(const dispatch::action::Send& send,
                                              const JournaledMessage& journaled) const {
  const Message& message = journaled.message;
  OutgoingMessage outgoing;
  outgoing.id = send.id;
  outgoing.attempt = static_cast<int>(journaled.attempts.size());
  outgoing.timeout = send.timeout;
  outgoing.client_id = message.id;
  outgoing.body = message.body;
  outgoing.idempotency_key = message.idempotency_key;
  outgoing.time_to_deadline = message.deadline - journal_now() - 2 * settings_.min_round_interval;
  outgoing.repeatable = is_repeatable(message, settings_, names_);
  if (send.start_within > 0) outgoing.start_by = now_ + send.start_within;
  return outgoing;
}

std::size_t PlanBuilder::max_batch_size(const dispatch::Endpoint* endpoint) const {
  const auto kind = endpoint == nullptr ? std::size_t{0} : static_cast<std::size_t>(endpoint->kind);
  return kind < settings_.kinds.size() ? static_cast<std::size_t>(settings_.kinds[kind].max_batch_size) : 1;
}

void PlanBuilder::add_to_call(const EndpointId& endpoint, std::size_t max_messages, OutgoingMessage message) {
  const auto bytes = static_cast<std::int64_t>(
      batch_entry_bytes(message.client_id.size(), message.idempotency_key.size(), message.body.size()));
  auto call = std::find_if(plan_.calls.begin(), plan_.calls.end(), [&](const PlannedCall& planned) {
    return planned.endpoint == endpoint && planned.messages.size() < max_messages &&
           planned.batch_bytes + bytes <= settings_.max_batch_bytes;
  });
  if (call == plan_.calls.end())
    call = plan_.calls.insert(call, PlannedCall{.endpoint = endpoint, .messages = {}});
  call->messages.push_back(std::move(message));
  call->batch_bytes += bytes;
}

void PlanBuilder::end_without_delivery(MessageId id, const FinalAnswer& answer) {
  const auto entry = journal_.messages().find(id);
  if (entry == journal_.messages().end() || entry->second.final_answer) return;
  if (auto deferred = deferred_responses_.extract(id)) {
    plan_.client_responses.push_back({std::nullopt, std::move(deferred.mapped()), response_for(answer)});
    registry_.complete(id, completion_of(answer), AdmissionResult::rejected);
    return;
  }
  journal_.record_final_answer(id, answer);
  plan_.final_notices.push_back(id);
}

Plan PlanBuilder::finish() && {
  for (auto& [id, respond] : deferred_responses_)
    plan_.client_responses.push_back({id, std::move(respond), kAccepted});
  deferred_responses_.clear();
  return std::move(plan_);
}

}  // namespace message_relay
