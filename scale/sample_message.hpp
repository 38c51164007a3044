// Creates sample messages for measurements of the journal and the relay.
#pragma once

#include <cstdint>
#include <string>

#include "journal.hpp"

namespace scale_tool {

inline const std::string kMessageClass = "pay-and-order";
// A size limit for journals that no measurement reaches, in bytes.
constexpr std::uint64_t kUnlimitedBytes = 1'000'000'000'000;
// Large enough that the identifiers of all sample messages have the same number of digits.
constexpr std::uint64_t kFirstSampleId = 1'000'000'000'000'000;
constexpr std::int64_t kSampleTimeToDeadline = 3'600'000'000;  // microseconds

// Returns a message whose deadline is one hour from now and whose body has the given size.
inline message_relay::Message sample_message(message_relay::MessageId id, std::int64_t destination,
                                             std::int64_t body_bytes) {
  message_relay::Message message;
  message.id = std::to_string(kFirstSampleId + id);
  message.message_class = kMessageClass;
  message.destination = destination;
  message.deadline = message_relay::journal_now() + kSampleTimeToDeadline;
  message.body = std::string(static_cast<std::size_t>(body_bytes), 'x');
  return message;
}

}  // namespace scale_tool
