// The records of the journal and their stored format. Encodes and decodes only; reads and writes no files.
//
// A journal file is a header line, followed by frames. A frame is the length of its payload and the payload's
// CRC-32 (4 bytes each), followed by the payload: the kind of the record (1 byte), the id of its message (8
// bytes; 0 if the record concerns no message), the fields. Integers are little-endian; a string is its length
// (4 bytes) followed by its bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "message.hpp"

namespace message_relay {

// The header line. It has the program's former name, because journals written by earlier builds begin with it
// and must stay readable. It must never change.
inline constexpr std::string_view kJournalHeader = "heronvane journal 1\n";

inline constexpr std::size_t kFrameHeaderBytes = 8;
// A frame with a longer payload is damaged.
inline constexpr std::uint32_t kMaxPayloadBytes = 1 << 20;

// The message id in records that concern no message.
inline constexpr MessageId kNoMessage = 0;

// Whether operators have suspended an endpoint. The values are part of the stored format.
enum class SuspensionState : bool { restored = false, suspended = true };

// A message was accepted.
struct MessageRecord {
  MessageId id = 0;
  Message message;  // idempotency_key and order_key are not set
};
// The keys of the message whose record follows. They have a record of their own because earlier builds read
// the message's record in its original format. They come first so that a file truncated between the two
// records does not contain the message without its keys.
struct MessageKeysRecord {
  MessageId id = 0;
  std::string idempotency_key;
  std::string order_key;
};
// An attempt was started. The attempts of a message are numbered from 0, in the order of their records.
struct AttemptRecord {
  MessageId id = 0;
  Time sent_at = 0;  // journal time, microseconds
  int zone = -1;     // zone of the endpoint; -1: unknown
};
// An attempt ended.
struct OutcomeRecord {
  MessageId id = 0;
  int attempt = 0;
  Outcome outcome = Outcome::succeeded;
};
// A message got its final answer without being delivered. The platform must be notified.
struct FinalAnswerRecord {
  MessageId id = 0;
  FinalAnswer final_answer;
};
// A message was completed; the relay drops it.
struct CompletedRecord {
  MessageId id = 0;
};
// Operators suspended or restored an endpoint.
struct SuspensionRecord {
  std::string endpoint;
  SuspensionState state = SuspensionState::restored;
};
// Whether the relay limits the calls to a destination that may be returning from an outage. The values are
// part of the stored format.
enum class DestinationLimitState : bool { unlimited = false, limited = true };

// The relay began or ended to limit the calls to a destination.
struct DestinationLimitRecord {
  std::int64_t destination = 0;
  DestinationLimitState state = DestinationLimitState::unlimited;
};
// The demand at a destination when the relay began to limit its calls. It follows the record of that limit,
// in a record of its own, because earlier builds read the record of the limit in its original format.
struct DestinationDemandRecord {
  std::int64_t destination = 0;
  double demand = 0;  // messages per second of this relay
};
// A record of a kind that this build does not know. Readers skip it.
struct UnknownRecord {};

using JournalRecord = std::variant<MessageRecord, MessageKeysRecord, AttemptRecord, OutcomeRecord,
                                   FinalAnswerRecord, CompletedRecord, SuspensionRecord,
                                   DestinationLimitRecord, DestinationDemandRecord, UnknownRecord>;

// Each returns the frame of one record. encode_message() also returns the frame of the keys, in front of the
// message's own, if the message has any.
[[nodiscard]] std::string encode_message(MessageId id, const Message& message);
[[nodiscard]] std::string encode(const AttemptRecord& record);
[[nodiscard]] std::string encode(const OutcomeRecord& record);
[[nodiscard]] std::string encode(const FinalAnswerRecord& record);
[[nodiscard]] std::string encode(const CompletedRecord& record);
[[nodiscard]] std::string encode(const SuspensionRecord& record);
[[nodiscard]] std::string encode(const DestinationLimitRecord& record);
[[nodiscard]] std::string encode(const DestinationDemandRecord& record);

// The frames of all records of a message that is not completed.
[[nodiscard]] std::string encode_all(MessageId id, const JournaledMessage& journaled);

// The length of the result of encode_message() in bytes, computed without encoding.
[[nodiscard]] std::uint64_t encoded_size(const Message& message);

// The header of a frame. The payload is intact if it has this size and checksum.
struct FrameHeader {
  std::uint32_t payload_size = 0;
  std::uint32_t checksum = 0;
};
// `bytes` must have at least kFrameHeaderBytes.
[[nodiscard]] FrameHeader decode_frame_header(std::string_view bytes);
// CRC-32.
[[nodiscard]] std::uint32_t checksum_of(std::string_view payload);

// The record in a payload; nothing if the payload is too short for its kind.
[[nodiscard]] std::optional<JournalRecord> decode(std::string_view payload);

}  // namespace message_relay
