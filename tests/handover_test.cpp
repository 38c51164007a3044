// One process takes over from another on the same folder. The real program meets itself, or a stand-in that
// leaves at each step of the handover.
//
// The first process of an upgrade runs PREVIOUS_RELAY_PROGRAM, by default the program just built. Configured
// with MESSAGE_RELAY_PREVIOUS_PROGRAM, these tests play upgrades from an earlier build.
#include "handover.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/un.h>

#include <set>
#include <thread>

#include "relay_harness.hpp"

namespace message_relay::testing {
namespace {

const char* const kSafe = "load-status";
const char* const kUnsafe = "pay-and-order";
const std::string kHello = "heronvane handover 1\n";

class HandoverTest : public RelayTest {
 protected:
  HandoverTest() { program = PREVIOUS_RELAY_PROGRAM; }
  ~HandoverTest() override {
    if (first > 0) ::kill(first, SIGKILL), ::waitpid(first, nullptr, 0);
  }
  // A second process, of the program just built, next to the running one, which becomes `first`.
  void start_beside() {
    first = relay_pid;
    program = MESSAGE_RELAY_PROGRAM;
    spawn(config());
  }
  void wait_first_ends() {
    int status = 0;
    wait_for([&] { return ::waitpid(first, &status, WNOHANG) == first; }, "the first process ends");
    first = -1;
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  }
  sockaddr_un address() const {
    sockaddr_un a{};
    a.sun_family = AF_UNIX;
    (folder + "/state/handover").copy(a.sun_path, sizeof a.sun_path - 1);
    return a;
  }
  HandoverChannel ask() {
    FileDescriptor socket(::socket(AF_UNIX, SOCK_STREAM, 0));
    const auto to = address();
    wait_for([&] { return ::connect(socket.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0; },
             "the owner can be asked");
    HandoverChannel channel(std::move(socket));
    EXPECT_TRUE(channel.send(kHello));
    return channel;
  }
  // Takes all parts, with their descriptors.
  static std::vector<FileDescriptor> parts(HandoverChannel& channel) {
    std::vector<FileDescriptor> all;
    std::string payload;
    for (bool more = true; more && payload != "E";) {
      FileDescriptor fd;
      more = channel.receive(payload, fd);
      EXPECT_TRUE(more);
      if (fd) all.push_back(std::move(fd));
    }
    return all;
  }

  pid_t first = -1;
};

// All that is handed over comes as it was, with descriptors of the other process's own.
TEST(Handover, AnEstateComesAsItWas) {
  const auto base = std::filesystem::temp_directory_path() / ("handover-test-" + std::to_string(::getpid()));
  std::filesystem::create_directories(base);
  FileDescriptor lock(::open((base / "lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  ASSERT_EQ(::flock(lock.get(), LOCK_EX | LOCK_NB), 0);
  int pair[2];
  ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, pair), 0);
  const FileDescriptor near(pair[0]), far(pair[1]);

  HandoverState given;
  given.endpoint_list.version = 41, given.list_received = given.paused = true, given.next_message_id = 1234;
  ListedEndpoint m;
  m.endpoint.id = "s-1", m.endpoint.destination = 7, m.endpoint.zone = 1, m.endpoint.kind = 2;
  m.endpoint.status = dispatch::EndpointStatus::draining, m.endpoint.weight = 2.5, m.endpoint.added_at = -9;
  m.address = read_address("127.0.0.1:8081", "");
  given.endpoint_list.entries = {m};
  given.learned_state = std::string(200'000, 'x') + "\n";
  given.ever_listed = {"s-0", "s-1"}, given.destinations = {7, -8},
  given.completed_ids = {{55, "m5"}, {66, "m6"}};
  given.listener = near.get();
  given.clients = {{near.get(), true, 77}, {near.get(), false, 78}};
  InFlightCall call;
  call.socket = near.get(), call.endpoint = "s-1", call.address = m.address;
  call.sent_at = 11, call.response_due = 12, call.response_bytes = std::string("HTTP\0", 5);
  call.messages = {{900, 3, 44, "m900", ""}, {901, 0, 45, "m901", ""}};
  call.provisional_outcomes = {std::nullopt, Outcome::cancelled};
  given.calls = {call};

  StartupOwnership got;
  {
    net::io_context io;
    bool over = false;
    HandoverListener successors(io, base.string(), [&](HandoverChannel channel) {
      EXPECT_TRUE(hand_over(channel, given, lock.get()));
      over = true;
    });
    std::thread other([&] { got = acquire_ownership(base.string()); });
    while (!over) io.run_one();
    other.join();
  }
  EXPECT_TRUE(static_cast<bool>(got.lock));
  ASSERT_TRUE(got.inherited);
  const HandoverState& e = *got.inherited;
  EXPECT_EQ(e.endpoint_list.version, 41);
  EXPECT_TRUE(e.list_received && e.paused);
  EXPECT_EQ(e.next_message_id, 1234U);
  ASSERT_EQ(e.endpoint_list.entries.size(), 1U);
  const auto& x = e.endpoint_list.entries[0].endpoint;
  EXPECT_EQ(x.id, "s-1");
  EXPECT_EQ(x.destination, 7);
  EXPECT_EQ(x.zone, 1);
  EXPECT_EQ(x.kind, 2);
  EXPECT_EQ(x.status, dispatch::EndpointStatus::draining);
  EXPECT_EQ(x.weight, 2.5);
  EXPECT_EQ(x.added_at, -9);
  EXPECT_EQ(e.endpoint_list.entries[0].address, m.address);
  EXPECT_EQ(e.learned_state, given.learned_state);
  EXPECT_EQ(e.ever_listed, given.ever_listed);
  EXPECT_EQ(e.destinations, given.destinations);
  EXPECT_EQ(e.completed_ids, given.completed_ids);
  ASSERT_EQ(e.clients.size(), 2U);
  EXPECT_TRUE(e.clients[0].served_before && !e.clients[1].served_before);
  EXPECT_EQ(e.clients[1].idle_since, 78);
  ASSERT_EQ(e.calls.size(), 1U);
  EXPECT_EQ(e.calls[0].endpoint, "s-1");
  EXPECT_EQ(e.calls[0].address, m.address);
  EXPECT_EQ(e.calls[0].sent_at, 11);
  EXPECT_EQ(e.calls[0].response_due, 12);
  EXPECT_EQ(e.calls[0].response_bytes, call.response_bytes);
  ASSERT_EQ(e.calls[0].messages.size(), 2U);
  EXPECT_EQ(e.calls[0].messages[0].id, 900U);
  EXPECT_EQ(e.calls[0].messages[0].attempt, 3);
  EXPECT_EQ(e.calls[0].messages[1].timeout, 45);
  EXPECT_EQ(e.calls[0].messages[1].client_id, "m901");
  EXPECT_EQ(e.calls[0].provisional_outcomes, call.provisional_outcomes);
  // Each descriptor is another one of the same socket.
  std::set<int> all{e.listener, e.clients[0].socket, e.clients[1].socket, e.calls[0].socket, near.get()};
  EXPECT_EQ(all.size(), 5U);
  EXPECT_EQ(::write(e.calls[0].socket, "x", 1), 1);
  char byte = 0;
  EXPECT_EQ(::read(far.get(), &byte, 1), 1);
  all.erase(near.get());
  for (const int fd : all) ::close(fd);
  std::filesystem::remove_all(base);
}

// Calls out, clients' connections, the listening socket and what is held change hands; nothing ends, nothing
// is sent twice.
TEST_F(HandoverTest, ASecondProcessGoesOnWithAllThatTheFirstHad) {
  endpoint.on_request(leave_unanswered);
  start();
  const auto client = connect();
  client->write(request("m1", kUnsafe));
  wait_for([&] { return client->responses.size() == 1 && endpoint.received.size() == 1; }, "a call is out");
  start_beside();
  wait_first_ends();
  client->write(request("m2", kUnsafe));
  wait_for([&] { return client->responses.size() == 2; }, "the answer on the connection of before");
  EXPECT_EQ(client->responses[1].result_int(), 202U);
  EXPECT_EQ(submit("m1", kUnsafe), 202U);  // it is known here too
  wait_for([&] { return endpoint.received.size() == 2; }, "the second call");
  EXPECT_EQ(endpoint.received[1].request["X-Request-Id"], "m2");
  EXPECT_FALSE(endpoint.received[0].session->closed);
  for (const auto& got : std::vector<ReceivedRequest>(endpoint.received)) got.session->respond(200);
  endpoint.on_request(respond_ok);
  EXPECT_EQ(submit("m3", kSafe), 202U);
  wait_for([&] { return endpoint.received.size() == 3; }, "the third call");
  EXPECT_EQ(submit("m1", kUnsafe), 202U);  // over by now, and still known
  ::kill(relay_pid, SIGTERM);
  EXPECT_EQ(wait_for_exit(), 0);
  EXPECT_EQ(endpoint.received.size(), 3U);
  EXPECT_EQ(final_notices, "");
  EXPECT_NE(log_text().find("stopped: 0 messages left"), std::string::npos);
}

// An answer of which the first process has read a part is read to its end by the second.
TEST_F(HandoverTest, AnAnswerInPiecesIsReadOn) {
  max_calls_in_flight = 1;
  endpoint.on_request([](const ReceivedRequest& g) { g.session->write("HTTP/1.1 2"); });
  start();
  EXPECT_EQ(submit("m1", kUnsafe), 202U);
  wait_for([&] { return endpoint.received.size() == 1; }, "the call");
  start_beside();
  wait_first_ends();
  endpoint.received[0].session->write("00 OK\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(submit("m2", kUnsafe), 202U);
  wait_for([&] { return endpoint.received.size() == 2; }, "its slot is free");
  EXPECT_EQ(final_notices, "");
}

// A slot that a call of the first process holds is held.
TEST_F(HandoverTest, ACallOutHoldsItsSlotAcross) {
  max_calls_in_flight = 1;
  endpoint.on_request(leave_unanswered);
  start();
  EXPECT_EQ(submit("m1", kUnsafe, "x", "24000m"), 202U);
  wait_for([&] { return endpoint.received.size() == 1; }, "the call");
  start_beside();
  wait_first_ends();
  EXPECT_EQ(submit("m2", kUnsafe, "x", "24000m"), 202U);
  EXPECT_EQ(submit("m3", kUnsafe, "x", "24000m"), 202U);
  EXPECT_EQ(endpoint.received.size(), 1U);
  endpoint.received[0].session->respond(200);
  wait_for([&] { return endpoint.received.size() == 2; }, "the next call once it has ended");
}

TEST_F(HandoverTest, AToldWaitBindsAcross) {
  std::chrono::steady_clock::time_point told;
  endpoint.on_request([&](const ReceivedRequest& g) {
    told = std::chrono::steady_clock::now();
    g.session->respond(429, "X-Come-Back-Ms: 1500\r\n");
  });
  start();
  EXPECT_EQ(submit("m1", kUnsafe, "x", "24000m"), 202U);
  wait_for([&] { return endpoint.received.size() == 1; }, "the call that is told to wait");
  const auto until = told + std::chrono::milliseconds(1500);
  endpoint.on_request(respond_ok);
  EXPECT_EQ(submit("m2", kUnsafe, "x", "24000m"), 202U);
  start_beside();
  wait_first_ends();
  EXPECT_EQ(submit("m3", kUnsafe, "x", "24000m"), 202U);
  wait_for([&] { return endpoint.received.size() == 2; }, "the next call");
  EXPECT_GE(std::chrono::steady_clock::now(), until);
}

// Whatever the step at which the one that asks leaves, the owner goes on, and nothing is lost or sent twice.
TEST_F(HandoverTest, AnAskerThatLeavesAtAnyStepChangesNothing) {
  endpoint.on_request(leave_unanswered);
  start();
  const auto client = connect();
  client->write(request("m0", kUnsafe, "x", "24000m"));
  wait_for([&] { return endpoint.received.size() == 1; }, "a call is out");
  for (int step = 0; step < 4; step++) {
    {
      HandoverChannel channel = ask();
      if (step >= 1) {
        const auto descriptors = parts(channel);
        EXPECT_GE(descriptors.size(), 4U);  // the lock, the listening socket, the client, the call
        if (step >= 2) {
          EXPECT_TRUE(channel.send("ready"));
        }
        if (step >= 3) {
          EXPECT_TRUE(channel.receive_exactly("yours"));
        }
      }
    }
    client->write(request("m" + std::to_string(step + 1), kUnsafe, "x", "24000m"));
    const auto answers = static_cast<std::size_t>(step) + 2;
    wait_for([&] { return client->responses.size() == answers; }, "the answer of the owner");
    EXPECT_EQ(client->responses.back().result_int(), 202U);
  }
  for (const auto& got : std::vector<ReceivedRequest>(endpoint.received)) got.session->respond(200);
  endpoint.on_request(respond_ok);
  wait_for([&] { return endpoint.received.size() == 5; }, "one call each");
  EXPECT_EQ(health_status(), 200U);
  EXPECT_EQ(final_notices, "");
}

// Whatever the step at which the owner is killed, the one that asks starts as after any restart.
TEST_F(HandoverTest, AnOwnerThatIsKilledAtAnyStepLeavesTheFolder) {
  program = MESSAGE_RELAY_PROGRAM;  // here the test plays the owner, and the program asks
  for (int step = 0; step < 4; step++) {
    FileDescriptor listening(::socket(AF_UNIX, SOCK_STREAM, 0));
    const auto at = address();
    ::unlink(at.sun_path);
    ASSERT_EQ(::bind(listening.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at), 0);
    ASSERT_EQ(::listen(listening.get(), 1), 0);
    {
      FileDescriptor lock(::open((folder + "/state/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
      ASSERT_EQ(::flock(lock.get(), LOCK_EX | LOCK_NB), 0);
      endpoint_entries = endpoint_entry("s-1", endpoint.address());
      spawn(config());
      HandoverChannel channel(FileDescriptor(::accept(listening.get(), nullptr, nullptr)));
      EXPECT_TRUE(channel.receive_exactly(kHello));
      if (step >= 1) {
        EXPECT_TRUE(channel.send("K", lock.get()));
      }
      if (step >= 2) {
        EXPECT_TRUE(channel.send("L", listening.get()));
      }
      if (step >= 3) {
        EXPECT_TRUE(channel.send("E") && channel.receive_exactly("ready"));
      }
      listening = FileDescriptor();
    }
    wait_for([&] { return health_status() == 200; }, "it is ready");
    EXPECT_EQ(submit("m" + std::to_string(step), kSafe), 202U);
    wait_for([&] { return endpoint.received.size() == static_cast<std::size_t>(step) + 1; }, "the call");
    // An orderly end: a process killed here may not have read the response, and the next one repeats the
    // call.
    ::kill(relay_pid, SIGTERM);
    EXPECT_EQ(wait_for_exit(), 0);
  }
}

// A process that stands still hands nothing over; the next one takes up what it held once it has ended, and a
// call that was out may have run.
TEST_F(HandoverTest, AnOwnerThatIsStuckIsWaitedFor) {
  endpoint.on_request(leave_unanswered);
  start();
  EXPECT_EQ(submit("m1", kUnsafe), 202U);
  EXPECT_EQ(submit("m2", kSafe), 202U);
  wait_for([&] { return endpoint.received.size() == 2; }, "both calls");
  ::kill(relay_pid, SIGSTOP);
  start_beside();
  ::kill(first, SIGKILL);
  wait_for([&] { return ::waitpid(first, nullptr, WNOHANG) == first; }, "its end");
  first = -1;
  wait_for([&] { return health_status() == 200; }, "the next one is ready");
  wait_for([&] { return endpoint.received.size() == 3 && !final_notices.empty(); }, "what was held goes on");
  EXPECT_EQ(endpoint.received[2].request["X-Request-Id"], "m2");
  EXPECT_EQ(final_notices, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
}

// Many in a row, and clients that hand in all the while: each message is delivered once.
TEST_F(HandoverTest, UpgradesInARowUnderLoadLoseNothing) {
  start();
  std::size_t handed = 0;
  for (int round = 0; round < 4; round++) {
    start_beside();
    while (first > 0) {
      handed++;
      EXPECT_EQ(submit("m" + std::to_string(handed), handed % 2 ? kSafe : kUnsafe), 202U);
      if (::waitpid(first, nullptr, WNOHANG) == first) first = -1;
    }
  }
  wait_for([&] { return endpoint.received.size() >= handed; }, "every call");
  ::kill(relay_pid, SIGTERM);
  EXPECT_EQ(wait_for_exit(), 0);
  std::set<std::string> ids;
  for (const auto& got : endpoint.received) ids.insert(std::string(got.request["X-Request-Id"]));
  for (std::size_t i = 1; i <= handed; i++) EXPECT_EQ(ids.count("m" + std::to_string(i)), 1U) << "m" << i;
  EXPECT_EQ(endpoint.received.size(), handed);
  EXPECT_EQ(final_notices, "");
}

}  // namespace
}  // namespace message_relay::testing
