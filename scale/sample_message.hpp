// Messages as the journal holds them, for measurements.
#pragma once

#include <cstdint>
#include <string>

#include "journal.hpp"

namespace scale_tool {

inline const std::string kMessageClass = "pay-and-order";
// A size limit that no journal reaches, in bytes.
constexpr std::uint64_t kUnlimitedBytes = 1'000'000'000'000;
// So large that the identifiers of all samples have the same length.
constexpr std::uint64_t kFirstSampleId = 1'000'000'000'000'000;
constexpr std::int64_t kSampleTimeToDeadline = 3'600'000'000;  // microseconds

// A message that may be delivered for an hour from now on.
inline message_relay::Message sample_message(message_relay::MessageId id, std::int64_t destination,
                                             std::int64_t body_bytes) {
  message_relay::Message message;
  message.id = std::to_string(kFirstSampleId + id);
  message.message_class = kMessageClass;
  message.destination = destination;
  message.deadline = message_relay::wall_now() + kSampleTimeToDeadline;
  message.body = std::string(static_cast<std::size_t>(body_bytes), 'x');
  return message;
}

}  // namespace scale_tool
