// Measures the journal: the processor time (including system time), the disk space and the memory of held
// messages.
#include <algorithm>
#include <filesystem>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "journal.hpp"
#include "resource_meters.hpp"
#include "sample_message.hpp"
#include "slopes.hpp"
#include "units.hpp"

namespace scale_tool {
namespace {

using message_relay::Journal;
using message_relay::Message;
using message_relay::MessageId;
using message_relay::Outcome;

constexpr MessageId kMessagesPerCommit = 64;  // in measurements that don't vary it
constexpr std::int64_t kCommitCount = 100;    // over which the time of a commit is averaged
constexpr MessageId kDestinationCount = 190'000;

Message make_message(MessageId id, std::int64_t body_bytes) {
  return sample_message(id, static_cast<std::int64_t>(id % kDestinationCount), body_bytes);
}

// Measures a journal that one instance of the relay writes and the next one recovers. Each cost is the total
// for all messages.
class JournalBench {
 public:
  JournalBench(std::int64_t messages, std::int64_t body_bytes)
      : message_count_(static_cast<MessageId>(messages)), body_bytes_(body_bytes) {}

  [[nodiscard]] Costs measure();

 private:
  void write_and_compact();
  void record_messages(Journal& journal);
  void record_attempts(Journal& journal);
  void compact(Journal& journal);
  void recover_and_complete();

  // Processor time of the work on all messages. Excludes the commits, whose cost does not depend on the type
  // of the records.
  template <class Work>
  double for_each_message(Journal& journal, Work work) const;
  // One past the last message of the commit that begins with `first`.
  MessageId end_of_commit(MessageId first) const {
    return std::min(first + kMessagesPerCommit, message_count_ + 1);
  }
  double file_bytes() const {
    return static_cast<double>(std::filesystem::file_size(directory_.path() + "/journal"));
  }
  void add(const std::string& name, double value) { costs_.push_back({name, value}); }

  MessageId message_count_;
  std::int64_t body_bytes_;
  TemporaryDirectory directory_;
  Costs costs_;
};

Costs JournalBench::measure() {
  write_and_compact();
  recover_and_complete();
  return costs_;
}

template <class Work>
double JournalBench::for_each_message(Journal& journal, Work work) const {
  double cpu_time = 0;
  for (MessageId first = 1; first <= message_count_; first += kMessagesPerCommit) {
    cpu_time += cpu_time_of([&] {
      for (MessageId id = first; id < end_of_commit(first); id++) work(id);
    });
    journal.commit();
  }
  return cpu_time;
}

void JournalBench::write_and_compact() {
  const std::int64_t bytes_before = allocated_memory().bytes;
  Journal journal(directory_.path(), kUnlimitedBytes);
  record_messages(journal);
  const double file_bytes_of_messages = file_bytes();
  add("on disk, bytes", file_bytes_of_messages);
  add("memory, bytes", static_cast<double>(allocated_memory().bytes - bytes_before));
  record_attempts(journal);
  add("an attempt on disk, bytes", file_bytes() - file_bytes_of_messages);
  compact(journal);
}

void JournalBench::record_messages(Journal& journal) {
  double record_time = 0;
  double commit_time = 0;
  for (MessageId first = 1; first <= message_count_; first += kMessagesPerCommit) {
    std::vector<Message> batch;
    for (MessageId id = first; id < end_of_commit(first); id++)
      batch.push_back(make_message(id, body_bytes_));
    record_time += cpu_time_of([&] {
      MessageId id = first;
      for (Message& message : batch) journal.record_message(id++, std::move(message));
    });
    commit_time += cpu_time_of([&] { journal.commit(); });
  }
  add("taken, us", record_time);
  add("committed, us", commit_time);
}

void JournalBench::record_attempts(Journal& journal) {
  add("sent, us", for_each_message(journal, [&](MessageId id) { journal.record_attempt(id, 1, 0); }));
  add("outcome, us",
      for_each_message(journal, [&](MessageId id) { journal.record_outcome(id, 0, Outcome::rejected); }));
}

void JournalBench::compact(Journal& journal) {
  double total = 0;
  double longest_but_last = 0;
  double last = 0;
  for (bool has_more_steps = true; has_more_steps;) {
    longest_but_last = std::max(longest_but_last, last);
    last = cpu_time_of([&] { has_more_steps = journal.compact(); });
    total += last;
  }
  add("compacted, us", total);
  add("compacted, longest step but the last, us", longest_but_last);
  add("compacted, last step, us", last);
}

void JournalBench::recover_and_complete() {
  const std::int64_t bytes_before = allocated_memory().bytes;
  reset_peak_allocated_bytes();
  std::optional<Journal> journal;
  add("recovered, us", cpu_time_of([&] { journal.emplace(directory_.path(), kUnlimitedBytes); }));
  add("recovered, most memory, bytes", static_cast<double>(peak_allocated_bytes() - bytes_before));
  if (journal->messages().size() != message_count_)
    throw std::runtime_error("journal: expected to recover " + std::to_string(message_count_) +
                             " messages, recovered " + std::to_string(journal->messages().size()));
  add("over, us", for_each_message(*journal, [&](MessageId id) { journal->record_completed(id); }));
}

// Mean processor time of one commit of this many new messages.
double mean_commit_time(std::int64_t records, std::int64_t body_bytes) {
  const TemporaryDirectory directory;
  Journal journal(directory.path(), kUnlimitedBytes);
  double cpu_time = 0;
  MessageId next_id = 1;
  for (std::int64_t i = 0; i < kCommitCount; i++) {
    const MessageId first = next_id;
    const MessageId end = first + static_cast<MessageId>(records);
    for (; next_id < end; next_id++) journal.record_message(next_id, make_message(next_id, body_bytes));
    cpu_time += cpu_time_of([&] { journal.commit(); });
    for (MessageId id = first; id < end; id++) journal.record_completed(id);
    journal.commit();
  }
  return cpu_time / static_cast<double>(kCommitCount);
}

}  // namespace

void measure_journal(SlopeRecorder& recorder) {
  const SlopesSettings& settings = recorder.settings();
  for (const auto messages : settings.held_messages)
    recorder.add_medians(SizeKind::held_messages, messages,
                         [&] { return JournalBench(messages, settings.body_bytes).measure(); });
  recorder.report_size_reaching(SizeKind::held_messages, "memory, bytes", settings.target_memory_bytes);
  recorder.report_size_reaching(SizeKind::held_messages, "recovered, most memory, bytes",
                                settings.target_memory_bytes);
  recorder.report_size_reaching(SizeKind::held_messages, "recovered, us",
                                settings.target_restart_seconds * kMicrosecondsPerSecond);
  for (const auto records : settings.records_per_commit) {
    const double commit_time =
        median_of(settings.repetitions, [&] { return mean_commit_time(records, settings.body_bytes); });
    recorder.add(SizeKind::records_per_commit, records, {"commit, us", commit_time});
  }
}

}  // namespace scale_tool
