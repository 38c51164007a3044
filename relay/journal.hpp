// The relay's write-ahead log: the messages it has accepted, its attempts to deliver them, and the final
// answers it still owes.
//
// One file of framed records (journal_records.hpp), only appended to. When it holds too many records of
// completed messages, a compaction copies the rest to a second file in bounded steps; the second file then
// takes the place of the first by a rename. Both files together stay under the limit at all times; capacity
// for the later records of each message is reserved when it is accepted.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "journal_file.hpp"
#include "journal_records.hpp"
#include "message.hpp"

namespace message_relay {

class Journal {
 public:
  // Opens or creates the journal in this folder and reads it; an incomplete or damaged end is cut off. Both
  // files together take at most `limit_bytes` of the disk. Throws std::system_error where the folder can't be
  // used.
  Journal(const std::string& folder, std::uint64_t limit_bytes);
  ~Journal() = default;
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  // The messages that are not completed.
  const std::map<MessageId, JournaledMessage>& messages() const { return messages_; }
  // How many of them have no final answer.
  std::size_t unanswered_count() const { return messages_.size() - final_answer_count_; }
  // The endpoints that operators have suspended.
  const std::set<std::string>& suspended_endpoints() const { return suspended_endpoints_; }
  // Bytes that were cut off when the journal was opened.
  std::uint64_t dropped_bytes() const { return dropped_bytes_; }

  // Whether the message can be accepted, with all its later records, besides `other_bytes` that are reserved
  // for messages not recorded yet.
  bool has_capacity_for(const Message& message, std::uint64_t other_bytes = 0) const;
  // Bytes that a message reserves until it is completed.
  static std::uint64_t reserved_bytes(const Message& message);

  // Each appends a record to those that commit() writes; nothing may be done on its strength before commit()
  // has returned true. The message must be one of messages(); std::out_of_range is thrown otherwise.
  void record_message(MessageId number, Message message);
  void record_attempt(MessageId number, Time sent_at, int zone);
  void record_outcome(MessageId number, int attempt, Outcome outcome);
  void record_final_answer(MessageId number, FinalAnswer final_answer);
  // Removes the message; does nothing where it is not there.
  void record_completed(MessageId number);
  // Does nothing where the endpoint is in this state already.
  void record_suspension(const std::string& endpoint, SuspensionState state);

  // Writes the records added since the last call; false, with the rest of them kept for the next call, where
  // the disk does not take them now.
  bool commit();

  bool wants_compaction() const;
  // Takes one bounded step of a compaction, beginning one where none is under way; true while more steps are
  // to come.
  bool compact();

  // Commits and leaves a single complete file, for another process to read; false where the disk does not
  // take the last records now.
  [[nodiscard]] bool consolidate();

  // Disk space of both files, in whole blocks.
  std::uint64_t bytes_on_disk() const;

 private:
  using Messages = std::map<MessageId, JournaledMessage>;

  void recover();
  void apply(MessageRecord&& record);
  void apply(MessageKeysRecord&& record);
  void apply(const AttemptRecord& record);
  void apply(const OutcomeRecord& record);
  void apply(const FinalAnswerRecord& record);
  void apply(const CompletedRecord& record);
  void apply(const SuspensionRecord& record);
  void apply(const UnknownRecord&) {}

  void add_frames(MessageId number, const std::string& frames);
  void set_final_answer(JournaledMessage& message, const FinalAnswer& final_answer);
  bool set_suspension(const std::string& endpoint, SuspensionState state);
  void remove(Messages::iterator entry);

  void begin_compaction();
  bool compact_step();
  void finish_compaction();
  void abandon_compaction();

  std::string path_;
  std::string compacted_path_;
  std::uint64_t limit_bytes_ = 0;
  JournalFile file_;
  JournalFile compacted_file_;        // open while a compaction is under way
  MessageId compacted_up_to_ = 0;     // the compacted file has all records of messages up to this one
  std::string pending_;               // frames that commit() has still to write
  std::string compacted_pending_;     // the same for the compacted file
  std::uint64_t reserved_bytes_ = 0;  // by all messages
  std::uint64_t dropped_bytes_ = 0;
  Messages messages_;
  std::size_t final_answer_count_ = 0;  // messages that have one
  std::set<std::string> suspended_endpoints_;
  std::optional<MessageKeysRecord> keys_of_next_;  // while reading: read ahead of their message
};

}  // namespace message_relay
