// The records of the journal and their stored format.
//
// A journal file is a header line, then frames. A frame is the length of its payload and the payload's CRC-32
// (4 bytes each), then the payload: the kind of the record (1 byte), the number of its message (8 bytes; 0
// where it concerns none), the fields. Integers are little-endian; a text is its length (4 bytes) and its
// bytes. No input or output here.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "message.hpp"

namespace message_relay {

// The header line. Journals written by earlier builds begin with it, under the program's former name, and
// must stay readable; it must never change.
inline constexpr std::string_view kJournalHeader = "heronvane journal 1\n";

inline constexpr std::size_t kFrameHeaderBytes = 8;
inline constexpr std::uint32_t kMaxPayloadBytes = 1 << 20;  // a longer one means that the frame is damaged

inline constexpr MessageId kNoMessage = 0;  // in records that concern no message

// What operators did with an endpoint.
enum class SuspensionState : bool { restored = false, suspended = true };

// A message was accepted.
struct MessageRecord {
  MessageId number = 0;
  Message message;  // without its keys
};
// The keys of the message whose record follows. They stand apart because earlier builds know the form of the
// message's own record; they come first so that a file cut off between the two does not hold the message.
struct MessageKeysRecord {
  MessageId number = 0;
  std::string idempotency_key;
  std::string order_key;
};
// An attempt was begun; the attempts of a message count from 0.
struct AttemptRecord {
  MessageId number = 0;
  Time sent_at = 0;  // wall time, microseconds
  int zone = -1;
};
// An attempt ended.
struct OutcomeRecord {
  MessageId number = 0;
  int attempt = 0;
  Outcome outcome = Outcome::succeeded;
};
// A message is not delivered; the platform must be notified.
struct FinalAnswerRecord {
  MessageId number = 0;
  FinalAnswer final_answer;
};
// Nothing more is to be done for a message.
struct CompletedRecord {
  MessageId number = 0;
};
// Operators suspended or restored an endpoint.
struct SuspensionRecord {
  std::string endpoint;
  SuspensionState state = SuspensionState::restored;
};
// A record of a kind that this build does not know; it is skipped.
struct UnknownRecord {};

using JournalRecord = std::variant<MessageRecord, MessageKeysRecord, AttemptRecord, OutcomeRecord,
                                   FinalAnswerRecord, CompletedRecord, SuspensionRecord, UnknownRecord>;

// Each returns the frame of one record; encode_message() that of the keys, too, where the message has any.
[[nodiscard]] std::string encode_message(MessageId number, const Message& message);
[[nodiscard]] std::string encode(const AttemptRecord& record);
[[nodiscard]] std::string encode(const OutcomeRecord& record);
[[nodiscard]] std::string encode(const FinalAnswerRecord& record);
[[nodiscard]] std::string encode(const CompletedRecord& record);
[[nodiscard]] std::string encode(const SuspensionRecord& record);

// All records of a message that is not completed.
[[nodiscard]] std::string encode_all(MessageId number, const JournaledMessage& journaled);

// The length of encode_message()'s result, without encoding.
[[nodiscard]] std::uint64_t encoded_size(const Message& message);

// A frame's header. The payload is intact if it has this size and checksum.
struct FrameHeader {
  std::uint32_t payload_size = 0;
  std::uint32_t checksum = 0;
};
// `bytes` holds kFrameHeaderBytes.
[[nodiscard]] FrameHeader decode_frame_header(std::string_view bytes);
[[nodiscard]] std::uint32_t checksum_of(std::string_view payload);

// The record in a payload; nothing where the payload is too short for its kind.
[[nodiscard]] std::optional<JournalRecord> decode(std::string_view payload);

}  // namespace message_relay
