// Messages as the journal holds them, for measurements.
#pragma once

#include <cstdint>
#include <string>

#include "journal.hpp"

namespace scale_tool {

inline const std::string kMessageClass = "pay-and-order";
// A size limit that no journal reaches, in bytes.
constexpr std::uint64_t kUnlimitedBytes = 1'000'000'000'000;

// A message that may be delivered for an hour from now on.
inline message_relay::Message sample_message(message_relay::MessageId id, std::int64_t destination,
                                             std::int64_t body_bytes) {
  constexpr std::int64_t kTimeToDeadline = 3'600'000'000;    // microseconds
  constexpr std::uint64_t kFirstId = 1'000'000'000'000'000;  // so that all have the same length
  message_relay::Message message;
  message.id = std::to_string(kFirstId + id);
  message.message_class = kMessageClass;
  message.destination = destination;
  message.deadline = message_relay::wall_now() + kTimeToDeadline;
  message.body = std::string(static_cast<std::size_t>(body_bytes), 'x');
  return message;
}

}  // namespace scale_tool
