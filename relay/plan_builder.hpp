// Builds the plan of one decision round, and adds the records that must stand before it is carried out.
#pragma once

#include <map>

#include "endpoint_directory.hpp"
#include "journal.hpp"
#include "message_registry.hpp"
#include "plan.hpp"

namespace message_relay {

class PlanBuilder {
 public:
  // `now` is the time of the round.
  PlanBuilder(Journal& journal, MessageRegistry& registry, const EndpointDirectory& directory,
              const dispatch::Settings& settings, Time now);

  // A message taken on in this round: its client is told so unless the round rejects it.
  void await_decision(MessageId id, ResponseCallback respond);

  // Sends of one round to one endpoint share calls, up to the batch size of its kind.
  void send(const dispatch::action::Send& send);

  // Ends a message without a delivery: by the response where its client still waits for it, else by a notice.
  void give_up(MessageId id, const FinalAnswer& answer);

  // Accepts the messages that still wait for a decision.
  [[nodiscard]] Plan finish() &&;

 private:
  [[nodiscard]] OutgoingMessage outgoing_message(const dispatch::action::Send& send,
                                                 const JournaledMessage& journaled) const;
  [[nodiscard]] std::size_t max_batch_size(const dispatch::Endpoint* endpoint) const;
  void add_to_call(const EndpointId& endpoint, std::size_t max_messages, OutgoingMessage message);

  Journal& journal_;
  MessageRegistry& registry_;
  const EndpointDirectory& directory_;
  const dispatch::Settings& settings_;
  Time now_;
  Plan plan_;
  std::map<MessageId, ResponseCallback> undecided_;
};

}  // namespace message_relay
