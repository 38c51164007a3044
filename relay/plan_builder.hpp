// Builds the plan of one decision round, and adds to the journal the records that must be committed before
// the plan is executed.
#pragma once

#include <map>

#include "endpoint_directory.hpp"
#include "journal.hpp"
#include "message_registry.hpp"
#include "plan.hpp"
#include "settings_reader.hpp"

namespace message_relay {

class PlanBuilder {
 public:
  // `now` is the steady time at which the round started. The references must outlive the builder.
  PlanBuilder(Journal& journal, MessageRegistry& registry, const EndpointDirectory& directory,
              const dispatch::Settings& settings, const configuration::SettingNames& names, Time now);

  // Defers the response to a message that was recorded in this round: finish() accepts the message unless
  // end_without_delivery() is called for it before.
  void defer_response(MessageId id, ResponseCallback respond);

  // Records an attempt and plans its call. The messages that a round sends to one endpoint are batched into
  // calls, up to the maximum batch size of the endpoint's kind. Does nothing for a message that is not in the
  // journal or that has a final answer.
  void send(const dispatch::action::Send& send);

  // Ends a message that was not delivered. A client whose response is still deferred gets the answer in that
  // response and the message is completed; otherwise the answer is recorded and the platform is notified.
  // Does nothing for a message that is not in the journal or that already has a final answer.
  void end_without_delivery(MessageId id, const FinalAnswer& answer);

  // Accepts the messages whose responses are still deferred, and returns the plan.
  [[nodiscard]] Plan finish() &&;

 private:
  [[nodiscard]] OutgoingMessage outgoing_message(const dispatch::action::Send& send,
                                                 const JournaledMessage& journaled) const;
  // Maximum number of messages in a call; 1 if the endpoint's kind is not in the settings. A null endpoint
  // (not listed) counts as kind 0.
  [[nodiscard]] std::size_t max_batch_size(const dispatch::Endpoint* endpoint) const;
  void add_to_call(const EndpointId& endpoint, std::size_t max_messages, OutgoingMessage message);

  Journal& journal_;
  MessageRegistry& registry_;
  const EndpointDirectory& directory_;
  const dispatch::Settings& settings_;
  const configuration::SettingNames& names_;
  Time now_;  // steady time
  Plan plan_;
  std::map<MessageId, ResponseCallback> deferred_responses_;
};

}  // namespace message_relay
