// The journal: what is recovered from a file that was cut off anywhere, and the capacity it takes.
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

  static Message message(const std::string& id, std::size_t body = 5) {
    Message m;
    m.id = id;
    m.message_class = "pay-and-order";
    m.tenant = "acme";
    m.destination = 7;
    m.deadline = 123'456'789;
    m.resubmitted = true;
    m.body = std::string(body, '\0') + "x";
    return m;
  }
  std::string file() const { return folder + "/journal"; }
  std::string content() const {
    std::ifstream in(file(), std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
  }
  void write(const std::string& bytes) const { std::ofstream(file(), std::ios::binary) << bytes; }
  std::uint64_t on_disk() const {
    std::uint64_t sum = 0;
    for (const auto& f : fs::directory_iterator(folder)) sum += (f.file_size() + 511) / 512 * 512;
    return sum;
  }

  const std::string folder =
      (fs::temp_directory_path() / ("journal-test-" + std::to_string(::getpid()))).string();
  static constexpr std::uint64_t kLimit = 3'000'000;
};

TEST_F(JournalTest, RecoversWhatWasWritten) {
  {
    Journal journal(folder, kLimit);
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
  const Journal journal(folder, kLimit);
  EXPECT_EQ(journal.dropped_bytes(), 0U);
  ASSERT_EQ(journal.messages().size(), 2U);
  const JournaledMessage& a = journal.messages().at(1);
  EXPECT_EQ(a.message.id, "a");
  EXPECT_EQ(a.message.message_class, "pay-and-order");
  EXPECT_EQ(a.message.tenant, "acme");
  EXPECT_EQ(a.message.destination, 7);
  EXPECT_EQ(a.message.deadline, 123'456'789);
  EXPECT_TRUE(a.message.resubmitted);
  EXPECT_EQ(a.message.body, std::string(5, '\0') + "x");
  ASSERT_EQ(a.attempts.size(), 2U);
  EXPECT_FALSE(a.attempts[0].may_have_executed());
  EXPECT_TRUE(a.attempts[1].may_have_executed());  // no outcome was seen
  EXPECT_EQ(a.attempts[1].sent_at, 2000);
  EXPECT_EQ(a.attempts[1].zone, 1);
  ASSERT_TRUE(journal.messages().at(2).final_answer.has_value());
  EXPECT_TRUE(journal.messages().at(2).final_answer->retryable);
  EXPECT_EQ(journal.messages().at(2).final_answer->retry_after, 500);
}

// A process may be killed within any write: whole records before the cut count, the torn one never.
TEST_F(JournalTest, SurvivesACutAtEveryByte) {
  std::string whole;
  std::vector<std::size_t> ends;
  {
    Journal journal(folder, kLimit);
    for (MessageId id = 1; id <= 3; id++) {
      journal.record_message(id, message(std::to_string(id)));
      ASSERT_TRUE(journal.commit());
      ends.push_back(content().size());
    }
    whole = content();
  }
  for (std::size_t cut = 0; cut <= whole.size(); cut++) {
    write(whole.substr(0, cut));
    std::size_t expected = 0;
    for (const auto end : ends) expected += cut >= end;
    {
      Journal journal(folder, kLimit);
      ASSERT_EQ(journal.messages().size(), expected) << "cut at " << cut;
      journal.record_message(9, message("new"));
      ASSERT_TRUE(journal.commit());
    }
    const Journal again(folder, kLimit);
    ASSERT_EQ(again.messages().size(), expected + 1) << "cut at " << cut;
    ASSERT_EQ(again.dropped_bytes(), 0U);
  }
}

// A message comes back with its keys or not at all, cut at any byte and compacted; no later one gets them.
TEST_F(JournalTest, KeysAreRecoveredWithTheirMessageOrNotAtAll) {
  const auto with_keys = [](const std::string& id) {
    Message m = message(id);
    m.idempotency_key = "key-" + id;
    m.order_key = "about-" + id;
    return m;
  };
  std::string whole;
  {
    Journal journal(folder, kLimit);
    journal.record_message(1, message("plain"));
    journal.record_message(2, with_keys("a"));
    ASSERT_TRUE(journal.commit());
    while (journal.compact()) {
    }
    whole = content();
  }
  for (std::size_t cut = 0; cut <= whole.size(); cut++) {
    write(whole.substr(0, cut));
    {
      Journal journal(folder, kLimit);
      const auto held = journal.messages().find(2);
      ASSERT_EQ(held != journal.messages().end(), cut == whole.size());
      if (held == journal.messages().end()) {
        journal.record_message(2, message("next"));
      } else {
        EXPECT_EQ(held->second.message.order_key, "about-a");
      }
      ASSERT_TRUE(journal.commit());
    }
    const Journal again(folder, kLimit);
    const Message& m = again.messages().at(2).message;
    EXPECT_EQ(m.idempotency_key, m.id == "a" ? "key-a" : "") << "cut at " << cut;
  }
}

TEST_F(JournalTest, ADamagedRecordEndsTheRecovery) {
  {
    Journal journal(folder, kLimit);
    journal.record_message(1, message("a"));
    journal.record_message(2, message("b"));
    ASSERT_TRUE(journal.commit());
  }
  auto bytes = content();
  bytes[bytes.size() - 3] = static_cast<char>(bytes[bytes.size() - 3] ^ 1);
  write(bytes);
  const Journal journal(folder, kLimit);
  EXPECT_EQ(journal.messages().size(), 1U);
  EXPECT_GT(journal.dropped_bytes(), 0U);
}

TEST_F(JournalTest, AFileWithoutTheHeaderIsNoJournal) {
  write("something else altogether\n");
  Journal journal(folder, kLimit);
  EXPECT_TRUE(journal.messages().empty());
  EXPECT_GT(journal.dropped_bytes(), 0U);
  journal.record_message(1, message("a"));
  EXPECT_TRUE(journal.commit());
  EXPECT_EQ(Journal(folder, kLimit).messages().size(), 1U);
}

// Large bodies fill the folder fast: it stays under its limit at every step, nothing held is lost, and room
// comes back once messages are over.
TEST_F(JournalTest, StaysUnderItsLimitWithLargeBodies) {
  Journal journal(folder, kLimit);
  MessageId next = 1, first = 1;
  int refused = 0;
  for (int i = 0; i < 1000; i++) {
    const Message m = message(std::to_string(next), 64 * 1024 - 1);
    if (journal.has_capacity_for(m)) {
      journal.record_message(next++, m);
    } else {
      refused++;
      if (first < next) journal.record_completed(first++);
    }
    ASSERT_TRUE(journal.commit());
    ASSERT_LE(on_disk(), kLimit);
    if (journal.needs_compaction()) journal.compact();
    ASSERT_LE(on_disk(), kLimit);
  }
  EXPECT_GT(refused, 0);
  EXPECT_GT(next, 200U);  // far more went through than fit at once
  const auto held = journal.messages().size();
  EXPECT_EQ(held, next - first);
  EXPECT_EQ(Journal(folder, kLimit).messages().size(), held);
}

// Endpoints left out by hand stay so through compaction, whatever is called while it goes on.
TEST_F(JournalTest, SuspensionsSurviveCompaction) {
  {
    Journal journal(folder, kLimit);
    journal.record_suspension("s-1", SuspensionState::suspended);
    journal.record_suspension("s-2", SuspensionState::suspended);
    journal.record_suspension("s-2", SuspensionState::suspended);
    for (MessageId id = 1; id <= 40; id++) journal.record_message(id, message("m", 20'000));
    EXPECT_TRUE(journal.compact());  // a first step, with more to do
    journal.record_suspension("s-2", SuspensionState::restored);
    journal.record_suspension("s-3", SuspensionState::suspended);
    while (journal.compact()) {
    }
    EXPECT_TRUE(journal.commit());
  }
  const Journal journal(folder, kLimit);
  EXPECT_EQ(journal.suspended_endpoints(), (std::set<std::string>{"s-1", "s-3"}));
  EXPECT_EQ(journal.messages().size(), 40U);
}

// Killed at any step of a compaction, with news written between the steps, all that is held is found again.
TEST_F(JournalTest, CompactionMayBeInterruptedAtAnyStep) {
  for (int stop = 0; stop < 12; stop++) {
    fs::remove_all(folder);
    fs::create_directories(folder);
    const std::string copy = folder + "-copy";
    std::map<MessageId, std::size_t> expected;
    {
      Journal journal(folder, kLimit);
      for (MessageId id = 1; id <= 12; id++)
        journal.record_message(id, message(std::to_string(id), 64 * 1024 - 1));
      ASSERT_TRUE(journal.commit());
      MessageId id = 100;
      for (int step = 0; step < stop; step++) {
        journal.compact();
        journal.record_message(id, message(std::to_string(id)));
        journal.record_attempt(id, 1, 0);
        journal.record_attempt(1, 1, 0);   // copied by now
        journal.record_attempt(12, 1, 0);  // may not be copied yet
        if (step == 3) journal.record_completed(5);
        id++;
        ASSERT_TRUE(journal.commit());
      }
      for (const auto& [number, held] : journal.messages()) expected[number] = held.attempts.size();
      fs::remove_all(copy);
      fs::copy(folder, copy);  // what SIGKILL would leave
    }
    {
      const Journal left(copy, kLimit);
      std::map<MessageId, std::size_t> found;
      for (const auto& [number, held] : left.messages()) found[number] = held.attempts.size();
      EXPECT_EQ(found, expected) << "stopped after step " << stop;
      EXPECT_FALSE(fs::exists(copy + "/journal.next"));
    }
    fs::remove_all(copy);
  }
}

// What is set aside for a message is the length of its own records, whatever it holds, and the same for those
// to come.
TEST_F(JournalTest, ReservedBytesAreTheLengthOfTheRecords) {
  Message bare, keyed = message("a"), ordered = message("long id", 5000);
  keyed.idempotency_key = "key";
  ordered.order_key = "about";
  std::vector<std::uint64_t> later;
  for (const Message& m : {bare, message("b"), keyed, ordered}) {
    Journal journal(folder, kLimit);
    const auto before = content().size();
    journal.record_message(1 + later.size(), m);
    ASSERT_TRUE(journal.commit());
    later.push_back(Journal::reserved_bytes(m) - (content().size() - before));
  }
  EXPECT_EQ(later, std::vector<std::uint64_t>(4, later[0]));
  EXPECT_GE(later[0], 8U * 50);  // eight attempts
  EXPECT_LT(later[0], 1000U);
}

TEST_F(JournalTest, LackOfCapacityIsReportedBeforeAMessageIsAccepted) {
  Journal journal(folder, 200'000);
  EXPECT_TRUE(journal.has_capacity_for(message("a", 1000)));
  EXPECT_FALSE(journal.has_capacity_for(message("a", 100'000)));
  EXPECT_FALSE(journal.has_capacity_for(message("a", 1000), 90'000));
}

}  // namespace
}  // namespace message_relay
