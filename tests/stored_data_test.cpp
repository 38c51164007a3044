// Compatibility of stored data: this build reads what an earlier one wrote (see tests/data/README.md).
#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "dispatch/dispatcher.hpp"
#include "journal.hpp"

namespace message_relay {
namespace {

namespace fs = std::filesystem;

constexpr std::uint64_t kJournalSizeLimit = 3'000'000;  // bytes
constexpr std::uint64_t kTornBytes = 41;  // the incomplete record at the end of the stored journal
constexpr Time kDeadline = 1'700'000'000'123'456;
constexpr Time kFirstAttemptAt = 1'700'000'000'000'000;
constexpr Time kLaterAttemptAt = 1'700'000'000'000'100;
constexpr MessageId kLargeMessageId = 4'000'000'007;  // exceeds a signed 32-bit integer

const std::string kDataFolder = MESSAGE_RELAY_TEST_DATA;

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  EXPECT_TRUE(in) << path;
  return {std::istreambuf_iterator<char>(in), {}};
}

std::string all_byte_values() {
  std::string bytes;
  for (int value = 0; value < 256; value++) bytes += static_cast<char>(value);
  return bytes;
}

Message message(const std::string& id) {
  Message message;
  message.id = id;
  message.message_class = "pay-and-order";
  message.tenant = "acme";
  message.destination = 7;
  message.deadline = kDeadline;
  message.body = "body of " + id;
  return message;
}

Message plain_message() {
  Message plain = message("plain");
  plain.resubmitted = true;
  plain.body = all_byte_values();
  return plain;
}

Message keyed_message() {
  Message keyed = message("keyed");
  keyed.message_class = "load-status";
  keyed.tenant = "";
  keyed.destination = -8;
  keyed.idempotency_key = "key-1";
  return keyed;
}

Message ordered_message() {
  Message ordered = message("ordered");
  ordered.order_key = "about-1";
  return ordered;
}

Message keyed_and_ordered_message() {
  Message keyed_and_ordered = message("both");
  keyed_and_ordered.idempotency_key = "key-2";
  keyed_and_ordered.order_key = "about-2";
  return keyed_and_ordered;
}

Message message_without_body() {
  Message empty = message("empty");
  empty.body = "";
  return empty;
}

const std::vector<Outcome> kOutcomes = {Outcome::succeeded, Outcome::error,          Outcome::rejected,
                                        Outcome::timeout,   Outcome::connect_failed, Outcome::reset,
                                        Outcome::cancelled, Outcome::not_sent};

auto fields_of(const Message& message) {
  return std::tie(message.id, message.message_class, message.tenant, message.destination, message.deadline,
                  message.resubmitted, message.body, message.idempotency_key, message.order_key);
}

void expect_message(const Message& found, const Message& expected) {
  EXPECT_EQ(fields_of(found), fields_of(expected));
}

void expect_attempt(const Attempt& found, Time sent_at, int zone, std::optional<Outcome> outcome) {
  EXPECT_EQ(found.sent_at, sent_at);
  EXPECT_EQ(found.zone, zone);
  EXPECT_EQ(found.outcome, outcome);
}

// Works on a copy of the stored journal, since opening a journal truncates an incomplete record at its end.
class StoredJournalTest : public ::testing::Test {
 protected:
  void SetUp() override {
    fs::remove_all(folder);
    fs::create_directories(folder);
  }
  void TearDown() override { fs::remove_all(folder); }

  void copy_stored_journal() const { fs::copy_file(kDataFolder + "/journal", folder + "/journal"); }

  const std::string folder =
      (fs::temp_directory_path() / ("stored-data-test-" + std::to_string(::getpid()))).string();
};

TEST_F(StoredJournalTest, MessagesAreReadAsTheyWereWritten) {
  copy_stored_journal();
  const Journal journal(folder, kJournalSizeLimit);
  EXPECT_EQ(journal.dropped_bytes(), kTornBytes);
  ASSERT_EQ(journal.messages().size(), 6U);
  EXPECT_EQ(journal.unanswered_count(), 4U);
  expect_message(journal.messages().at(1).message, plain_message());
  expect_message(journal.messages().at(2).message, keyed_message());
  expect_message(journal.messages().at(3).message, ordered_message());
  expect_message(journal.messages().at(4).message, keyed_and_ordered_message());
  expect_message(journal.messages().at(6).message, message("undeliverable"));
  expect_message(journal.messages().at(kLargeMessageId).message, message_without_body());
}

TEST_F(StoredJournalTest, AttemptsAndOutcomesAreReadAsTheyWereWritten) {
  copy_stored_journal();
  const Journal journal(folder, kJournalSizeLimit);
  const std::vector<Attempt>& attempts = journal.messages().at(1).attempts;
  ASSERT_EQ(attempts.size(), kOutcomes.size() + 1);
  for (std::size_t i = 0; i < kOutcomes.size(); i++) {
    const int number = static_cast<int>(i);
    expect_attempt(attempts[i], kFirstAttemptAt + number, number % 3, kOutcomes[i]);
  }
  expect_attempt(attempts.back(), kLaterAttemptAt, -1, std::nullopt);
  ASSERT_EQ(journal.messages().at(2).attempts.size(), 1U);
  expect_attempt(journal.messages().at(2).attempts[0], kFirstAttemptAt + 200, 2, Outcome::rejected);
  for (const MessageId unattempted : {MessageId{3}, MessageId{4}, MessageId{6}, kLargeMessageId})
    EXPECT_TRUE(journal.messages().at(unattempted).attempts.empty()) << unattempted;
}

TEST_F(StoredJournalTest, FinalAnswersAreReadAsTheyWereWritten) {
  copy_stored_journal();
  const Journal journal(folder, kJournalSizeLimit);
  for (const MessageId open : {MessageId{1}, MessageId{2}, MessageId{3}, kLargeMessageId})
    EXPECT_FALSE(journal.messages().at(open).final_answer.has_value()) << open;
  const std::optional<FinalAnswer>& deferred = journal.messages().at(4).final_answer;
  ASSERT_TRUE(deferred.has_value());
  EXPECT_TRUE(deferred->retryable);
  EXPECT_EQ(deferred->retry_after, 250'000);
  const std::optional<FinalAnswer>& undeliverable = journal.messages().at(6).final_answer;
  ASSERT_TRUE(undeliverable.has_value());
  EXPECT_FALSE(undeliverable->retryable);
  EXPECT_EQ(undeliverable->retry_after, 0);
}

TEST_F(StoredJournalTest, SuspendedEndpointsAreReadAsTheyWereWritten) {
  copy_stored_journal();
  const Journal journal(folder, kJournalSizeLimit);
  EXPECT_EQ(journal.suspended_endpoints(), (std::set<std::string>{"s-1", "s-3"}));
}

// If an upgrade is rolled back, the earlier build must be able to read what this one wrote.
TEST_F(StoredJournalTest, JournalWritesTheBytesOfTheEarlierBuild) {
  Journal journal(folder, kJournalSizeLimit);
  journal.record_message(1, plain_message());
  journal.record_message(2, keyed_message());
  journal.record_message(3, ordered_message());
  journal.record_message(4, keyed_and_ordered_message());
  journal.record_message(5, message("over"));
  journal.record_message(6, message("undeliverable"));
  journal.record_message(kLargeMessageId, message_without_body());
  for (std::size_t i = 0; i < kOutcomes.size(); i++) {
    const int number = static_cast<int>(i);
    journal.record_attempt(1, kFirstAttemptAt + number, number % 3);
    journal.record_outcome(1, number, kOutcomes[i]);
  }
  journal.record_attempt(1, kLaterAttemptAt, -1);
  journal.record_attempt(2, kFirstAttemptAt + 200, 2);
  journal.record_outcome(2, 0, Outcome::rejected);
  journal.record_attempt(5, kFirstAttemptAt + 300, 1);
  journal.record_outcome(5, 0, Outcome::succeeded);
  journal.record_completed(5);
  journal.record_final_answer(4, {true, 250'000});
  journal.record_final_answer(6, {false, 0});
  journal.record_suspension("s-1", SuspensionState::suspended);
  journal.record_suspension("s-2", SuspensionState::suspended);
  journal.record_suspension("s-3", SuspensionState::suspended);
  journal.record_suspension("s-2", SuspensionState::restored);
  ASSERT_TRUE(journal.commit());
  const std::string stored = read_file(kDataFolder + "/journal");
  ASSERT_GT(stored.size(), kTornBytes);
  EXPECT_TRUE(read_file(folder + "/journal") == stored.substr(0, stored.size() - kTornBytes));
}

// Settings with the same number of classes (three) and kinds (two) as those with which the text was written.
dispatch::Settings stored_state_settings() {
  dispatch::Settings settings;
  settings.classes.resize(3);
  settings.kinds.resize(2);
  settings.kinds[1].independent_endpoints = true;
  settings.kinds[1].max_batch_size = 4;
  settings.min_round_interval = 5'000;
  return settings;
}

std::vector<dispatch::Endpoint> stored_state_endpoints() {
  return {{.id = "a", .destination = 1},
          {.id = "b", .destination = 1, .weight = 2, .added_at = 500'000},
          {.id = "c", .destination = 2},
          {.id = "d", .destination = 3, .kind = 1},
          {.id = "e", .destination = 3, .kind = 1},
          {.id = "f", .destination = 4},
          {.id = "g", .destination = 5}};
}

// The learned state is returned exactly as it was restored. The earlier build returns the same text, too,
// after it has restored it.
TEST(StoredLearnedStateTest, IsReturnedUnchangedAfterItIsRestored) {
  constexpr Time written_at = 10'000'000;
  const std::string stored = read_file(kDataFolder + "/learned_state.txt");
  dispatch::Dispatcher dispatcher(stored_state_settings(), 1);
  std::vector<dispatch::Action> actions;
  dispatcher.handle(written_at, {dispatch::event::EndpointListSnapshot{stored_state_endpoints(), false}},
                    actions);
  EXPECT_NE(dispatcher.learned_state(), stored) << "the stored text has only default values";
  EXPECT_EQ(dispatcher.excluded_endpoint_count(), 0U);
  dispatcher.handle(written_at, {dispatch::event::LearnedStateRestored{stored}}, actions);
  EXPECT_EQ(dispatcher.learned_state(), stored);
  EXPECT_EQ(dispatcher.excluded_endpoint_count(), 2U)
      << "expected: b, whose calls failed, and g, which refused connections";
}

}  // namespace
}  // namespace message_relay
