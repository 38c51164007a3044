// Messages as the journal holds them.
#pragma once

#include <cstdint>
#include <string>

#include "journal.hpp"

namespace scale_tool {

inline const std::string kClass = "pay-and-order";
constexpr std::uint64_t kNoLimit = 1'000'000'000'000;  // bytes of a journal: never reached

inline message_relay::Message stored(message_relay::MessageId id, std::int64_t destination,
                                     std::int64_t body_bytes) {
  message_relay::Message m;
  m.id = std::to_string(1'000'000'000'000'000 + id);
  m.message_class = kClass;
  m.destination = destination;
  m.deadline = message_relay::wall_now() + 3'600'000'000;
  m.body = std::string(static_cast<std::size_t>(body_bytes), 'x');
  return m;
}

}  // namespace scale_tool
