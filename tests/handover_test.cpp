// Handover of a state folder from one process to another: between two processes of the real program, or
// between the program and a peer, played by the test, that disconnects or dies at each step of the protocol.
//
// The first process of an upgrade runs PREVIOUS_RELAY_PROGRAM, by default the program just built. Configured
// with MESSAGE_RELAY_PREVIOUS_PROGRAM, these tests upgrade from an earlier build.
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

const char* const kReadLikeClass = "load-status";
const char* const kNonIdempotentClass = "pay-and-order";
const std::string kGreeting = "heronvane handover 1\n";

class HandoverTest : public RelayTest {
 protected:
  HandoverTest() { program = PREVIOUS_RELAY_PROGRAM; }
  ~HandoverTest() override {
    if (predecessor > 0) {
      ::kill(predecessor, SIGKILL);
      ::waitpid(predecessor, nullptr, 0);
    }
  }
  // Starts a second process, of the program just built, next to the running one, whose process id moves to
  // `predecessor`.
  void start_successor() {
    predecessor = relay_pid;
    program = MESSAGE_RELAY_PROGRAM;
    spawn(config());
  }
  void wait_for_predecessor_exit() {
    int status = 0;
    wait_for([&] { return ::waitpid(predecessor, &status, WNOHANG) == predecessor; },
             "the predecessor exits");
    predecessor = -1;
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  }
  sockaddr_un handover_address() const {
    sockaddr_un socket_address{};
    socket_address.sun_family = AF_UNIX;
    (folder + "/state/handover").copy(socket_address.sun_path, sizeof socket_address.sun_path - 1);
    return socket_address;
  }
  // Connects to the owner and sends the greeting of a process that wants to take over.
  HandoverChannel request_handover() {
    FileDescriptor socket(::socket(AF_UNIX, SOCK_STREAM, 0));
    const auto owner = handover_address();
    wait_for(
        [&] { return ::connect(socket.get(), reinterpret_cast<const sockaddr*>(&owner), sizeof owner) == 0; },
        "the owner accepts a connection");
    HandoverChannel channel(std::move(socket));
    EXPECT_TRUE(channel.send(kGreeting));
    return channel;
  }
  // Receives all records up to the closing "E" and returns the descriptors that came with them.
  static std::vector<FileDescriptor> receive_descriptors(HandoverChannel& channel) {
    std::vector<FileDescriptor> descriptors;
    std::string payload;
    for (bool more = true; more && payload != "E";) {
      FileDescriptor descriptor;
      more = channel.receive(payload, descriptor);
      EXPECT_TRUE(more);
      if (descriptor) descriptors.push_back(std::move(descriptor));
    }
    return descriptors;
  }

  pid_t predecessor = -1;
};

// The new process receives every field as it was sent, and its own duplicates of the descriptors.
TEST(Handover, StateArrivesAsSentWithDuplicatedDescriptors) {
  const auto base = std::filesystem::temp_directory_path() / ("handover-test-" + std::to_string(::getpid()));
  std::filesystem::create_directories(base);
  FileDescriptor lock(::open((base / "lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  ASSERT_EQ(::flock(lock.get(), LOCK_EX | LOCK_NB), 0);
  int pair[2];
  ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, pair), 0);
  const FileDescriptor handed_over(pair[0]);
  const FileDescriptor peer(pair[1]);

  HandoverState sent;
  sent.endpoint_list.version = 41;
  sent.list_received = true;
  sent.paused = true;
  sent.next_message_id = 1234;
  ListedEndpoint listed;
  listed.endpoint.id = "s-1";
  listed.endpoint.destination = 7;
  listed.endpoint.zone = 1;
  listed.endpoint.kind = 2;
  listed.endpoint.status = dispatch::EndpointStatus::draining;
  listed.endpoint.weight = 2.5;
  listed.endpoint.added_at = -9;
  listed.address = read_address("127.0.0.1:8081", "");
  sent.endpoint_list.entries = {listed};
  sent.learned_state = std::string(200'000, 'x') + "\n";
  sent.ever_listed = {"s-0", "s-1"};
  sent.destinations = {7, -8};
  sent.completed_ids = {{55, "m5"}, {66, "m6"}};
  sent.listener = handed_over.get();
  sent.clients = {{handed_over.get(), true, 77}, {handed_over.get(), false, 78, 79, "POST /"}};
  InFlightCall call;
  call.socket = handed_over.get();
  call.endpoint = "s-1";
  call.address = listed.address;
  call.sent_at = 11;
  call.response_due = 12;
  call.response_bytes = std::string("HTTP\0", 5);
  call.messages = {{900, 3, 44, "m900", ""}, {901, 0, 45, "m901", ""}};
  call.provisional_outcomes = {std::nullopt, Outcome::cancelled};
  sent.calls = {call};

  StartupOwnership ownership;
  {
    net::io_context io;
    bool completed = false;
    HandoverListener listener(io, base.string(), [&](HandoverChannel channel) {
      EXPECT_TRUE(hand_over(channel, sent, lock.get()));
      completed = true;
    });
    std::thread successor([&] { ownership = acquire_ownership(base.string()); });
    while (!completed) io.run_one();
    successor.join();
  }
  EXPECT_TRUE(static_cast<bool>(ownership.lock));
  ASSERT_TRUE(ownership.inherited);
  const HandoverState& received = *ownership.inherited;
  EXPECT_EQ(received.endpoint_list.version, 41);
  EXPECT_TRUE(received.list_received && received.paused);
  EXPECT_EQ(received.next_message_id, 1234U);
  ASSERT_EQ(received.endpoint_list.entries.size(), 1U);
  const auto& endpoint = received.endpoint_list.entries[0].endpoint;
  EXPECT_EQ(endpoint.id, "s-1");
  EXPECT_EQ(endpoint.destination, 7);
  EXPECT_EQ(endpoint.zone, 1);
  EXPECT_EQ(endpoint.kind, 2);
  EXPECT_EQ(endpoint.status, dispatch::EndpointStatus::draining);
  EXPECT_EQ(endpoint.weight, 2.5);
  EXPECT_EQ(endpoint.added_at, -9);
  EXPECT_EQ(received.endpoint_list.entries[0].address, listed.address);
  EXPECT_EQ(received.learned_state, sent.learned_state);
  EXPECT_EQ(received.ever_listed, sent.ever_listed);
  EXPECT_EQ(received.destinations, sent.destinations);
  EXPECT_EQ(received.completed_ids, sent.completed_ids);
  ASSERT_EQ(received.clients.size(), 2U);
  EXPECT_TRUE(received.clients[0].served_before && !received.clients[1].served_before);
  EXPECT_EQ(received.clients[1].idle_since, 78);
  EXPECT_EQ(received.clients[1].timeout_at, 79);
  EXPECT_EQ(received.clients[1].received_bytes, "POST /");
  EXPECT_EQ(received.clients[0].received_bytes, "");
  ASSERT_EQ(received.calls.size(), 1U);
  EXPECT_EQ(received.calls[0].endpoint, "s-1");
  EXPECT_EQ(received.calls[0].address, listed.address);
  EXPECT_EQ(received.calls[0].sent_at, 11);
  EXPECT_EQ(received.calls[0].response_due, 12);
  EXPECT_EQ(received.calls[0].response_bytes, call.response_bytes);
  ASSERT_EQ(received.calls[0].messages.size(), 2U);
  EXPECT_EQ(received.calls[0].messages[0].id, 900U);
  EXPECT_EQ(received.calls[0].messages[0].attempt, 3);
  EXPECT_EQ(received.calls[0].messages[1].timeout, 45);
  EXPECT_EQ(received.calls[0].messages[1].client_id, "m901");
  EXPECT_EQ(received.calls[0].provisional_outcomes, call.provisional_outcomes);
  // Each descriptor is a separate duplicate and refers to the same socket.
  std::set<int> sockets{received.listener, received.clients[0].socket, received.clients[1].socket,
                        received.calls[0].socket, handed_over.get()};
  EXPECT_EQ(sockets.size(), 5U);
  EXPECT_EQ(::write(received.calls[0].socket, "x", 1), 1);
  char byte = 0;
  EXPECT_EQ(::read(peer.get(), &byte, 1), 1);
  sockets.erase(handed_over.get());
  for (const int socket : sockets) ::close(socket);
  std::filesystem::remove_all(base);
}

// The successor takes over calls in flight, client connections, the listening socket and the open messages:
// no connection is closed and no message is sent twice.
TEST_F(HandoverTest, SuccessorTakesOverCallsConnectionsAndMessages) {
  endpoint.on_request(leave_unanswered);
  start();
  const auto client = connect();
  client->write(request("m1", kNonIdempotentClass));
  wait_for([&] { return client->responses.size() == 1 && endpoint.received.size() == 1; },
           "a call is in flight");
  start_successor();
  wait_for_predecessor_exit();
  client->write(request("m2", kNonIdempotentClass));
  wait_for([&] { return client->responses.size() == 2; }, "the response on the connection opened before");
  EXPECT_EQ(client->responses[1].result_int(), 202U);
  EXPECT_EQ(submit("m1", kNonIdempotentClass), 202U);  // the successor knows its id, too
  wait_for([&] { return endpoint.received.size() == 2; }, "the second call");
  EXPECT_EQ(endpoint.received[1].request["X-Request-Id"], "m2");
  EXPECT_FALSE(endpoint.received[0].session->closed);
  for (const auto& got : std::vector<ReceivedRequest>(endpoint.received)) got.session->respond(200);
  endpoint.on_request(respond_ok);
  EXPECT_EQ(submit("m3", kReadLikeClass), 202U);
  wait_for([&] { return endpoint.received.size() == 3; }, "the third call");
  EXPECT_EQ(submit("m1", kNonIdempotentClass), 202U);  // completed by now, and its id is still known
  ::kill(relay_pid, SIGTERM);
  EXPECT_EQ(wait_for_exit(), 0);
  EXPECT_EQ(endpoint.received.size(), 3U);
  EXPECT_EQ(final_notices, "");
  EXPECT_NE(log_text().find("stopped: 0 messages left"), std::string::npos);
}

// The predecessor has read a part of a response; the successor reads the rest of it.
TEST_F(HandoverTest, SuccessorReadsTheRestOfAPartialResponse) {
  max_calls_in_flight = 1;
  endpoint.on_request([](const ReceivedRequest& received) { received.session->write("HTTP/1.1 2"); });
  start();
  EXPECT_EQ(submit("m1", kNonIdempotentClass), 202U);
  wait_for([&] { return endpoint.received.size() == 1; }, "the call");
  start_successor();
  wait_for_predecessor_exit();
  endpoint.received[0].session->write("00 OK\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(submit("m2", kNonIdempotentClass), 202U);
  wait_for([&] { return endpoint.received.size() == 2; }, "the slot of the first call is free");
  EXPECT_EQ(final_notices, "");
}

// Guards against lost requests: clients whose request was being read were disconnected without an answer. The
// handover does not wait for such a client either.
TEST_F(HandoverTest, SuccessorReadsTheRestOfAPartialRequest) {
  start();
  const std::string whole = request("m1", kNonIdempotentClass, "a body in two parts");
  const auto first = connect();
  const auto later = connect();
  first->write(whole.substr(0, whole.size() - 5));
  later->write(request("m2", kNonIdempotentClass));
  wait_for([&] { return later->responses.size() == 1; }, "a response");
  later->write("POST /pay");
  start_successor();
  wait_for_predecessor_exit();
  first->write(whole.substr(whole.size() - 5));
  later->write(request("m3", kNonIdempotentClass).substr(9));
  wait_for([&] { return first->responses.size() == 1 && later->responses.size() == 2; }, "both responses");
  EXPECT_EQ(first->responses[0].result_int(), 202U);
  EXPECT_EQ(later->responses[1].result_int(), 202U);
  wait_for([&] { return endpoint.received.size() == 3; }, "one call for each message");
  EXPECT_EQ(log_text().find("not quiescent"), std::string::npos);
}

// A call that the predecessor sent occupies a slot in the successor, too, until it ends.
TEST_F(HandoverTest, InheritedCallOccupiesItsSlot) {
  max_calls_in_flight = 1;
  endpoint.on_request(leave_unanswered);
  start();
  EXPECT_EQ(submit("m1", kNonIdempotentClass, "x", "24000m"), 202U);
  wait_for([&] { return endpoint.received.size() == 1; }, "the call");
  start_successor();
  wait_for_predecessor_exit();
  EXPECT_EQ(submit("m2", kNonIdempotentClass, "x", "24000m"), 202U);
  EXPECT_EQ(submit("m3", kNonIdempotentClass, "x", "24000m"), 202U);
  EXPECT_EQ(endpoint.received.size(), 1U);
  endpoint.received[0].session->respond(200);
  wait_for([&] { return endpoint.received.size() == 2; }, "the next call once the first has ended");
}

TEST_F(HandoverTest, SuccessorHonorsARetryAfterSentToThePredecessor) {
  std::chrono::steady_clock::time_point rejected_at;
  endpoint.on_request([&](const ReceivedRequest& received) {
    rejected_at = std::chrono::steady_clock::now();
    received.session->respond(429, "X-Come-Back-Ms: 1500\r\n");
  });
  start();
  EXPECT_EQ(submit("m1", kNonIdempotentClass, "x", "24000m"), 202U);
  wait_for([&] { return endpoint.received.size() == 1; }, "the call that is rejected");
  const auto earliest_retry = rejected_at + std::chrono::milliseconds(1500);
  endpoint.on_request(respond_ok);
  EXPECT_EQ(submit("m2", kNonIdempotentClass, "x", "24000m"), 202U);
  start_successor();
  wait_for_predecessor_exit();
  EXPECT_EQ(submit("m3", kNonIdempotentClass, "x", "24000m"), 202U);
  wait_for([&] { return endpoint.received.size() == 2; }, "the next call");
  EXPECT_GE(std::chrono::steady_clock::now(), earliest_retry);
}

// The requesting process disconnects at each step of the protocol: the owner keeps serving, and no message is
// lost or sent twice.
TEST_F(HandoverTest, OwnerKeepsServingWhenTheRequesterDisconnects) {
  endpoint.on_request(leave_unanswered);
  start();
  const auto client = connect();
  client->write(request("m0", kNonIdempotentClass, "x", "24000m"));
  wait_for([&] { return endpoint.received.size() == 1; }, "a call is in flight");
  for (int step = 0; step < 4; step++) {
    {
      HandoverChannel channel = request_handover();
      if (step >= 1) {
        const auto descriptors = receive_descriptors(channel);
        EXPECT_GE(descriptors.size(), 4U);  // lock, listening socket, client and call
        if (step >= 2) {
          EXPECT_TRUE(channel.send("ready"));
        }
        if (step >= 3) {
          EXPECT_TRUE(channel.receive_exactly("yours"));
        }
      }
    }
    client->write(request("m" + std::to_string(step + 1), kNonIdempotentClass, "x", "24000m"));
    const auto expected_responses = static_cast<std::size_t>(step) + 2;
    wait_for([&] { return client->responses.size() == expected_responses; }, "the response of the owner");
    EXPECT_EQ(client->responses.back().result_int(), 202U);
  }
  for (const auto& got : std::vector<ReceivedRequest>(endpoint.received)) got.session->respond(200);
  endpoint.on_request(respond_ok);
  wait_for([&] { return endpoint.received.size() == 5; }, "one call for each message");
  EXPECT_EQ(health_status(), 200U);
  EXPECT_EQ(final_notices, "");
}

// The owner dies at each step of the protocol: the requesting process takes ownership of the folder and
// starts as after any restart.
TEST_F(HandoverTest, RequesterStartsNormallyWhenTheOwnerDies) {
  program = MESSAGE_RELAY_PROGRAM;  // the test plays the owner, the program requests the handover
  for (int step = 0; step < 4; step++) {
    FileDescriptor listening(::socket(AF_UNIX, SOCK_STREAM, 0));
    const auto owner = handover_address();
    ::unlink(owner.sun_path);
    ASSERT_EQ(::bind(listening.get(), reinterpret_cast<const sockaddr*>(&owner), sizeof owner), 0);
    ASSERT_EQ(::listen(listening.get(), 1), 0);
    {
      FileDescriptor lock(::open((folder + "/state/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
      ASSERT_EQ(::flock(lock.get(), LOCK_EX | LOCK_NB), 0);
      endpoint_entries = endpoint_entry("s-1", endpoint.address());
      spawn(config());
      HandoverChannel channel(FileDescriptor(::accept(listening.get(), nullptr, nullptr)));
      EXPECT_TRUE(channel.receive_exactly(kGreeting));
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
    wait_for([&] { return health_status() == 200; }, "the relay is ready");
    EXPECT_EQ(submit("m" + std::to_string(step), kReadLikeClass), 202U);
    wait_for([&] { return endpoint.received.size() == static_cast<std::size_t>(step) + 1; }, "the call");
    // SIGTERM, not SIGKILL: a process killed here may not have read the response, and the next process would
    // repeat the call.
    ::kill(relay_pid, SIGTERM);
    EXPECT_EQ(wait_for_exit(), 0);
  }
}

// A stopped process hands nothing over. Once it has exited, the next process recovers its messages; a call
// that was in flight may have been executed, so a non-idempotent message is not sent again.
TEST_F(HandoverTest, SuccessorWaitsUntilAStoppedOwnerExits) {
  endpoint.on_request(leave_unanswered);
  start();
  EXPECT_EQ(submit("m1", kNonIdempotentClass), 202U);
  EXPECT_EQ(submit("m2", kReadLikeClass), 202U);
  wait_for([&] { return endpoint.received.size() == 2; }, "both calls");
  ::kill(relay_pid, SIGSTOP);
  start_successor();
  ::kill(predecessor, SIGKILL);
  wait_for([&] { return ::waitpid(predecessor, nullptr, WNOHANG) == predecessor; }, "the predecessor exits");
  predecessor = -1;
  wait_for([&] { return health_status() == 200; }, "the successor is ready");
  wait_for([&] { return endpoint.received.size() == 3 && !final_notices.empty(); },
           "the recovered messages are processed");
  EXPECT_EQ(endpoint.received[2].request["X-Request-Id"], "m2");
  EXPECT_EQ(final_notices, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
}

// Clients submit messages during four consecutive upgrades: each message is delivered once.
TEST_F(HandoverTest, UpgradesInARowUnderLoadLoseNothing) {
  start();
  std::size_t submitted = 0;
  for (int upgrade = 0; upgrade < 4; upgrade++) {
    start_successor();
    while (predecessor > 0) {
      submitted++;
      EXPECT_EQ(submit("m" + std::to_string(submitted), submitted % 2 ? kReadLikeClass : kNonIdempotentClass),
                202U);
      if (::waitpid(predecessor, nullptr, WNOHANG) == predecessor) predecessor = -1;
    }
  }
  wait_for([&] { return endpoint.received.size() >= submitted; }, "every call");
  ::kill(relay_pid, SIGTERM);
  EXPECT_EQ(wait_for_exit(), 0);
  std::set<std::string> ids;
  for (const auto& got : endpoint.received) ids.insert(std::string(got.request["X-Request-Id"]));
  for (std::size_t i = 1; i <= submitted; i++) EXPECT_EQ(ids.count("m" + std::to_string(i)), 1U) << "m" << i;
  EXPECT_EQ(endpoint.received.size(), submitted);
  EXPECT_EQ(final_notices, "");
}

}  // namespace
}  // namespace message_relay::testing
