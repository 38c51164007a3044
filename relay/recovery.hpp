// Recovery: what the messages that the journal holds at the start of a process need.
#pragma once

#include <vector>

#include "delivery_client.hpp"
#include "event_queue.hpp"
#include "journal.hpp"
#include "settings_reader.hpp"

namespace message_relay {

// The messages that the dispatcher does not decide on, ordered by id.
struct RecoveredMessages {
  std::vector<MessageId> awaiting_notice;  // given up; the platform has not confirmed the final notice
  std::vector<MessageId> unknown_class;    // of classes that the settings no longer have
};

// Queues the journal's other messages for the dispatcher, ordered by id. `calls` are those in flight that
// another process handed over.
[[nodiscard]] RecoveredMessages recover_messages(const Journal& journal,
                                                 const configuration::SettingNames& names,
                                                 const std::vector<InFlightCall>& calls, EventQueue& events);

}  // namespace message_relay
