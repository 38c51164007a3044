#include "journal.hpp"

#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <iterator>
#include <system_error>
#include <utility>
#include <variant>
#include <vector>

#include "journal_reader.hpp"

namespace message_relay {
namespace {

// Size of the frame of an AttemptRecord.
constexpr std::uint64_t kAttemptRecordBytes = 29;
// Size of the frame of an OutcomeRecord.
constexpr std::uint64_t kOutcomeRecordBytes = 22;
// At most, for the records of the final answer and the completion together.
constexpr std::uint64_t kFinalRecordsBytes = 64;
// Number of attempts for whose records each message reserves space.
constexpr std::uint64_t kReservedAttempts = 8;
// Reserved for each message in addition to its own record.
constexpr std::uint64_t kLaterRecordsBytes =
    kReservedAttempts * (kAttemptRecordBytes + kOutcomeRecordBytes) + kFinalRecordsBytes;

// Messages may reserve at most this percentage of the size limit.
constexpr std::uint64_t kMaxReservedPercent = 40;
// A compaction begins when the file exceeds this percentage of the size limit.
constexpr std::uint64_t kCompactionPercent = 50;
// Messages are accepted only if the files stay within this percentage of the size limit.
constexpr std::uint64_t kMaxFillPercent = 97;

// A step of a compaction ends with the message at which this number of bytes is reached.
constexpr std::size_t kCompactionStepBytes = std::size_t{128} * 1024;

// File sizes are rounded up to a multiple of this when disk space is computed.
constexpr std::uint64_t kDiskBlockBytes = 512;

std::uint64_t size_on_disk(std::uint64_t size) {
  return (size + kDiskBlockBytes - 1) / kDiskBlockBytes * kDiskBlockBytes;
}

std::string encode_limit(std::int64_t destination, const dispatch::DestinationLimit& limit) {
  return encode(DestinationLimitRecord{destination, DestinationLimitState::limited}) +
         encode(DestinationDemandRecord{destination, limit.demand});
}

}  // namespace

Journal::Journal(const std::string& folder, std::uint64_t limit_bytes)
    : path_(folder + "/journal"), compacted_path_(folder + "/journal.next"), limit_bytes_(limit_bytes) {
  // A process that was killed during a compaction leaves this file behind. It may be incomplete; the journal
  // itself is still complete.
  if (::unlink(compacted_path_.c_str()) != 0 && errno != ENOENT)
    throw std::system_error(errno, std::generic_category(), "journal: " + compacted_path_);
  file_ = JournalFile(path_, JournalFile::OpenMode::keep_content);
  recover();
}

// ---- Recovery ----

void Journal::recover() {
  const std::uint64_t stored_size = file_.stored_size();
  std::uint64_t intact_size = 0;
  JournalReader reader(file_);
  if (reader.read_header()) {
    intact_size = reader.position();
    while (auto record = reader.next()) {
      std::visit([this](auto& fields) { apply(std::move(fields)); }, *record);
      // Keys without the message that follows them are incomplete, too.
      if (!preceding_keys_) intact_size = reader.position();
    }
  }
  // A record that was being written when the process ended can be dropped: the step that it records was not
  // taken, since its commit had not returned.
  dropped_bytes_ = stored_size - intact_size;
  file_.truncate(intact_size);
  if (intact_size == 0) file_.append(std::string(kJournalHeader));
  compact_if_over_limit();
}

// The limit may have been lowered since the file was written. Steps of a compaction would not begin then, as
// both files together exceed the limit.
void Journal::compact_if_over_limit() {
  if (bytes_on_disk() <= limit_bytes_) return;
  try {
    begin_compaction();
    for (const auto& [id, message] : messages_) compacted_file_.append(encode_all(id, message));
    finish_compaction();
  } catch (const std::system_error&) {
    abandon_compaction();
  }
}

void Journal::apply(MessageRecord&& record) {
  JournaledMessage journaled;
  journaled.message = std::move(record.message);
  if (preceding_keys_ && preceding_keys_->id == record.id) {
    journaled.message.idempotency_key = std::move(preceding_keys_->idempotency_key);
    journaled.message.order_key = std::move(preceding_keys_->order_key);
  }
  preceding_keys_.reset();
  reserved_bytes_ += reserved_bytes(journaled.message);
  // Ids in a file are mostly ascending, so the end is the best hint for the insertion.
  messages_.insert_or_assign(messages_.end(), record.id, std::move(journaled));
}

void Journal::apply(MessageKeysRecord&& record) { preceding_keys_ = std::move(record); }

// The records below may belong to messages that are no longer in the file, because they were completed before
// it was compacted.
void Journal::apply(const AttemptRecord& record) {
  const auto entry = messages_.find(record.id);
  if (entry == messages_.end()) return;
  entry->second.attempts.push_back({record.sent_at, record.zone, std::nullopt});
}

void Journal::apply(const OutcomeRecord& record) {
  const auto entry = messages_.find(record.id);
  if (entry == messages_.end()) return;
  const auto attempt = static_cast<std::size_t>(record.attempt);
  if (attempt < entry->second.attempts.size()) entry->second.attempts[attempt].outcome = record.outcome;
}

void Journal::apply(const FinalAnswerRecord& record) {
  const auto entry = messages_.find(record.id);
  if (entry != messages_.end()) set_final_answer(entry->second, record.final_answer);
}

void Journal::apply(const CompletedRecord& record) {
  const auto entry = messages_.find(record.id);
  if (entry != messages_.end()) remove(entry);
}

void Journal::apply(const SuspensionRecord& record) { set_suspension(record.endpoint, record.state); }

void Journal::apply(const DestinationLimitRecord& record) {
  if (record.state == DestinationLimitState::limited)
    limited_destinations_.try_emplace(record.destination);
  else
    limited_destinations_.erase(record.destination);
}

void Journal::apply(const DestinationDemandRecord& record) {
  const auto limited = limited_destinations_.find(record.destination);
  if (limited != limited_destinations_.end()) limited->second.demand = record.demand;
}

// ---- In-memory state ----

void Journal::set_final_answer(JournaledMessage& message, const FinalAnswer& final_answer) {
  if (!message.final_answer) {
    final_answer_count_++;
    unanswered_by_connection_.remove(message.message.connection);
  }
  message.final_answer = final_answer;
}

bool Journal::set_suspension(const std::string& endpoint, SuspensionState state) {
  if (state == SuspensionState::suspended) return suspended_endpoints_.insert(endpoint).second;
  return suspended_endpoints_.erase(endpoint) > 0;
}

void Journal::remove(Messages::iterator entry) {
  reserved_bytes_ -= reserved_bytes(entry->second.message);
  if (entry->second.final_answer)
    final_answer_count_--;
  else
    unanswered_by_connection_.remove(entry->second.message.connection);
  messages_.erase(entry);
}

// ---- Capacity ----

// Computed from the field lengths without encoding, because it is called several times for each message, also
// while a large file is read.
std::uint64_t Journal::reserved_bytes(const Message& message) {
  return encoded_size(message) + kLaterRecordsBytes;
}

std::uint64_t Journal::bytes_on_disk() const {
  return size_on_disk(file_.size()) + size_on_disk(compacted_file_.size());
}

bool Journal::has_capacity_for(const Message& message, std::uint64_t other_reserved_bytes) const {
  const std::uint64_t additional = reserved_bytes(message) + other_reserved_bytes;
  if (reserved_bytes_ + additional > limit_bytes_ / 100 * kMaxReservedPercent) return false;
  // In the worst case a compaction has yet to copy all open messages, and new records go to both files.
  const std::uint64_t pending = pending_frames_.size() + compacted_pending_frames_.size();
  return bytes_on_disk() + pending + 2 * additional + reserved_bytes_ <= limit_bytes_ / 100 * kMaxFillPercent;
}

// ---- Writing ----

void Journal::queue_frames(MessageId id, const std::string& frames) {
  pending_frames_ += frames;
  if (compacted_file_.is_open() && id <= compacted_up_to_) compacted_pending_frames_ += frames;
}

void Journal::record_message(MessageId id, Message message) {
  queue_frames(id, encode_message(id, message));
  reserved_bytes_ += reserved_bytes(message);
  unanswered_by_connection_.add(message.connection);
  messages_[id].message = std::move(message);
}

void Journal::record_attempt(MessageId id, Time sent_at, int zone) {
  messages_.at(id).attempts.push_back({sent_at, zone, std::nullopt});
  queue_frames(id, encode(AttemptRecord{id, sent_at, zone}));
}

void Journal::record_outcome(MessageId id, int attempt, Outcome outcome) {
  messages_.at(id).attempts.at(static_cast<std::size_t>(attempt)).outcome = outcome;
  queue_frames(id, encode(OutcomeRecord{id, attempt, outcome}));
}

void Journal::record_final_answer(MessageId id, FinalAnswer final_answer) {
  set_final_answer(messages_.at(id), final_answer);
  queue_frames(id, encode(FinalAnswerRecord{id, final_answer}));
}

void Journal::record_completed(MessageId id) {
  const auto entry = messages_.find(id);
  if (entry == messages_.end()) return;
  queue_frames(id, encode(CompletedRecord{id}));
  remove(entry);
}

void Journal::record_suspension(const std::string& endpoint, SuspensionState state) {
  if (set_suspension(endpoint, state)) queue_frames(kNoMessage, encode(SuspensionRecord{endpoint, state}));
}

void Journal::record_limited_destinations(const dispatch::DestinationLimits& destinations) {
  if (destinations == limited_destinations_) return;
  for (const auto& [destination, limit] : limited_destinations_)
    if (!destinations.contains(destination))
      queue_frames(kNoMessage, encode(DestinationLimitRecord{destination, DestinationLimitState::unlimited}));
  for (const auto& [destination, limit] : destinations)
    if (!limited_destinations_.contains(destination))
      queue_frames(kNoMessage, encode_limit(destination, limit));
  limited_destinations_ = destinations;
}

bool Journal::commit() {
  if (pending_frames_.empty() && compacted_pending_frames_.empty()) return true;
  const std::uint64_t size_after = size_on_disk(file_.size() + pending_frames_.size()) +
                                   size_on_disk(compacted_file_.size() + compacted_pending_frames_.size());
  if (size_after > limit_bytes_) return false;
  try {
    if (!pending_frames_.empty()) file_.append(pending_frames_);
    pending_frames_.clear();
    if (!compacted_pending_frames_.empty()) compacted_file_.append(compacted_pending_frames_);
    compacted_pending_frames_.clear();
  } catch (const std::system_error&) {
    return false;
  }
  return true;
}

bool Journal::consolidate() {
  if (!commit()) return false;
  abandon_compaction();
  return true;
}

// ---- Compaction ----

bool Journal::needs_compaction() const {
  return compacted_file_.is_open() || file_.size() > limit_bytes_ / 100 * kCompactionPercent;
}

bool Journal::compact() {
  if (!commit()) return true;
  try {
    return compact_step();
  } catch (const std::system_error&) {
    // The compacted file cannot be written, for example because the disk is full. The current file is
    // complete and stays in use.
    abandon_compaction();
    return false;
  }
}

void Journal::begin_compaction() {
  compacted_file_ = JournalFile(compacted_path_, JournalFile::OpenMode::truncate);
  compacted_up_to_ = 0;
  std::string head(kJournalHeader);
  for (const auto& endpoint : suspended_endpoints_)
    head += encode(SuspensionRecord{endpoint, SuspensionState::suspended});
  for (const auto& [destination, limit] : limited_destinations_) head += encode_limit(destination, limit);
  compacted_file_.append(head);
}

bool Journal::compact_step() {
  if (!compacted_file_.is_open()) begin_compaction();
  std::string frames;
  auto entry = messages_.upper_bound(compacted_up_to_);
  for (; entry != messages_.end() && frames.size() < kCompactionStepBytes; ++entry) {
    frames += encode_all(entry->first, entry->second);
    compacted_up_to_ = entry->first;
  }
  if (size_on_disk(file_.size()) + size_on_disk(compacted_file_.size() + frames.size()) > limit_bytes_)
    throw std::system_error(ENOSPC, std::generic_category(), "journal: " + compacted_path_);
  compacted_file_.append(frames);
  if (entry != messages_.end()) return true;
  finish_compaction();
  return false;
}

void Journal::finish_compaction() {
  compacted_file_.rename_to(path_);
  file_ = std::exchange(compacted_file_, JournalFile());
}

void Journal::abandon_compaction() {
  if (compacted_file_.is_open()) {
    compacted_file_ = JournalFile();
    ::unlink(compacted_path_.c_str());
  }
  compacted_pending_frames_.clear();
}

}  // namespace message_relay
