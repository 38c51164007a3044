#include "journal.hpp"

#include <unistd.h>

#include <cerrno>
#include <system_error>
#include <utility>
#include <variant>

#include "journal_reader.hpp"

namespace message_relay {
namespace {

// Reserved with each message for its later records: eight attempts with their outcomes (29 and 22 bytes), the
// final answer and the completion.
constexpr std::uint64_t kLaterRecordsBytes = 8 * (29 + 22) + 64;

// Percentages of the limit: what messages may reserve; from where on the journal is compacted; up to where
// messages are accepted.
constexpr std::uint64_t kMaxReservedPercent = 40;
constexpr std::uint64_t kCompactionPercent = 50;
constexpr std::uint64_t kMaxFillPercent = 97;

// A step of a compaction copies so much, and one message more.
constexpr std::size_t kCompactionStepBytes = std::size_t{128} * 1024;

constexpr std::uint64_t kDiskBlockBytes = 512;

std::uint64_t size_on_disk(std::uint64_t size) {
  return (size + kDiskBlockBytes - 1) / kDiskBlockBytes * kDiskBlockBytes;
}

}  // namespace

Journal::Journal(const std::string& folder, std::uint64_t limit_bytes)
    : path_(folder + "/journal"), compacted_path_(folder + "/journal.next"), limit_bytes_(limit_bytes) {
  // Left by a process that was killed during a compaction: the first file is still complete.
  if (::unlink(compacted_path_.c_str()) != 0 && errno != ENOENT)
    throw std::system_error(errno, std::generic_category(), "journal: " + compacted_path_);
  file_ = JournalFile(path_, JournalFile::OpenMode::keep_content);
  recover();
}

// ---- Reading. ----

void Journal::recover() {
  const std::uint64_t stored_size = file_.stored_size();
  std::uint64_t intact_size = 0;
  JournalReader reader(file_);
  if (reader.read_header()) {
    intact_size = reader.position();
    while (auto record = reader.next()) {
      std::visit([this](auto& fields) { apply(std::move(fields)); }, *record);
      // Keys without their message are incomplete, too.
      if (!keys_of_next_) intact_size = reader.position();
    }
  }
  // Nothing was done yet on the strength of a record that was being written when the process ended.
  dropped_bytes_ = stored_size - intact_size;
  file_.truncate(intact_size);
  if (intact_size == 0) file_.append(std::string(kJournalHeader));
}

void Journal::apply(MessageRecord&& record) {
  JournaledMessage journaled;
  journaled.message = std::move(record.message);
  if (keys_of_next_ && keys_of_next_->number == record.number) {
    journaled.message.idempotency_key = std::move(keys_of_next_->idempotency_key);
    journaled.message.order_key = std::move(keys_of_next_->order_key);
  }
  keys_of_next_.reset();
  reserved_bytes_ += reserved_bytes(journaled.message);
  // Most numbers in a file grow: the end is the place to look first.
  messages_.insert_or_assign(messages_.end(), record.number, std::move(journaled));
}

void Journal::apply(MessageKeysRecord&& record) { keys_of_next_ = std::move(record); }

// The records below may be of messages that were completed before the file was compacted.
void Journal::apply(const AttemptRecord& record) {
  const auto entry = messages_.find(record.number);
  if (entry == messages_.end()) return;
  entry->second.attempts.push_back({record.sent_at, record.zone, std::nullopt});
}

void Journal::apply(const OutcomeRecord& record) {
  const auto entry = messages_.find(record.number);
  if (entry == messages_.end()) return;
  const auto attempt = static_cast<std::size_t>(record.attempt);
  if (attempt < entry->second.attempts.size()) entry->second.attempts[attempt].outcome = record.outcome;
}

void Journal::apply(const FinalAnswerRecord& record) {
  const auto entry = messages_.find(record.number);
  if (entry != messages_.end()) set_final_answer(entry->second, record.final_answer);
}

void Journal::apply(const CompletedRecord& record) {
  const auto entry = messages_.find(record.number);
  if (entry != messages_.end()) remove(entry);
}

void Journal::apply(const SuspensionRecord& record) { set_suspension(record.endpoint, record.state); }

// ---- State. ----

void Journal::set_final_answer(JournaledMessage& message, const FinalAnswer& final_answer) {
  if (!message.final_answer) final_answer_count_++;
  message.final_answer = final_answer;
}

// Whether that is a change.
bool Journal::set_suspension(const std::string& endpoint, SuspensionState state) {
  if (state == SuspensionState::suspended) return suspended_endpoints_.insert(endpoint).second;
  return suspended_endpoints_.erase(endpoint) > 0;
}

void Journal::remove(Messages::iterator entry) {
  reserved_bytes_ -= reserved_bytes(entry->second.message);
  if (entry->second.final_answer) final_answer_count_--;
  messages_.erase(entry);
}

// ---- Capacity. ----

// Computed from the lengths alone: it is called several times for each message, also while a large file is
// read.
std::uint64_t Journal::reserved_bytes(const Message& message) {
  return encoded_size(message) + kLaterRecordsBytes;
}

std::uint64_t Journal::bytes_on_disk() const {
  return size_on_disk(file_.size()) + size_on_disk(compacted_file_.size());
}

bool Journal::has_capacity_for(const Message& message, std::uint64_t other_bytes) const {
  const std::uint64_t additional = reserved_bytes(message) + other_bytes;
  if (reserved_bytes_ + additional > limit_bytes_ / 100 * kMaxReservedPercent) return false;
  // During a compaction all messages are still to be copied, and new records are written to both files.
  const std::uint64_t pending = pending_.size() + compacted_pending_.size();
  return bytes_on_disk() + pending + 2 * additional + reserved_bytes_ <= limit_bytes_ / 100 * kMaxFillPercent;
}

// ---- Writing. ----

void Journal::add_frames(MessageId number, const std::string& frames) {
  pending_ += frames;
  if (compacted_file_.is_open() && number <= compacted_up_to_) compacted_pending_ += frames;
}

void Journal::record_message(MessageId number, Message message) {
  add_frames(number, encode_message(number, message));
  reserved_bytes_ += reserved_bytes(message);
  messages_[number].message = std::move(message);
}

void Journal::record_attempt(MessageId number, Time sent_at, int zone) {
  messages_.at(number).attempts.push_back({sent_at, zone, std::nullopt});
  add_frames(number, encode(AttemptRecord{number, sent_at, zone}));
}

void Journal::record_outcome(MessageId number, int attempt, Outcome outcome) {
  messages_.at(number).attempts.at(static_cast<std::size_t>(attempt)).outcome = outcome;
  add_frames(number, encode(OutcomeRecord{number, attempt, outcome}));
}

void Journal::record_final_answer(MessageId number, FinalAnswer final_answer) {
  set_final_answer(messages_.at(number), final_answer);
  add_frames(number, encode(FinalAnswerRecord{number, final_answer}));
}

void Journal::record_completed(MessageId number) {
  const auto entry = messages_.find(number);
  if (entry == messages_.end()) return;
  add_frames(number, encode(CompletedRecord{number}));
  remove(entry);
}

void Journal::record_suspension(const std::string& endpoint, SuspensionState state) {
  if (set_suspension(endpoint, state)) add_frames(kNoMessage, encode(SuspensionRecord{endpoint, state}));
}

bool Journal::commit() {
  if (pending_.empty() && compacted_pending_.empty()) return true;
  const std::uint64_t size_after = size_on_disk(file_.size() + pending_.size()) +
                                   size_on_disk(compacted_file_.size() + compacted_pending_.size());
  if (size_after > limit_bytes_) return false;
  try {
    if (!pending_.empty()) file_.append(pending_);
    pending_.clear();
    if (!compacted_pending_.empty()) compacted_file_.append(compacted_pending_);
    compacted_pending_.clear();
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

// ---- Compaction. ----

bool Journal::wants_compaction() const {
  return compacted_file_.is_open() || file_.size() > limit_bytes_ / 100 * kCompactionPercent;
}

bool Journal::compact() {
  if (!commit()) return true;
  try {
    return compact_step();
  } catch (const std::system_error&) {
    // The first file is complete; without space for the second one it must do for now.
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
  compacted_pending_.clear();
}

}  // namespace message_relay
