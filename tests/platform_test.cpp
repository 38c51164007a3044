// The discovery client and the sender of final notices against a fake agent, then the program started with a
// cached endpoint list.
#include "platform.hpp"

#include "json_stream_splitter.hpp"
#include "relay_harness.hpp"

namespace message_relay::testing {
namespace {

using dispatch::event::SubscriptionLossReason;

TEST(JsonStreamSplitterTest, ReturnsCompleteValuesHoweverTheyAreBroken) {
  const std::string first = "{\n  \"a\": \"}{ \\\" \\\\\",\n  \"b\": [\n    {}\n  ]\n}", second = "[1,[2]]";
  const std::string all = "\n \r\n" + first + "\n\n\t" + second + "\n";
  for (std::size_t size = 1; size <= all.size(); size++) {
    JsonStreamSplitter stream;
    std::vector<std::string> got;
    for (std::size_t at = 0; at < all.size(); at += size) {
      stream.append(all.substr(at, size));
      while (const auto one = stream.next()) got.push_back(*one);
    }
    EXPECT_EQ(got, (std::vector<std::string>{first, second})) << "in pieces of " << size;
    EXPECT_FALSE(stream.malformed());
    EXPECT_EQ(stream.buffered_bytes(), 0U) << "empty lines are not kept";
  }
}

TEST(JsonStreamSplitterTest, ReportsAtOnceWhatBeginsNoValue) {
  JsonStreamSplitter stream;
  stream.append("{} what");
  EXPECT_TRUE(stream.next());
  EXPECT_FALSE(stream.next());
  EXPECT_TRUE(stream.malformed());
}

std::string chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}
const std::string kHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

tcp::endpoint where(const FakeServer& server) { return read_address(server.address(), "test"); }

class PlatformTest : public ::testing::Test {
 protected:
  PlatformTest() : agent(io, [this](const ReceivedRequest& g) { asked.push_back(g); }) {}
  void begin(std::chrono::microseconds answer, std::chrono::microseconds silent,
             std::chrono::microseconds notice = kLong) {
    platform.emplace(
        io, where(agent), names, PlatformTimeouts{answer, silent, notice}, 41,
        [this](EndpointList list) { lists.push_back(std::move(list)); },
        [this](SubscriptionLossReason why) { lost.push_back(why); }, [](const std::vector<MessageId>&) {});
    platform->watch();
  }
  template <class Condition>
  void wait_for(Condition condition, const char* what) {
    const auto until = std::chrono::steady_clock::now() + kConditionTimeout;
    while (!condition()) {
      ASSERT_LT(std::chrono::steady_clock::now(), until) << "waited in vain until " << what;
      io.restart();
      io.run_one_for(std::chrono::milliseconds(5));
    }
  }
  static std::string list(int index) {
    return "{\n  \"index\": " + std::to_string(index) +
           ",\n  \"snapshot\": false,\n  \"endpoints\": [\n    {\n      \"name\": \"s-1\",\n      "
           "\"address\": "
           "\"127.0.0.1:1\",\n      \"group\": 7,\n      \"status\": \"draining\"\n    }\n  ]\n}\n";
  }

  net::io_context io;
  FakeServer agent;
  std::vector<ReceivedRequest> asked;
  configuration::SettingNames names;
  std::vector<EndpointList> lists;
  std::vector<SubscriptionLossReason> lost;
  std::optional<Platform> platform;
  static constexpr std::chrono::microseconds kLong = std::chrono::seconds(300), kShort{20'000};
};

// Read line by line, the first line of an indented list would end the watch.
TEST_F(PlatformTest, IndentedListsAreRead) {
  begin(kLong, kLong);
  wait_for([&] { return asked.size() == 1; }, "the watch");
  const std::string two = "\n" + list(42) + "\n" + list(43) + "\n";
  asked[0].session->write(kHead + chunk(two.substr(0, 60)));
  asked[0].session->write(chunk(two.substr(60)));
  wait_for([&] { return lists.size() == 2 || !lost.empty(); }, "both lists");
  EXPECT_TRUE(lost.empty());
  ASSERT_EQ(lists.size(), 2U);
  EXPECT_EQ(lists[0].version, 42);
  EXPECT_EQ(lists[1].entries.at(0).endpoint.status, dispatch::EndpointStatus::draining);
}

// Where no response begins, the timeout for responses applies, not that for a watch without data.
TEST_F(PlatformTest, AQueryWithoutAResponseTimesOut) {
  begin(kShort, kLong);
  wait_for([&] { return !lost.empty(); }, "its timeout");
  EXPECT_EQ(lost, std::vector<SubscriptionLossReason>{SubscriptionLossReason::failed});
}

TEST_F(PlatformTest, AWatchWithoutDataIsReportedAsTimedOut) {
  begin(kLong, kShort);
  wait_for([&] { return asked.size() == 1; }, "the watch");
  asked[0].session->write(kHead + chunk(list(42)));
  wait_for([&] { return !lost.empty(); }, "its end");
  EXPECT_EQ(lost, std::vector<SubscriptionLossReason>{SubscriptionLossReason::timed_out});
}

// A list that still comes from the former address after discovery has moved is dropped.
TEST_F(PlatformTest, AListFromTheFormerAddressIsDropped) {
  FakeServer moved(io, [this](const ReceivedRequest& g) { asked.push_back(g); });
  begin(kLong, kLong);
  wait_for([&] { return asked.size() == 1; }, "the watch");
  asked[0].session->write(kHead + chunk(list(42)));
  platform->relocate(where(moved));  // it lies unread in the socket
  EXPECT_EQ(lost, std::vector<SubscriptionLossReason>{SubscriptionLossReason::relocated});
  platform->watch();
  wait_for([&] { return asked.size() == 2; }, "the watch at the new address");
  EXPECT_EQ(asked[1].request.target(), "/catalog/members?follow=1&since=0");
  asked[1].session->write(kHead + chunk(list(3)));
  wait_for([&] { return !lists.empty(); }, "its list");
  EXPECT_EQ(lists[0].version, 3);
}

// After a move, a snapshot is queried where only changes came. Should that fail, it is as overdue as what a
// watch without data has missed, and must not wait for the backoff after a watch that has just failed.
TEST_F(PlatformTest, ASnapshotThatFailsAfterAMoveIsReportedAsTimedOut) {
  FakeServer moved(io, [this](const ReceivedRequest& g) { asked.push_back(g); });
  begin(kLong, kLong);
  platform->relocate(where(moved));
  platform->watch();
  wait_for([&] { return asked.size() == 1; }, "the watch at the new address");
  asked[0].session->write(kHead + chunk(list(3)));
  wait_for([&] { return asked.size() == 2; }, "the query of a snapshot");
  EXPECT_EQ(asked[1].request.target(), "/catalog/members");
  asked[1].session->close();
  wait_for([&] { return lost.size() == 2; }, "its loss");
  EXPECT_EQ(lost, (std::vector<SubscriptionLossReason>{SubscriptionLossReason::relocated,
                                                       SubscriptionLossReason::timed_out}));
}

// An idle connection falls silent just as a notice is written to it: the notice is sent on a new one, long
// before the second after which its message would be lost. A run counts for nothing where the machine stood
// still meanwhile.
TEST_F(PlatformTest, ANoticeOnASilentConnectionIsRetriedOnANewOne) {
  bool in_time = false;
  for (int attempt = 0; attempt < 20 && !in_time; attempt++) {
    asked.clear();
    lost.clear();
    agent.on_request([&](const ReceivedRequest& g) {
      if (g.request.method() == http::verb::post) asked.push_back(g);
    });
    begin(std::chrono::milliseconds(800), kLong, kShort);  // the watch that nobody answers tells the time
    platform->send_final_notice(1, "m1", {});
    wait_for([&] { return asked.size() == 1; }, "the first notice");
    asked[0].session->respond(204);
    wait_for([&] { return !platform->has_pending_notices(); }, "its answer");
    platform->send_final_notice(2, "m2", {});
    wait_for([&] { return asked.size() == 2; }, "the second on the same connection");
    EXPECT_EQ(asked[1].session, asked[0].session);
    wait_for([&] { return asked.size() == 3; }, "the second once more");
    EXPECT_NE(asked[2].session, asked[0].session);
    EXPECT_EQ(asked[2].request.body(), asked[1].request.body());
    in_time = lost.empty();
  }
  EXPECT_TRUE(in_time);
}

// ---- The program. ----
class CachedListTest : public RelayTest {
 protected:
  CachedListTest() {
    discovery_mode = "automatic";
    relay_count = 300;
  }
  // Runs a process that accepts m1 while no endpoint may be sent anything, and ends it.
  void leave_one_unattempted() {
    endpoint_entries = endpoint_entry("s-1", endpoint.address(), "draining");
    spawn(config());
    wait_for([&] { return log_text().find("draining or removed: s-1") != std::string::npos; }, "its list");
    EXPECT_EQ(submit("m1", "load-status"), 202U);
    kill_relay();
    endpoint_entries = endpoint_entry("s-1", endpoint.address());
  }
};

// While a process was down, its endpoint was announced as draining. The messages that it recovers wait for
// the agent's list, provided that it comes within the hold time: a machine too slow for that shows in the
// log, and the test runs again.
TEST_F(CachedListTest, RecoveredMessagesWaitForTheAgentsList) {
  FakeServer other(io, respond_ok);
  for (int attempt = 0; attempt < 50; attempt++) {
    std::filesystem::remove_all(folder + "/state");
    std::filesystem::create_directories(folder + "/state");
    platform.on_request([this](const ReceivedRequest& g) { handle_platform_request(g); });
    leave_one_unattempted();
    std::filesystem::remove(folder + "/log");
    platform.on_request([&](const ReceivedRequest& g) {
      g.session->write(kHead + chunk(endpoint_list(endpoint_entry("s-1", endpoint.address(), "draining") +
                                                   "," + endpoint_entry("s-2", other.address()))));
    });
    other.received.clear();
    spawn(config());  // its known list: s-1 is ready
    wait_for([&] { return !other.received.empty() || !endpoint.received.empty(); }, "a call");
    if (log_text().find("endpoint_list_cached_in_use") == std::string::npos) break;
    kill_relay();
  }
  EXPECT_EQ(log_text().find("endpoint_list_cached_in_use"), std::string::npos);
  EXPECT_TRUE(endpoint.received.empty()) << "it was sent to a draining endpoint";
  ASSERT_FALSE(other.received.empty());
  EXPECT_EQ(other.received[0].request["X-Request-Id"], "m1");
}

// While discovery is down the agent does not respond: the cached list is used.
TEST_F(CachedListTest, IsUsedWhileTheAgentDoesNotRespond) {
  platform.on_request(leave_unanswered);
  start();
  EXPECT_EQ(submit("m1", "load-status"), 202U);
  wait_for([&] { return !endpoint.received.empty(); }, "the call");
  EXPECT_NE(log_text().find("endpoint_list_cached_in_use"), std::string::npos);
  wait_for([&] { return platform.received.size() >= 3; }, "the agent is asked on");
}

// The configuration moves discovery while the first watch has no response yet: a watch at the new address is
// begun at once, and a list from the former one is dropped.
TEST_F(CachedListTest, AMoveDuringTheFirstWatchIsFollowed) {
  FakeServer other(io, respond_ok);
  FakeServer moved(io, [&](const ReceivedRequest& g) {
    g.session->write(kHead + chunk(endpoint_list(endpoint_entry("s-2", other.address()))));
  });
  platform.on_request(leave_unanswered);
  start();
  wait_for([&] { return !platform.received.empty(); }, "the first call");
  const auto first = platform.received[0].session;
  reload(config(moved.address()));
  wait_for([&] { return log_text().find("snapshot, 1 endpoints") != std::string::npos; },
           "the new address's list");
  first->write(kHead + chunk(endpoint_list(endpoint_entry("s-1", endpoint.address()))));
  EXPECT_EQ(submit("m1", "load-status"), 202U);
  wait_for([&] { return !other.received.empty() || !endpoint.received.empty(); }, "the call");
  EXPECT_TRUE(endpoint.received.empty()) << "the new list does not name it";
}

// During an outage the agent accepts connections and does not respond. The list it has at its return is
// binding at once, so it must be queried soon.
TEST_F(CachedListTest, TheAgentsListIsQueriedSoonAfterAnOutage) {
  FakeServer other(io, respond_ok);
  start();
  wait_for([&] { return watches.size() == 1; }, "the watch");
  platform.on_request(leave_unanswered);
  const auto before = platform.received.size();
  watches[0]->close();
  wait_for([&] { return platform.received.size() >= before + 3; }, "calls for the list through the outage");
  EXPECT_EQ(submit("m1", "load-status"), 202U);
  wait_for([&] { return endpoint.received.size() == 1; }, "service by what is known");
  platform.on_request([&](const ReceivedRequest& g) {
    g.session->write(kHead + chunk(endpoint_list(endpoint_entry("s-1", endpoint.address(), "draining") + "," +
                                                 endpoint_entry("s-2", other.address()))));
  });
  wait_for([&] { return log_text().find("draining or removed: s-1") != std::string::npos; },
           "the list at its return");
  EXPECT_EQ(submit("m2", "load-status"), 202U);
  wait_for([&] { return !other.received.empty(); }, "the call goes elsewhere");
  EXPECT_EQ(endpoint.received.size(), 1U);
}

}  // namespace
}  // namespace message_relay::testing
