// The relay's write-ahead log: the accepted messages, the attempts to deliver them, and the final answers
// that the platform has not acknowledged.
//
// The journal is one append-only file of framed records (journal_records.hpp). When records of completed
// messages have made the file too large, a compaction copies the records of open messages to a second file in
// bounded steps, then renames the second file over the first. Both files together never exceed the size
// limit: space for the later records of a message is reserved when the message is accepted.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "connection_message_counts.hpp"
#include "journal_file.hpp"
#include "journal_records.hpp"
#include "message.hpp"

namespace message_relay {

class Journal {
 public:
  // Opens or creates the journal in this folder and reads it; everything after the last intact record is
  // truncated. Both files together take at most `limit_bytes` of disk space. Throws std::system_error if the
  // folder cannot be used.
  Journal(const std::string& folder, std::uint64_t limit_bytes);
  ~Journal() = default;
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  // The messages that are not completed, by id.
  const std::map<MessageId, JournaledMessage>& messages() const { return messages_; }
  // Number of messages that are not completed and have no final answer.
  std::size_t unanswered_count() const { return messages_.size() - final_answer_count_; }
  // The same messages by the connections on which this process has admitted them.
  const ConnectionMessageCounts& unanswered_by_connection() const { return unanswered_by_connection_; }
  // Ids of the endpoints that operators have suspended.
  const std::set<std::string>& suspended_endpoints() const { return suspended_endpoints_; }
  // The destinations to which the relay limited its calls, as they may be returning from an outage.
  const dispatch::DestinationLimits& limited_destinations() const { return limited_destinations_; }
  // Number of bytes that were truncated when the journal was opened.
  std::uint64_t dropped_bytes() const { return dropped_bytes_; }

  // Whether there is space for the message and all its later records, in addition to `other_reserved_bytes`
  // for messages that are not recorded yet.
  bool has_capacity_for(const Message& message, std::uint64_t other_reserved_bytes = 0) const;
  // Number of bytes that a message reserves until it is completed.
  static std::uint64_t reserved_bytes(const Message& message);

  // Each of these functions adds a record for the next commit(). The step that is recorded must not be taken
  // before commit() has returned true. record_message() adds a message; the other functions throw
  // std::out_of_range if the message is not in messages(), unless stated otherwise.
  void record_message(MessageId id, Message message);
  void record_attempt(MessageId id, Time sent_at, int zone);
  void record_outcome(MessageId id, int attempt, Outcome outcome);
  void record_final_answer(MessageId id, FinalAnswer final_answer);
  // Removes the message from messages(). Does nothing if it is not there.
  void record_completed(MessageId id);
  // Does nothing if the endpoint is already in this state.
  void record_suspension(const std::string& endpoint, SuspensionState state);

  // Adds records for each destination that is not in both `destinations` and limited_destinations(). The step
  // need not wait for commit().
  void record_limited_destinations(const dispatch::DestinationLimits& destinations);

  // Writes the records added since the last successful call. Returns false if they cannot be written now or
  // would exceed the size limit; those not written are kept for the next call.
  bool commit();

  // Whether a compaction is in progress or the file is large enough to begin one.
  bool needs_compaction() const;
  // Performs one bounded step of a compaction; begins a compaction if none is in progress. Returns true if
  // another step must follow, false if the compaction has finished or was abandoned.
  bool compact();

  // Commits, then abandons a compaction in progress, so that another process can read a single complete file.
  // Returns false if the last records cannot be written now.
  [[nodiscard]] bool consolidate();

  // Disk space of both files in bytes, rounded up to whole blocks.
  std::uint64_t bytes_on_disk() const;

 private:
  using Messages = std::map<MessageId, JournaledMessage>;

  void recover();
  void compact_if_over_limit();
  void apply(MessageRecord&& record);
  void apply(MessageKeysRecord&& record);
  void apply(const AttemptRecord& record);
  void apply(const OutcomeRecord& record);
  void apply(const FinalAnswerRecord& record);
  void apply(const CompletedRecord& record);
  void apply(const SuspensionRecord& record);
  void apply(const DestinationLimitRecord& record);
  void apply(const DestinationDemandRecord& record);
  void apply(const UnknownRecord&) {}

  // Adds frames for the next commit(), also for the compacted file if it already has this message's records.
  void queue_frames(MessageId id, const std::string& frames);
  void set_final_answer(JournaledMessage& message, const FinalAnswer& final_answer);
  // Whether the state has changed.
  bool set_suspension(const std::string& endpoint, SuspensionState state);
  // Removes a message and the bytes that it reserved.
  void remove(Messages::iterator entry);

  void begin_compaction();
  bool compact_step();
  void finish_compaction();
  void abandon_compaction();

  std::string path_;
  std::string compacted_path_;
  std::uint64_t limit_bytes_ = 0;
  JournalFile file_;
  JournalFile compacted_file_;            // open while a compaction is in progress
  MessageId compacted_up_to_ = 0;         // the compacted file has the records of all messages up to this id
  std::string pending_frames_;            // frames that commit() has not written yet
  std::string compacted_pending_frames_;  // the same for the compacted file
  std::uint64_t reserved_bytes_ = 0;      // by all messages_ together
  std::uint64_t dropped_bytes_ = 0;
  Messages messages_;
  std::size_t final_answer_count_ = 0;  // messages that have a final answer
  ConnectionMessageCounts unanswered_by_connection_;
  std::set<std::string> suspended_endpoints_;
  dispatch::DestinationLimits limited_destinations_;
  // While recover() runs: the keys of a message whose own record, the next one, has not been read yet.
  std::optional<MessageKeysRecord> preceding_keys_;
};

}  // namespace message_relay
