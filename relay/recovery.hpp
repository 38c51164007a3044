// Recovery: determines how the messages that are in the journal at startup continue.
#pragma once

#include <vector>

#include "delivery_client.hpp"
#include "event_queue.hpp"
#include "journal.hpp"
#include "settings_reader.hpp"

namespace message_relay {

// The messages that are not passed to the dispatcher, ordered by id.
struct RecoveredMessages {
  // Messages with a final answer whose notice the platform has not acknowledged.
  std::vector<MessageId> awaiting_notice;
  // Messages of classes that are no longer in the settings.
  std::vector<MessageId> unknown_class;
};

// Queues the other messages in the journal for the dispatcher, ordered by id. `calls` are the calls in flight
// that another process handed over.
[[nodiscard]] RecoveredMessages recover_messages(const Journal& journal,
                                                 const configuration::SettingNames& names,
                                                 const std::vector<InFlightCall>& calls, EventQueue& events);

}  // namespace message_relay
