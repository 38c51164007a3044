// Translates a message of the journal into the dispatcher's terms.
#pragma once

#include "dispatch/dispatcher.hpp"
#include "journal.hpp"
#include "settings_reader.hpp"

namespace message_relay {

// The class of `message` must be one of `names`: std::out_of_range otherwise.
[[nodiscard]] dispatch::event::Arrival to_arrival(MessageId id, const Message& message,
                                                  const configuration::SettingNames& names);

}  // namespace message_relay
