// The journal: processor time (the system's part of it, too), room on disk and memory of what is held.
#include <algorithm>
#include <filesystem>
#include <optional>
#include <stdexcept>

#include "journal.hpp"
#include "resource_meters.hpp"
#include "slopes.hpp"
#include "stored.hpp"

namespace scale_tool {
namespace {

using message_relay::Journal;
using message_relay::Message;
using message_relay::MessageId;
using message_relay::Outcome;

constexpr MessageId kCommit = 64;       // messages with one commit, where that is not what is varied
constexpr std::int64_t kCommits = 100;  // of one size, together one measurement

Message message(MessageId id, std::int64_t body_bytes) {
  return stored(id, static_cast<std::int64_t>(id % 190'000), body_bytes);
}

double file_bytes(const std::string& folder) {
  return static_cast<double>(std::filesystem::file_size(folder + "/journal"));
}

// Costs of one life and the next, each of all messages together.
class Lives {
 public:
  Lives(std::int64_t messages, std::int64_t body_bytes)
      : messages_(static_cast<MessageId>(messages)), body_bytes_(body_bytes) {
    first();
    second();
  }
  Costs costs;

 private:
  void first() {
    const std::int64_t before = allocated().bytes;
    Journal journal(folder_.path(), kNoLimit);
    double committed = 0, taken = 0;
    for (MessageId first = 1; first <= messages_; first += kCommit) {
      std::vector<Message> batch;
      for (MessageId id = first; id < end_of(first); id++) batch.push_back(message(id, body_bytes_));
      taken += time_of([&] {
        for (auto& m : batch)
          journal.record_message(first + static_cast<MessageId>(&m - batch.data()), std::move(m));
      });
      committed += time_of([&] { journal.commit(); });
    }
    costs.emplace_back("taken, us", taken);
    costs.emplace_back("committed, us", committed);
    const double alone = file_bytes(folder_.path());
    costs.emplace_back("on disk, bytes", alone);
    costs.emplace_back("memory, bytes", static_cast<double>(allocated().bytes - before));
    costs.emplace_back("sent, us", each(journal, [&](MessageId id) { journal.record_attempt(id, 1, 0); }));
    costs.emplace_back("outcome, us", each(journal, [&](MessageId id) {
                         journal.record_outcome(id, 0, Outcome::rejected);
                       }));
    costs.emplace_back("an attempt on disk, bytes", file_bytes(folder_.path()) - alone);
    double all = 0, longest = 0, last = 0;
    for (bool more = true; more;) {
      longest = std::max(longest, last);
      last = time_of([&] { more = journal.compact(); });
      all += last;
    }
    costs.emplace_back("compacted, us", all);
    costs.emplace_back("compacted, longest step but the last, us", longest);
    costs.emplace_back("compacted, last step, us", last);
  }
  void second() {
    const std::int64_t before = allocated().bytes;
    mark_peak();
    std::optional<Journal> journal;
    costs.emplace_back("recovered, us", time_of([&] { journal.emplace(folder_.path(), kNoLimit); }));
    costs.emplace_back("recovered, most memory, bytes", static_cast<double>(peak_bytes() - before));
    if (journal->messages().size() != messages_) throw std::runtime_error("journal: not all was recovered");
    costs.emplace_back("over, us", each(*journal, [&](MessageId id) { journal->record_completed(id); }));
  }
  MessageId end_of(MessageId first) const { return std::min(first + kCommit, messages_ + 1); }
  // Without the commits, which cost the same whatever the records are.
  template <class Work>
  double each(Journal& journal, Work work) {
    double time = 0;
    for (MessageId first = 1; first <= messages_; first += kCommit) {
      time += time_of([&] {
        for (MessageId id = first; id < end_of(first); id++) work(id);
      });
      journal.commit();
    }
    return time;
  }

  MessageId messages_;
  std::int64_t body_bytes_;
  ScratchFolder folder_;
};

// Of one commit, the mean of many.
double commit_time(std::int64_t records, std::int64_t body_bytes) {
  const ScratchFolder folder;
  Journal journal(folder.path(), kNoLimit);
  double time = 0;
  MessageId id = 0;
  for (std::int64_t i = 0; i < kCommits; i++) {
    const MessageId first = id + 1;
    for (std::int64_t k = 0; k < records; k++) id++, journal.record_message(id, message(id, body_bytes));
    time += time_of([&] { journal.commit(); });
    for (MessageId over = first; over <= id; over++) journal.record_completed(over);
    journal.commit();
  }
  return time / static_cast<double>(kCommits);
}

}  // namespace

void journal_slopes(Slopes& out) {
  const auto& set = out.set;
  for (const auto n : set.messages)
    out.add_medians(kMessages, n, [&] { return Lives(n, set.body_bytes).costs; });
  out.reach("memory, bytes", kMessages, set.asked_memory_bytes);
  out.reach("recovered, most memory, bytes", kMessages, set.asked_memory_bytes);
  out.reach("recovered, us", kMessages, set.asked_restart_s * 1e6);
  for (const auto n : set.batch)
    out.add("commit, us", kBatch, n,
            median_of(set.repetitions, [&] { return commit_time(n, set.body_bytes); }));
}

}  // namespace scale_tool
