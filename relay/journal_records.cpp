#include "journal_records.hpp"

#include <boost/crc.hpp>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "binary_format.hpp"

namespace message_relay {
namespace {

// The first byte of a payload. The letters are part of the stored format and must never change: earlier
// builds wrote their records with them.
enum class RecordKind : char {
  message = 'T',
  message_keys = 'K',
  attempt = 'S',
  outcome = 'O',
  final_answer = 'E',
  completed = 'X',
  suspension = 'H',
  destination_limit = 'L',
  destination_demand = 'D',
};

constexpr std::size_t kChecksumOffset = 4;  // in the frame header, in bytes

BinaryWriter begin_record(RecordKind kind, MessageId id) {
  BinaryWriter writer;
  writer.number(kind).number(id);
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

std::string encode_keys(MessageId id, const Message& message) {
  return frame(begin_record(RecordKind::message_keys, id)
                   .text(message.idempotency_key)
                   .text(message.order_key)
                   .payload());
}

std::string encode_without_keys(MessageId id, const Message& message) {
  return frame(begin_record(RecordKind::message, id)
                   .text(message.id)
                   .text(message.message_class)
                   .text(message.tenant)
                   .number(message.destination)
                   .number(message.deadline)
                   .number(message.resubmitted)
                   .text(message.body)
                   .payload());
}

MessageRecord decode_message(MessageId id, BinaryReader& reader) {
  MessageRecord record;
  record.id = id;
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

MessageKeysRecord decode_keys(MessageId id, BinaryReader& reader) {
  MessageKeysRecord record;
  record.id = id;
  record.idempotency_key = reader.text();
  record.order_key = reader.text();
  return record;
}

AttemptRecord decode_attempt(MessageId id, BinaryReader& reader) {
  AttemptRecord record;
  record.id = id;
  record.sent_at = reader.number<Time>();
  record.zone = reader.number<std::int32_t>();
  return record;
}

OutcomeRecord decode_outcome(MessageId id, BinaryReader& reader) {
  OutcomeRecord record;
  record.id = id;
  record.attempt = reader.number<std::int32_t>();
  record.outcome = static_cast<Outcome>(reader.number<char>());
  return record;
}

FinalAnswerRecord decode_final_answer(MessageId id, BinaryReader& reader) {
  FinalAnswerRecord record;
  record.id = id;
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

DestinationLimitRecord decode_destination_limit(BinaryReader& reader) {
  DestinationLimitRecord record;
  record.destination = reader.number<std::int64_t>();
  const bool limited = reader.number<bool>();
  record.state = limited ? DestinationLimitState::limited : DestinationLimitState::unlimited;
  return record;
}

DestinationDemandRecord decode_destination_demand(BinaryReader& reader) {
  DestinationDemandRecord record;
  record.destination = reader.number<std::int64_t>();
  record.demand = reader.number<double>();
  return record;
}

// Throws std::runtime_error if the payload is too short.
JournalRecord decode_fields(BinaryReader& reader) {
  const auto kind = reader.number<RecordKind>();
  const auto id = reader.number<MessageId>();
  switch (kind) {
    case RecordKind::message:
      return decode_message(id, reader);
    case RecordKind::message_keys:
      return decode_keys(id, reader);
    case RecordKind::attempt:
      return decode_attempt(id, reader);
    case RecordKind::outcome:
      return decode_outcome(id, reader);
    case RecordKind::final_answer:
      return decode_final_answer(id, reader);
    case RecordKind::completed:
      return CompletedRecord{id};
    case RecordKind::suspension:
      return decode_suspension(reader);
    case RecordKind::destination_limit:
      return decode_destination_limit(reader);
    case RecordKind::destination_demand:
      return decode_destination_demand(reader);
  }
  return UnknownRecord{};
}

}  // namespace

std::string encode_message(MessageId id, const Message& message) {
  std::string frames;
  if (has_keys(message)) frames = encode_keys(id, message);
  return frames + encode_without_keys(id, message);
}

std::string encode(const AttemptRecord& record) {
  return frame(begin_record(RecordKind::attempt, record.id)
                   .number(record.sent_at)
                   .number(static_cast<std::int32_t>(record.zone))
                   .payload());
}

std::string encode(const OutcomeRecord& record) {
  return frame(begin_record(RecordKind::outcome, record.id)
                   .number(static_cast<std::int32_t>(record.attempt))
                   .number(static_cast<char>(record.outcome))
                   .payload());
}

std::string encode(const FinalAnswerRecord& record) {
  return frame(begin_record(RecordKind::final_answer, record.id)
                   .number(record.final_answer.retryable)
                   .number(record.final_answer.retry_after)
                   .payload());
}

std::string encode(const CompletedRecord& record) {
  return frame(begin_record(RecordKind::completed, record.id).payload());
}

std::string encode(const SuspensionRecord& record) {
  return frame(
      begin_record(RecordKind::suspension, kNoMessage).text(record.endpoint).number(record.state).payload());
}

std::string encode(const DestinationLimitRecord& record) {
  return frame(begin_record(RecordKind::destination_limit, kNoMessage)
                   .number(record.destination)
                   .number(record.state)
                   .payload());
}

std::string encode(const DestinationDemandRecord& record) {
  return frame(begin_record(RecordKind::destination_demand, kNoMessage)
                   .number(record.destination)
                   .number(record.demand)
                   .payload());
}

std::string encode_all(MessageId id, const JournaledMessage& journaled) {
  std::string frames = encode_message(id, journaled.message);
  for (std::size_t i = 0; i < journaled.attempts.size(); i++) {
    const Attempt& attempt = journaled.attempts[i];
    frames += encode(AttemptRecord{id, attempt.sent_at, attempt.zone});
    if (attempt.outcome) frames += encode(OutcomeRecord{id, static_cast<int>(i), *attempt.outcome});
  }
  if (journaled.final_answer) frames += encode(FinalAnswerRecord{id, *journaled.final_answer});
  return frames;
}

std::uint64_t encoded_size(const Message& message) {
  constexpr std::uint64_t record_prefix = kFrameHeaderBytes + sizeof(RecordKind) + sizeof(MessageId);
  constexpr std::uint64_t text_length_bytes = sizeof(std::uint32_t);
  const std::uint64_t keys_record =
      has_keys(message)
          ? record_prefix + 2 * text_length_bytes + message.idempotency_key.size() + message.order_key.size()
          : 0;
  const std::uint64_t texts = 4 * text_length_bytes + message.id.size() + message.message_class.size() +
                              message.tenant.size() + message.body.size();
  return keys_record + record_prefix + texts + sizeof message.destination + sizeof message.deadline +
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
