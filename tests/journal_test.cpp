// The journal: recovery from a file that was truncated or damaged at any position, compaction, and disk
// usage.
#include "journal.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace message_relay {
namespace {

namespace fs = std::filesystem;

class JournalTest : public ::testing::Test {
 protected:
  void SetUp() override {
    fs::remove_all(folder);
    fs::create_directories(folder);
  }
  void TearDown() override { fs::remove_all(folder); }

  // A message whose body has `zero_bytes` zero bytes and one more byte.
  static Message message(const std::string& id, std::size_t zero_bytes = 5) {
    Message message;
    message.id = id;
    message.message_class = "pay-and-order";
    message.tenant = "acme";
    message.destination = 7;
    message.deadline = 123'456'789;
    message.resubmitted = true;
    message.body = std::string(zero_bytes, '\0') + "x";
    return message;
  }
  std::string journal_path() const { return folder + "/journal"; }
  std::string read_journal_file() const {
    std::ifstream in(journal_path(), std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
  }
  void write_journal_file(const std::string& bytes) const {
    std::ofstream(journal_path(), std::ios::binary) << bytes;
  }
  // The size of all files in the folder, each rounded up to blocks of 512 bytes.
  std::uint64_t disk_usage() const {
    std::uint64_t bytes = 0;
    for (const auto& file : fs::directory_iterator(folder)) bytes += (file.file_size() + 511) / 512 * 512;
    return bytes;
  }

  const std::string folder =
      (fs::temp_directory_path() / ("journal-test-" + std::to_string(::getpid()))).string();
  static constexpr std::uint64_t kSizeLimit = 3'000'000;  // bytes
};

TEST_F(JournalTest, RecoversWhatWasWritten) {
  {
    Journal journal(folder, kSizeLimit);
    journal.record_message(1, message("a"));
    journal.record_message(2, message("b"));
    journal.record_message(3, message("c"));
    journal.record_attempt(1, 1000, 2);
    journal.record_outcome(1, 0, Outcome::rejected);
    journal.record_attempt(1, 2000, 1);
    journal.record_final_answer(2, {true, 500});
    journal.record_completed(3);
    EXPECT_TRUE(journal.commit());
  }
  const Journal journal(folder, kSizeLimit);
  EXPECT_EQ(journal.dropped_bytes(), 0U);
  ASSERT_EQ(journal.messages().size(), 2U);
  const JournaledMessage& recovered = journal.messages().at(1);
  EXPECT_EQ(recovered.message.id, "a");
  EXPECT_EQ(recovered.message.message_class, "pay-and-order");
  EXPECT_EQ(recovered.message.tenant, "acme");
  EXPECT_EQ(recovered.message.destination, 7);
  EXPECT_EQ(recovered.message.deadline, 123'456'789);
  EXPECT_TRUE(recovered.message.resubmitted);
  EXPECT_EQ(recovered.message.body, std::string(5, '\0') + "x");
  ASSERT_EQ(recovered.attempts.size(), 2U);
  EXPECT_FALSE(recovered.attempts[0].may_have_executed());
  EXPECT_TRUE(recovered.attempts[1].may_have_executed());  // no outcome was recorded
  EXPECT_EQ(recovered.attempts[1].sent_at, 2000);
  EXPECT_EQ(recovered.attempts[1].zone, 1);
  ASSERT_TRUE(journal.messages().at(2).final_answer.has_value());
  EXPECT_TRUE(journal.messages().at(2).final_answer->retryable);
  EXPECT_EQ(journal.messages().at(2).final_answer->retry_after, 500);
}

// A process may be killed during any write, which truncates the file at any byte: all complete records before
// that position are recovered, the incomplete one never.
TEST_F(JournalTest, RecoversCompleteRecordsOfAFileTruncatedAtAnyByte) {
  std::string complete;
  std::vector<std::size_t> record_ends;
  {
    Journal journal(folder, kSizeLimit);
    for (MessageId id = 1; id <= 3; id++) {
      journal.record_message(id, message(std::to_string(id)));
      ASSERT_TRUE(journal.commit());
      record_ends.push_back(read_journal_file().size());
    }
    complete = read_journal_file();
  }
  for (std::size_t length = 0; length <= complete.size(); length++) {
    write_journal_file(complete.substr(0, length));
    std::size_t expected = 0;
    for (const auto record_end : record_ends) expected += length >= record_end;
    {
      Journal journal(folder, kSizeLimit);
      ASSERT_EQ(journal.messages().size(), expected) << "truncated at " << length;
      journal.record_message(9, message("new"));
      ASSERT_TRUE(journal.commit());
    }
    const Journal reopened(folder, kSizeLimit);
    ASSERT_EQ(reopened.messages().size(), expected + 1) << "truncated at " << length;
    ASSERT_EQ(reopened.dropped_bytes(), 0U);
  }
}

// From a compacted file truncated at any byte, a message is recovered with its keys or not at all, and no
// later message gets its keys.
TEST_F(JournalTest, KeysAreRecoveredWithTheirMessageOrNotAtAll) {
  const auto with_keys = [](const std::string& id) {
    Message keyed = message(id);
    keyed.idempotency_key = "key-" + id;
    keyed.order_key = "about-" + id;
    return keyed;
  };
  std::string complete;
  {
    Journal journal(folder, kSizeLimit);
    journal.record_message(1, message("plain"));
    journal.record_message(2, with_keys("a"));
    ASSERT_TRUE(journal.commit());
    while (journal.compact()) {
    }
    complete = read_journal_file();
  }
  for (std::size_t length = 0; length <= complete.size(); length++) {
    write_journal_file(complete.substr(0, length));
    {
      Journal journal(folder, kSizeLimit);
      const auto held = journal.messages().find(2);
      ASSERT_EQ(held != journal.messages().end(), length == complete.size());
      if (held == journal.messages().end()) {
        journal.record_message(2, message("next"));
      } else {
        EXPECT_EQ(held->second.message.order_key, "about-a");
      }
      ASSERT_TRUE(journal.commit());
    }
    const Journal reopened(folder, kSizeLimit);
    const Message& recovered = reopened.messages().at(2).message;
    EXPECT_EQ(recovered.idempotency_key, recovered.id == "a" ? "key-a" : "") << "truncated at " << length;
  }
}

TEST_F(JournalTest, RecoveryStopsAtADamagedRecord) {
  {
    Journal journal(folder, kSizeLimit);
    journal.record_message(1, message("a"));
    journal.record_message(2, message("b"));
    ASSERT_TRUE(journal.commit());
  }
  auto bytes = read_journal_file();
  bytes[bytes.size() - 3] = static_cast<char>(bytes[bytes.size() - 3] ^ 1);
  write_journal_file(bytes);
  const Journal journal(folder, kSizeLimit);
  EXPECT_EQ(journal.messages().size(), 1U);
  EXPECT_GT(journal.dropped_bytes(), 0U);
}

TEST_F(JournalTest, AFileWithoutTheHeaderIsDiscarded) {
  write_journal_file("something else altogether\n");
  Journal journal(folder, kSizeLimit);
  EXPECT_TRUE(journal.messages().empty());
  EXPECT_GT(journal.dropped_bytes(), 0U);
  journal.record_message(1, message("a"));
  EXPECT_TRUE(journal.commit());
  EXPECT_EQ(Journal(folder, kSizeLimit).messages().size(), 1U);
}

// Messages with large bodies fill the folder quickly: its size stays below the limit at every step, no open
// message is lost, and completed messages free capacity for new ones.
TEST_F(JournalTest, StaysUnderItsLimitWithLargeBodies) {
  Journal journal(folder, kSizeLimit);
  MessageId next = 1;
  MessageId oldest = 1;
  int rejected = 0;
  for (int i = 0; i < 1000; i++) {
    const Message candidate = message(std::to_string(next), 64 * 1024 - 1);
    if (journal.has_capacity_for(candidate)) {
      journal.record_message(next++, candidate);
    } else {
      rejected++;
      if (oldest < next) journal.record_completed(oldest++);
    }
    ASSERT_TRUE(journal.commit());
    ASSERT_LE(disk_usage(), kSizeLimit);
    if (journal.needs_compaction()) journal.compact();
    ASSERT_LE(disk_usage(), kSizeLimit);
  }
  EXPECT_GT(rejected, 0);
  EXPECT_GT(next, 200U);  // far more messages were recorded than fit at the same time
  const auto open_messages = journal.messages().size();
  EXPECT_EQ(open_messages, next - oldest);
  EXPECT_EQ(Journal(folder, kSizeLimit).messages().size(), open_messages);
}

// Endpoints suspended by an operator stay suspended through a compaction, whatever is recorded while it is in
// progress.
TEST_F(JournalTest, SuspensionsSurviveCompaction) {
  {
    Journal journal(folder, kSizeLimit);
    journal.record_suspension("s-1", SuspensionState::suspended);
    journal.record_suspension("s-2", SuspensionState::suspended);
    journal.record_suspension("s-2", SuspensionState::suspended);
    for (MessageId id = 1; id <= 40; id++) journal.record_message(id, message("m", 20'000));
    EXPECT_TRUE(journal.compact());  // the first of several steps
    journal.record_suspension("s-2", SuspensionState::restored);
    journal.record_suspension("s-3", SuspensionState::suspended);
    while (journal.compact()) {
    }
    EXPECT_TRUE(journal.commit());
  }
  const Journal journal(folder, kSizeLimit);
  EXPECT_EQ(journal.suspended_endpoints(), (std::set<std::string>{"s-1", "s-3"}));
  EXPECT_EQ(journal.messages().size(), 40U);
}

TEST_F(JournalTest, LimitedDestinationsSurviveRestartAndCompaction) {
  {
    Journal journal(folder, kSizeLimit);
    journal.record_limited_destinations({{1, {.demand = 0.5}}, {2, {.demand = 1.5}}});
    for (MessageId id = 1; id <= 40; id++) journal.record_message(id, message("m", 20'000));
    EXPECT_TRUE(journal.compact());  // the first of several steps
    journal.record_limited_destinations({{2, {.demand = 1.5}}, {3, {}}});
    while (journal.compact()) {
    }
    EXPECT_TRUE(journal.commit());
  }
  const Journal journal(folder, kSizeLimit);
  EXPECT_EQ(journal.limited_destinations(), (dispatch::DestinationLimits{{2, {.demand = 1.5}}, {3, {}}}));
  EXPECT_EQ(journal.messages().size(), 40U);
}

// The process is killed after any step of a compaction, with records written between the steps: every open
// message and its attempts are recovered.
TEST_F(JournalTest, RecoversFromACompactionInterruptedAfterAnyStep) {
  for (int completed_steps = 0; completed_steps < 12; completed_steps++) {
    fs::remove_all(folder);
    fs::create_directories(folder);
    const std::string copy = folder + "-copy";
    std::map<MessageId, std::size_t> expected;
    {
      Journal journal(folder, kSizeLimit);
      for (MessageId id = 1; id <= 12; id++)
        journal.record_message(id, message(std::to_string(id), 64 * 1024 - 1));
      ASSERT_TRUE(journal.commit());
      MessageId next = 100;
      for (int step = 0; step < completed_steps; step++) {
        journal.compact();
        journal.record_message(next, message(std::to_string(next)));
        journal.record_attempt(next, 1, 0);
        journal.record_attempt(1, 1, 0);   // copied to the new file by now
        journal.record_attempt(12, 1, 0);  // may not have been copied yet
        if (step == 3) journal.record_completed(5);
        next++;
        ASSERT_TRUE(journal.commit());
      }
      for (const auto& [id, entry] : journal.messages()) expected[id] = entry.attempts.size();
      fs::remove_all(copy);
      fs::copy(folder, copy);  // the files as SIGKILL would leave them
    }
    {
      const Journal recovered(copy, kSizeLimit);
      std::map<MessageId, std::size_t> found;
      for (const auto& [id, entry] : recovered.messages()) found[id] = entry.attempts.size();
      EXPECT_EQ(found, expected) << "killed after steps: " << completed_steps;
      EXPECT_FALSE(fs::exists(copy + "/journal.next"));
    }
    fs::remove_all(copy);
  }
}

// The bytes reserved for a message are the length of its own record, whatever its fields, plus the same
// number for every message for the records that will follow.
TEST_F(JournalTest, ReservedBytesAreTheLengthOfTheRecords) {
  Message bare;
  Message keyed = message("a");
  Message ordered = message("long id", 5000);
  keyed.idempotency_key = "key";
  ordered.order_key = "about";
  std::vector<std::uint64_t> reserved_for_later;
  for (const Message& recorded : {bare, message("b"), keyed, ordered}) {
    Journal journal(folder, kSizeLimit);
    const auto size_before = read_journal_file().size();
    journal.record_message(1 + reserved_for_later.size(), recorded);
    ASSERT_TRUE(journal.commit());
    reserved_for_later.push_back(Journal::reserved_bytes(recorded) -
                                 (read_journal_file().size() - size_before));
  }
  EXPECT_EQ(reserved_for_later, std::vector<std::uint64_t>(4, reserved_for_later[0]));
  EXPECT_GE(reserved_for_later[0], 8U * 50);  // eight attempts
  EXPECT_LT(reserved_for_later[0], 1000U);
}

TEST_F(JournalTest, ReportsInsufficientCapacityBeforeAMessageIsRecorded) {
  Journal journal(folder, 200'000);
  EXPECT_TRUE(journal.has_capacity_for(message("a", 1000)));
  EXPECT_FALSE(journal.has_capacity_for(message("a", 100'000)));
  EXPECT_FALSE(journal.has_capacity_for(message("a", 1000), 90'000));
}

}  // namespace
}  // namespace message_relay
