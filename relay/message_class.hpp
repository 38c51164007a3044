// What the settings say about the class of a message.
#pragma once

#include "dispatch/settings.hpp"
#include "message.hpp"
#include "settings_reader.hpp"

namespace message_relay {

// Whether the message may be sent again although it may have been executed. A message of an unknown class,
// from a journal that was written with other settings, may not.
[[nodiscard]] inline bool is_repeatable(const Message& message, const dispatch::Settings& settings,
                                        const configuration::SettingNames& names) {
  const auto entry = names.classes.find(message.message_class);
  if (entry == names.classes.end()) return false;
  const auto& message_class = settings.classes.at(static_cast<std::size_t>(entry->second));
  return message_class.idempotency != dispatch::Idempotency::none;
}

}  // namespace message_relay
