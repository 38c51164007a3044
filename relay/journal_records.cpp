#include "journal_records.hpp"

#include <boost/crc.hpp>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "binary_format.hpp"

namespace message_relay {
namespace {

// The first byte of a payload. The letters are those under which earlier builds wrote the records; they are
// part of the stored format and must never change.
enum class RecordKind : char {
  message = 'T',
  message_keys = 'K',
  attempt = 'S',
  outcome = 'O',
  final_answer = 'E',
  completed = 'X',
  suspension = 'H',
};

constexpr std::size_t kChecksumOffset = 4;

BinaryWriter begin_record(RecordKind kind, MessageId number) {
  BinaryWriter writer;
  writer.number(kind).number(number);
  return writer;
}

std::string frame(const std::string& payload) {
  const auto size = static_cast<std::uint32_t>(payload.size());
  const std::uint32_t checksum = checksum_of(payload);
  std::string framed(reinterpret_cast<const char*>(&size), sizeof size);
  framed.append(reinterpret_cast<const char*>(&checksum), sizeof checksum);
  return framed + payload;
}

bool has_keys(const Message& message) {
  return !message.idempotency_key.empty() || !message.order_key.empty();
}

std::string encode_keys(MessageId number, const Message& message) {
  return frame(begin_record(RecordKind::message_keys, number)
                   .text(message.idempotency_key)
                   .text(message.order_key)
                   .payload());
}

std::string encode_without_keys(MessageId number, const Message& message) {
  return frame(begin_record(RecordKind::message, number)
                   .text(message.id)
                   .text(message.message_class)
                   .text(message.tenant)
                   .number(message.destination)
                   .number(message.deadline)
                   .number(message.resubmitted)
                   .text(message.body)
                   .payload());
}

MessageRecord decode_message(MessageId number, BinaryReader& reader) {
  MessageRecord record;
  record.number = number;
  Message& message = record.message;
  message.id = reader.text();
  message.message_class = reader.text();
  message.tenant = reader.text();
  message.destination = reader.number<std::int64_t>();
  message.deadline = reader.number<Time>();
  message.resubmitted = reader.number<bool>();
  message.body = reader.text();
  return record;
}

MessageKeysRecord decode_keys(MessageId number, BinaryReader& reader) {
  MessageKeysRecord record;
  record.number = number;
  record.idempotency_key = reader.text();
  record.order_key = reader.text();
  return record;
}

AttemptRecord decode_attempt(MessageId number, BinaryReader& reader) {
  AttemptRecord record;
  record.number = number;
  record.sent_at = reader.number<Time>();
  record.zone = reader.number<std::int32_t>();
  return record;
}

OutcomeRecord decode_outcome(MessageId number, BinaryReader& reader) {
  OutcomeRecord record;
  record.number = number;
  record.attempt = reader.number<std::int32_t>();
  record.outcome = static_cast<Outcome>(reader.number<char>());
  return record;
}

FinalAnswerRecord decode_final_answer(MessageId number, BinaryReader& reader) {
  FinalAnswerRecord record;
  record.number = number;
  record.final_answer.retryable = reader.number<bool>();
  record.final_answer.retry_after = reader.number<Time>();
  return record;
}

SuspensionRecord decode_suspension(BinaryReader& reader) {
  SuspensionRecord record;
  record.endpoint = reader.text();
  const bool suspended = reader.number<bool>();
  record.state = suspended ? SuspensionState::suspended : SuspensionState::restored;
  return record;
}

// Throws std::runtime_error where the payload is too short.
JournalRecord decode_fields(BinaryReader& reader) {
  const auto kind = reader.number<RecordKind>();
  const auto number = reader.number<MessageId>();
  switch (kind) {
    case RecordKind::message:
      return decode_message(number, reader);
    case RecordKind::message_keys:
      return decode_keys(number, reader);
    case RecordKind::attempt:
      return decode_attempt(number, reader);
    case RecordKind::outcome:
      return decode_outcome(number, reader);
    case RecordKind::final_answer:
      return decode_final_answer(number, reader);
    case RecordKind::completed:
      return CompletedRecord{number};
    case RecordKind::suspension:
      return decode_suspension(reader);
  }
  return UnknownRecord{};
}

}  // namespace

std::string encode_message(MessageId number, const Message& message) {
  std::string frames;
  if (has_keys(message)) frames = encode_keys(number, message);
  return frames + encode_without_keys(number, message);
}

std::string encode(const AttemptRecord& record) {
  return frame(begin_record(RecordKind::attempt, record.number)
                   .number(record.sent_at)
                   .number(static_cast<std::int32_t>(record.zone))
                   .payload());
}

std::string encode(const OutcomeRecord& record) {
  return frame(begin_record(RecordKind::outcome, record.number)
                   .number(static_cast<std::int32_t>(record.attempt))
                   .number(static_cast<char>(record.outcome))
                   .payload());
}

std::string encode(const FinalAnswerRecord& record) {
  return frame(begin_record(RecordKind::final_answer, record.number)
                   .number(record.final_answer.retryable)
                   .number(record.final_answer.retry_after)
                   .payload());
}

std::string encode(const CompletedRecord& record) {
  return frame(begin_record(RecordKind::completed, record.number).payload());
}

std::string encode(const SuspensionRecord& record) {
  return frame(
      begin_record(RecordKind::suspension, kNoMessage).text(record.endpoint).number(record.state).payload());
}

std::string encode_all(MessageId number, const JournaledMessage& journaled) {
  std::string frames = encode_message(number, journaled.message);
  for (std::size_t i = 0; i < journaled.attempts.size(); i++) {
    const Attempt& attempt = journaled.attempts[i];
    frames += encode(AttemptRecord{number, attempt.sent_at, attempt.zone});
    if (attempt.outcome) frames += encode(OutcomeRecord{number, static_cast<int>(i), *attempt.outcome});
  }
  if (journaled.final_answer) frames += encode(FinalAnswerRecord{number, *journaled.final_answer});
  return frames;
}

std::uint64_t encoded_size(const Message& message) {
  constexpr std::uint64_t head = kFrameHeaderBytes + sizeof(RecordKind) + sizeof(MessageId);
  constexpr std::uint64_t text_length = sizeof(std::uint32_t);
  const std::uint64_t keys =
      has_keys(message) ? head + 2 * text_length + message.idempotency_key.size() + message.order_key.size()
                        : 0;
  const std::uint64_t texts = 4 * text_length + message.id.size() + message.message_class.size() +
                              message.tenant.size() + message.body.size();
  return keys + head + texts + sizeof message.destination + sizeof message.deadline +
         sizeof message.resubmitted;
}

FrameHeader decode_frame_header(std::string_view bytes) {
  FrameHeader header;
  std::memcpy(&header.payload_size, bytes.data(), sizeof header.payload_size);
  std::memcpy(&header.checksum, bytes.data() + kChecksumOffset, sizeof header.checksum);
  return header;
}

std::uint32_t checksum_of(std::string_view payload) {
  boost::crc_32_type crc;
  crc.process_bytes(payload.data(), payload.size());
  return crc.checksum();
}

std::optional<JournalRecord> decode(std::string_view payload) {
  BinaryReader reader(payload);
  try {
    return decode_fields(reader);
  } catch (const std::runtime_error&) {
    return std::nullopt;
  }
}

}  // namespace message_relay
