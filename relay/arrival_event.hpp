// Converts a message into the event that reports its arrival to the dispatcher.
#pragma once

#include "dispatch/dispatcher.hpp"
#include "journal.hpp"
#include "settings_reader.hpp"

namespace message_relay {

// Throws std::out_of_range if the class of `message` is not one of the classes in `names`.
[[nodiscard]] dispatch::event::Arrival to_arrival(MessageId id, const Message& message,
                                                  const configuration::SettingNames& names);

}  // namespace message_relay
