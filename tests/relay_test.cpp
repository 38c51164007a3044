// End-to-end tests of the relay program over loopback sockets.
#include "journal.hpp"
#include "relay_harness.hpp"

namespace message_relay::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// The classes that the fixture configures.
const char* const kIdempotentClass = "load-status";
const char* const kNonIdempotentClass = "pay-and-order";

TEST_F(RelayTest, MessageIsDeliveredOnceWithoutFinalNotice) {
  start();
  const std::string body("\0\x01 any bytes \xff", 14);
  EXPECT_EQ(submit("m1", kIdempotentClass, body), 202U);
  wait_for([&] { return !endpoint.received.empty(); }, "the call");
  const Request& delivery = endpoint.received[0].request;
  EXPECT_EQ(delivery.target(), "/events");
  EXPECT_EQ(delivery["X-Request-Id"], "m1");
  EXPECT_EQ(delivery.body(), body);
  EXPECT_EQ(delivery["X-Deadline"].back(), 'u');
  ::kill(relay_pid, SIGTERM);
  EXPECT_EQ(wait_for_exit(), 0);
  EXPECT_EQ(endpoint.received.size(), 1U);
  EXPECT_EQ(final_notices, "");
}

TEST_F(RelayTest, ConnectionToEndpointIsReused) {
  start();
  for (int i = 0; i < 5; i++) {
    EXPECT_EQ(submit("m" + std::to_string(i), kIdempotentClass), 202U);
    wait_for([&] { return endpoint.received.size() == static_cast<std::size_t>(i) + 1; }, "the call");
  }
  EXPECT_EQ(endpoint.sessions.size(), 1U);
}

// Writing to an idle connection that the endpoint has closed would count as a reset, and after a reset a
// non-idempotent message is not retried.
TEST_F(RelayTest, ConnectionClosedByEndpointIsNotReused) {
  start();
  EXPECT_EQ(submit("m1", kNonIdempotentClass), 202U);
  wait_for([&] { return endpoint.received.size() == 1; }, "the call");
  endpoint.sessions[0]->close();
  EXPECT_EQ(submit("m2", kNonIdempotentClass), 202U);
  wait_for([&] { return endpoint.received.size() == 2; }, "the second call");
  EXPECT_EQ(endpoint.sessions.size(), 2U);
  EXPECT_EQ(final_notices, "");
}

TEST_F(RelayTest, IdSubmittedAgainDuringItsCallIsNotSentAgain) {
  endpoint.on_request(leave_unanswered);
  start();
  EXPECT_EQ(submit("m1", kNonIdempotentClass), 202U);
  EXPECT_EQ(submit("m1", kNonIdempotentClass), 202U);
  EXPECT_EQ(submit("m2", kNonIdempotentClass), 202U);
  wait_for([&] { return endpoint.received.size() >= 2; }, "both calls");
  EXPECT_NE(endpoint.received[0].request["X-Request-Id"], endpoint.received[1].request["X-Request-Id"]);
}

// Each malformed or incomplete request is answered with an error or dropped, and does not affect the messages
// that follow it.
TEST_F(RelayTest, InvalidRequestsAreRejected) {
  start();
  EXPECT_EQ(send_request("NONSENSE\r\n\r\n"), 400U);
  EXPECT_EQ(send_request("POST /load-status HTTP/1.1\r\nContent-Length: banana\r\n\r\n"), 400U);
  EXPECT_EQ(send_request("POST /load-status HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"),
            400U);  // required headers missing
  EXPECT_EQ(send_request("POST /unheard-of HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"), 404U);
  EXPECT_EQ(send_request("GET /load-status HTTP/1.1\r\n\r\n"), 405U);
  EXPECT_EQ(submit("m1", kIdempotentClass, "x", "soon"), 400U);
  EXPECT_EQ(submit("m1", kIdempotentClass, "x", "-5m"), 400U);
  EXPECT_EQ(submit("m1", kIdempotentClass, std::string(std::size_t{65} * 1024, 'x')), 413U);
  EXPECT_EQ(send_request("GET /_health HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n"), 400U);
  connect()->write("POST /load-status HT");  // a request that is never completed
  const auto incomplete = connect();
  incomplete->write(request("m2", kIdempotentClass).substr(0, 80));
  incomplete->shutdown_send();
  wait_for([&] { return incomplete->closed; }, "the connection with the incomplete request to close");
  EXPECT_EQ(submit("m3", kIdempotentClass, std::string(std::size_t{64} * 1024, 'x')), 202U);
  wait_for([&] { return !endpoint.received.empty(); }, "the call");
  EXPECT_EQ(endpoint.received[0].request["X-Request-Id"], "m3");
}

TEST_F(RelayTest, ClientThatShutDownSendingReceivesResponse) {
  start();
  const auto client = connect();
  client->write(request("m1", kIdempotentClass));
  client->shutdown_send();
  wait_for([&] { return !client->responses.empty(); }, "the response");
  EXPECT_EQ(client->responses[0].result_int(), 202U);
}

TEST_F(RelayTest, ExpectContinueIsAnsweredBeforeBodyArrives) {
  start();
  const auto client = connect();
  std::string head = request("m1", kIdempotentClass);
  head.insert(head.find("Content-Length"), "Expect: 100-continue\r\n");
  client->write(head.substr(0, head.size() - 5));
  wait_for([&] { return !client->responses.empty(); }, "the response with status 100");
  EXPECT_EQ(client->responses[0].result_int(), 100U);
  client->write("hello");
  wait_for([&] { return client->responses.size() == 2; }, "the response with status 202");
  EXPECT_EQ(client->responses[1].result_int(), 202U);
}

// At the limit of open messages a submission is refused at once.
TEST_F(RelayTest, SubmissionsBeyondOpenMessageLimitAreRefused) {
  endpoint.on_request(leave_unanswered);
  start();
  int accepted = 0;
  int refused = 0;
  for (int i = 0; i < 60; i++) {
    const auto status = submit("m" + std::to_string(i), kNonIdempotentClass, "x", "24000m");
    accepted += status == 202;
    refused += status == 503;
  }
  EXPECT_EQ(accepted + refused, 60);
  EXPECT_GT(refused, 0);
  EXPECT_GE(accepted, 30);
}

// After a reset the endpoint may have executed the message. A non-idempotent message is then neither retried
// nor reported as refused, but ends with one final notice.
TEST_F(RelayTest, NonIdempotentMessageIsNotRetriedAfterReset) {
  endpoint.on_request([](const ReceivedRequest& call) { call.session->close(); });
  start();
  EXPECT_EQ(submit("m1", kNonIdempotentClass), 202U);
  wait_for([&] { return !final_notices.empty(); }, "the notice");
  EXPECT_EQ(final_notices, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
  EXPECT_EQ(endpoint.received.size(), 1U);
}

TEST_F(RelayTest, NonIdempotentMessageIsRetriedAfterConnectFailure) {
  // The socket is bound but does not listen, so that connection attempts are refused.
  tcp::socket closed(io);
  closed.open(tcp::v4());
  closed.bind({net::ip::make_address(loopback_address()), 0});
  const auto closed_port = std::to_string(closed.local_endpoint().port());
  endpoint_entries = endpoint_entry("s-1", loopback_address() + ":" + closed_port);
  start();
  EXPECT_EQ(submit("m1", kNonIdempotentClass, "x", "24000m"), 202U);
  wait_for(
      [&] {
        return log_text().find("endpoint_ejected endpoint=s-1 cause=connect_failed") != std::string::npos;
      },
      "the endpoint to be ejected");
  endpoint_entries = endpoint_entry("s-1", endpoint.address());  // the same endpoint at another address
  send_watch_line(endpoint_list(endpoint_entries));
  wait_for([&] { return !endpoint.received.empty(); }, "the call");
  EXPECT_EQ(final_notices, "");
}

TEST_F(RelayTest, RetryAfterOfRejectionIsHonored) {
  std::vector<steady_clock::time_point> call_times;
  endpoint.on_request([&](const ReceivedRequest& call) {
    call_times.push_back(steady_clock::now());
    call_times.size() == 1 ? call.session->respond(429, "X-Come-Back-Ms: 1200\r\n")
                           : call.session->respond(200);
  });
  start();
  EXPECT_EQ(submit("m1", kIdempotentClass), 202U);
  wait_for([&] { return call_times.size() == 1; }, "the first call");
  EXPECT_EQ(submit("m2", kIdempotentClass), 202U);
  wait_for([&] { return call_times.size() == 3; }, "all calls");
  EXPECT_GE(call_times[1] - call_times[0], milliseconds(1200));
}

// An endpoint may request a delay in any response, including one that reports a successful delivery.
TEST_F(RelayTest, RetryAfterOfSuccessfulResponseIsHonored) {
  std::vector<steady_clock::time_point> call_times;
  endpoint.on_request([&](const ReceivedRequest& call) {
    call_times.push_back(steady_clock::now());
    call.session->respond(200, call_times.size() == 1 ? "X-Come-Back-Ms: 1200\r\n" : "");
  });
  start();
  EXPECT_EQ(submit("m1", kIdempotentClass), 202U);
  wait_for([&] { return call_times.size() == 1; }, "the first call");
  EXPECT_EQ(submit("m2", kIdempotentClass), 202U);
  wait_for([&] { return call_times.size() == 2; }, "the second call");
  EXPECT_GE(call_times[1] - call_times[0], milliseconds(1200));
}

// The messages of a batch are settled one by one. A message that the response leaves out may have been
// executed.
TEST_F(RelayTest, BatchResponseSettlesEachMessageSeparately) {
  endpoint_entries = endpoint_entry("s-1", endpoint.address(), "ready", "big");
  std::map<std::string, int> call_counts;
  endpoint.on_request([&](const ReceivedRequest& call) {
    if (call.request.target() != "/events/bundle") {
      call_counts[std::string(call.request["X-Request-Id"])]++;
      return call.session->respond(200,
                                   call.request["X-Request-Id"] == "m0" ? "X-Come-Back-Ms: 1500\r\n" : "");
    }
    std::string results = "[";
    for (const std::string id : {"m1", "m2", "m3"}) {
      if (call.request.body().find("\"id\":\"" + id + "\",\"body\":\"aGVsbG8=\"") == std::string::npos)
        continue;
      call_counts[id]++;
      if (id == "m3") continue;
      results += std::string(results.size() > 1 ? "," : "") + R"({"id":")" + id + R"(","state":")" +
                 (id == "m1" ? "done" : "busy") + "\"}";
    }
    call.session->respond(200, "", results + "]");
  });
  start();
  // The requested delay holds the messages back, so that they are sent in one round when it ends.
  EXPECT_EQ(submit("m0", kIdempotentClass), 202U);
  wait_for([&] { return call_counts["m0"] == 1; }, "the call whose response requests the delay");
  for (const std::string id : {"m1", "m2", "m3"}) EXPECT_EQ(submit(id, kNonIdempotentClass), 202U);
  wait_for([&] { return call_counts["m1"] >= 1 && call_counts["m2"] >= 2 && !final_notices.empty(); },
           "the end of each message");
  EXPECT_EQ(call_counts["m1"], 1);
  EXPECT_EQ(call_counts["m2"], 2);
  EXPECT_EQ(call_counts["m3"], 1);
  EXPECT_EQ(final_notices, "{\"id\":\"m3\",\"status\":\"undeliverable\"}\n");
}

// ---- Idempotency keys and order keys. ----
const std::string kKeyClasses =
    R"(,{"Name":"stamped","Points":1.0,"Target":1000000,"Deadline":6000000,"Idempotency":"idempotency_key",)"
    R"("Window":5000000},{"Name":"in-turn","Points":1.0,"Target":1000000,"Deadline":6000000,)"
    R"("Idempotency":"read_like","FifoByKey":true})";

std::string with_idempotency_key(std::string request) {
  return request.insert(request.find("X-Deadline"), "Idempotency-Key: 0f-key\r\n");
}

// The endpoint detects a retry by its idempotency key: without the key it would execute the message twice.
TEST_F(RelayTest, IdempotencyKeyIsSentAfterRestartAndInBatches) {
  extra_classes = kKeyClasses;
  endpoint_entries = endpoint_entry("s-1", endpoint.address(), "ready", "big");
  endpoint.on_request(leave_unanswered);
  start();
  EXPECT_EQ(send_request(with_idempotency_key(request("m1", "stamped"))), 202U);
  wait_for([&] { return endpoint.received.size() == 1; }, "the call");
  EXPECT_EQ(endpoint.received[0].request["Idempotency-Key"], "0f-key");
  kill_relay();
  endpoint.on_request(
      [](const ReceivedRequest& call) { call.session->respond(200, "X-Come-Back-Ms: 1500\r\n"); });
  start();
  wait_for([&] { return endpoint.received.size() == 2; }, "the call after the restart");
  EXPECT_EQ(endpoint.received[1].request["Idempotency-Key"], "0f-key");
  // The delay that the response requests holds the next messages back, so that they are sent in one round.
  EXPECT_EQ(send_request(with_idempotency_key(request("m2", "stamped"))), 202U);
  EXPECT_EQ(submit("m3", kIdempotentClass), 202U);
  wait_for([&] { return endpoint.received.size() == 3; }, "the batch");
  EXPECT_EQ(endpoint.received[2].request.target(), "/events/bundle");
  EXPECT_NE(endpoint.received[2].request.body().find(R"({"id":"m2","key":"0f-key","body":)"),
            std::string::npos);
  EXPECT_NE(endpoint.received[2].request.body().find(R"({"id":"m3","body":)"), std::string::npos);
}

// After a restart, a message that may have been executed ends with a final notice and is not retried if the
// window of its idempotency key is over. The window starts with the first attempt that may have been
// executed, whatever the outcomes of later attempts, and not with an attempt that was certainly not executed.
TEST_F(RelayTest, RestartRetriesKeyedMessageOnlyWithinWindow) {
  const auto keyed_class = [](const std::string& name, const std::string& window) {
    return R"(,{"Name":")" + name + R"(","Points":1.0,"Target":1000000,"Deadline":6000000,"Window":)" +
           window + R"(,"Idempotency":"idempotency_key"})";
  };
  extra_classes = keyed_class("short", "1000000") + keyed_class("long", "3600000000");
  {
    const Time now = journal_now();
    const Time before = now - 10'000'000;
    Journal journal(folder + "/state", 3'000'000);
    const auto record = [&](MessageId id, const std::string& message_class,
                            const std::vector<std::pair<Time, std::optional<Outcome>>>& attempts) {
      Message message;
      message.id = "m" + std::to_string(id);
      message.message_class = message_class;
      message.idempotency_key = "key-" + message.id;
      message.destination = 7;
      message.deadline = now + 600'000'000;
      journal.record_message(id, message);
      for (std::size_t i = 0; i < attempts.size(); i++) {
        journal.record_attempt(id, attempts[i].first, 0);
        if (attempts[i].second) journal.record_outcome(id, static_cast<int>(i), *attempts[i].second);
      }
    };
    record(1, "short", {{before, std::nullopt}});
    record(2, "short", {{before, Outcome::reset}, {now, std::nullopt}});
    record(3, "short", {{before, Outcome::timeout}, {now, Outcome::rejected}});
    record(4, "long", {{now, std::nullopt}});
    record(5, "short", {{before, Outcome::rejected}});
    ASSERT_TRUE(journal.commit());
  }
  start();
  wait_for(
      [&] {
        return endpoint.received.size() >= 2 &&
               std::count(final_notices.begin(), final_notices.end(), '\n') >= 3;
      },
      "the calls and final notices");
  std::set<std::string> sent;
  for (const auto& call : endpoint.received) sent.insert(std::string(call.request["X-Request-Id"]));
  EXPECT_EQ(sent, (std::set<std::string>{"m4", "m5"}));
  EXPECT_EQ(endpoint.received.size(), 2U);
  std::string expected_notices;
  for (const std::string id : {"m1", "m2", "m3"})
    expected_notices += R"({"id":")" + id + R"(","status":"undeliverable"})" + "\n";
  EXPECT_EQ(final_notices, expected_notices);
}

// Messages with the same order key are delivered one at a time in the order of their submission, also after a
// restart.
TEST_F(RelayTest, MessagesWithSameOrderKeyAreDeliveredOneAtATime) {
  extra_classes = kKeyClasses;
  const auto ordered_request = [&](const std::string& id, const std::string& order_key) {
    auto text = request(id, "in-turn");
    return text.replace(0, text.find(" HTTP"), "POST /in-turn/" + order_key);
  };
  endpoint.on_request(leave_unanswered);
  start();
  EXPECT_EQ(send_request(ordered_request("m1", "doc-1")), 202U);
  wait_for([&] { return endpoint.received.size() == 1; }, "the first call");
  EXPECT_EQ(send_request(ordered_request("m2", "doc-1")), 202U);
  EXPECT_EQ(send_request(ordered_request("m3", "doc-2")), 202U);
  wait_for([&] { return endpoint.received.size() == 2; }, "the call with another order key");
  EXPECT_EQ(endpoint.received[1].request["X-Request-Id"], "m3")
      << "m2 was submitted before m3 and has to wait for m1";
  kill_relay();
  endpoint.received.clear();
  start();
  wait_for([&] { return endpoint.received.size() == 2; }, "the calls after the restart");
  std::set<std::string> resent;
  for (const auto& call : endpoint.received) resent.insert(std::string(call.request["X-Request-Id"]));
  EXPECT_EQ(resent, (std::set<std::string>{"m1", "m3"}));
  for (const auto& call : endpoint.received) call.session->respond(200);
  wait_for([&] { return endpoint.received.size() == 3; }, "the next message with the same order key");
  EXPECT_EQ(endpoint.received[2].request["X-Request-Id"], "m2");
}

TEST_F(RelayTest, MalformedResponseOfEndpointCountsAsReset) {
  int calls = 0;
  endpoint.on_request([&](const ReceivedRequest& call) {
    if (++calls > 1) return call.session->respond(200);
    call.session->write("\x01\x02 not HTTP\r\n\r\n");
    call.session->close();
  });
  start();
  EXPECT_EQ(submit("m1", kIdempotentClass), 202U);
  wait_for([&] { return calls == 2; }, "the retry");
}

TEST_F(RelayTest, DrainingEndpointReceivesNoNewCalls) {
  FakeServer other(io, respond_ok);
  start();
  wait_for([&] { return !watches.empty(); }, "the watch");
  EXPECT_EQ(submit("m1", kIdempotentClass), 202U);
  wait_for([&] { return endpoint.received.size() == 1; }, "the call");
  send_watch_line(endpoint_list(
      endpoint_entry("s-1", endpoint.address(), "draining") + "," + endpoint_entry("s-2", other.address()),
      false));
  wait_for([&] { return endpoint.sessions[0]->closed; },
           "the idle connection to the draining endpoint to close");
  for (int i = 2; i < 6; i++) EXPECT_EQ(submit("m" + std::to_string(i), kIdempotentClass), 202U);
  wait_for([&] { return other.received.size() == 4; }, "the calls to the other endpoint");
  EXPECT_EQ(endpoint.received.size(), 1U);
}

// The relay watches the endpoint list for changes also if the settings call discovery automatic.
TEST_F(RelayTest, AutomaticDiscoveryIsWatched) {
  discovery_mode = "automatic";
  start();
  wait_for([&] { return !watches.empty(); }, "the watch");
  watches.back()->close();
  wait_for([&] { return watches.size() == 2; }, "the new watch");
  FakeServer other(io, respond_ok);
  send_watch_line(endpoint_list(
      endpoint_entry("s-1", endpoint.address(), "draining") + "," + endpoint_entry("s-2", other.address()),
      false));
  // Until the change has arrived, messages are still sent to the first endpoint.
  for (int i = 0; other.received.empty() && i < 1000; i++) {
    EXPECT_EQ(submit("m" + std::to_string(i), kIdempotentClass), 202U);
    const auto call_count = [&] { return endpoint.received.size() + other.received.size(); };
    wait_for([&] { return call_count() == static_cast<std::size_t>(i) + 1; }, "the call");
  }
  EXPECT_FALSE(other.received.empty());
}

// After a malformed line, or after the end of the response, the relay starts a new watch. The endpoint list
// stays in use until then.
TEST_F(RelayTest, WatchIsRestartedAfterFailure) {
  start();
  wait_for([&] { return watches.size() == 1; }, "the watch");
  send_watch_line("{\"index\":\"what\"}");
  wait_for([&] { return watches.size() == 2; }, "a new watch");
  watches.back()->close();
  wait_for([&] { return watches.size() == 3; }, "another watch");
  EXPECT_EQ(submit("m1", kIdempotentClass), 202U);
  wait_for([&] { return !endpoint.received.empty(); }, "the call");
}

// A watch that receives no more data must count as failed, as one whose connection has closed: otherwise the
// endpoint list would become stale unnoticed.
TEST_F(RelayTest, SilentWatchFailsAfterTimeout) {
  start();
  wait_for([&] { return watches.size() == 2; }, "a new watch after the silence");
  EXPECT_NE(log_text().find("watch failed: no data within the timeout"), std::string::npos);
}

TEST_F(RelayTest, FinalNoticeIsRetriedUntilAcceptedAlsoAfterRestart) {
  endpoint.on_request([](const ReceivedRequest& call) { call.session->close(); });
  notice_response_status = 503;
  start();
  EXPECT_EQ(submit("m1", kNonIdempotentClass), 202U);
  wait_for([&] { return refused_notice_requests >= 2; }, "the retry of the notice");
  kill_relay();
  start();
  notice_response_status = 204;
  wait_for([&] { return !final_notices.empty(); }, "the notice after the restart");
  EXPECT_EQ(final_notices, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
  EXPECT_EQ(endpoint.received.size(), 1U);
}

// A notice that the platform rejects as malformed is dropped and logged. The other notices of the same
// request are delivered.
TEST_F(RelayTest, MalformedNoticeDoesNotBlockOtherNotices) {
  endpoint.on_request([](const ReceivedRequest& call) { call.session->close(); });
  std::string accepted_notices;
  bool platform_down = true;
  platform.on_request([&](const ReceivedRequest& incoming) {
    if (incoming.request.method() != http::verb::post) return handle_platform_request(incoming);
    if (platform_down) return incoming.session->respond(503);
    const bool malformed = incoming.request.body().find("\"m1\"") != std::string::npos;
    if (!malformed) accepted_notices += incoming.request.body();
    incoming.session->respond(malformed ? 400 : 204);
  });
  start();
  for (const std::string id : {"m0", "m1", "m2"}) {
    EXPECT_EQ(submit(id, kNonIdempotentClass, "x", "24000m"), 202U);
    const auto calls_before = endpoint.received.size();
    wait_for([&] { return endpoint.received.size() > calls_before || endpoint.received.size() >= 3; },
             "the call of the message");
  }
  platform_down = false;
  wait_for([&] { return std::count(accepted_notices.begin(), accepted_notices.end(), '\n') == 2; },
           "the other notices");
  EXPECT_EQ(accepted_notices.find("m1"), std::string::npos);
  wait_for(
      [&] {
        return log_text().find("rejected by the platform as malformed: {\"id\":\"m1\"") != std::string::npos;
      },
      "the log line");
}

// ---- Restarts. ----
// The relay is killed while it holds as many open messages as it may. After the restart each message is sent,
// or ends with a final notice if its call was in flight; none is sent twice.
TEST_F(RelayTest, RestartAtOpenMessageLimitLosesNoMessage) {
  endpoint.on_request(leave_unanswered);
  start();
  int accepted = 0;
  for (int i = 0; i < 60; i++)
    accepted +=
        submit("m" + std::to_string(i), kNonIdempotentClass, std::string(9000, 'x'), "24000m") == 202U;
  EXPECT_GE(accepted, 30);
  wait_for([&] { return !endpoint.received.empty(); }, "some calls");
  std::map<std::string, int> call_counts;
  for (const auto& call : endpoint.received) call_counts[std::string(call.request["X-Request-Id"])]++;
  const auto sent_before_kill = static_cast<int>(call_counts.size());
  kill_relay();
  endpoint.on_request([&](const ReceivedRequest& call) {
    call_counts[std::string(call.request["X-Request-Id"])]++;
    call.session->respond(200);
  });
  start();
  wait_for([&] { return static_cast<int>(call_counts.size()) == accepted; },
           "the calls of the other messages");
  wait_for([&] { return std::count(final_notices.begin(), final_notices.end(), '\n') >= sent_before_kill; },
           "the notices of the calls in flight");
  for (const auto& [id, count] : call_counts) EXPECT_EQ(count, 1) << id;
}

TEST_F(RelayTest, NonIdempotentCallInFlightAtSigkillEndsUndeliverable) {
  endpoint.on_request(leave_unanswered);
  start();
  EXPECT_EQ(submit("m1", kNonIdempotentClass, "x", "24000m"), 202U);
  wait_for([&] { return endpoint.received.size() == 1; }, "the call");
  kill_relay();
  endpoint.on_request(respond_ok);
  start();
  wait_for([&] { return !final_notices.empty(); }, "the notice");
  EXPECT_EQ(final_notices, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
  EXPECT_EQ(submit("m2", kNonIdempotentClass), 202U);
  wait_for([&] { return endpoint.received.size() == 2; }, "the call of the next message");
  EXPECT_EQ(endpoint.received[1].request["X-Request-Id"], "m2");
}

TEST_F(RelayTest, IdempotentCallInFlightAtSigkillIsRetried) {
  endpoint.on_request(leave_unanswered);
  start();
  EXPECT_EQ(submit("m1", kIdempotentClass), 202U);
  wait_for([&] { return endpoint.received.size() == 1; }, "the call");
  kill_relay();
  endpoint.on_request(respond_ok);
  start();
  wait_for([&] { return endpoint.received.size() == 2; }, "the retry");
  EXPECT_EQ(endpoint.received[1].request["X-Request-Id"], "m1");
  EXPECT_EQ(endpoint.received[1].request.body(), "hello");
  EXPECT_EQ(final_notices, "");
}

TEST_F(RelayTest, MessageExpiredDuringDowntimeEndsAtRestart) {
  endpoint.on_request(leave_unanswered);
  start();
  EXPECT_EQ(submit("m1", kIdempotentClass, "x", "300m"), 202U);
  kill_relay();
  const auto deadline = steady_clock::now() + milliseconds(300);
  wait_for([&] { return steady_clock::now() > deadline; }, "the deadline to pass");
  const auto calls_before = endpoint.received.size();
  start();
  wait_for([&] { return !final_notices.empty(); }, "the notice");
  EXPECT_EQ(endpoint.received.size(), calls_before);
}

// At SIGTERM the relay waits for the calls in flight, continues to answer clients, and then ends by itself.
TEST_F(RelayTest, SigtermShutsDownGracefully) {
  endpoint.on_request(leave_unanswered);
  start();
  const auto client = connect();
  client->write(request("m1", kNonIdempotentClass));
  wait_for([&] { return client->responses.size() == 1 && endpoint.received.size() == 1; }, "the call");
  const auto start_time = steady_clock::now();
  ::kill(relay_pid, SIGTERM);
  wait_for([&] { return client->closed; }, "the idle client connection to close");
  EXPECT_EQ(health_status(), 503U);
  EXPECT_EQ(submit("m2", kNonIdempotentClass), 202U);
  wait_for([&] { return endpoint.received.size() == 2; }, "the second call");
  for (const auto& call : endpoint.received) call.session->respond(200);
  EXPECT_EQ(wait_for_exit(), 0);
  EXPECT_LT(steady_clock::now() - start_time, milliseconds(3700));
  start();
  EXPECT_EQ(final_notices, "");
  EXPECT_EQ(endpoint.received.size(), 2U);
}

// Guards against lost requests: a client whose request was being read when the shutdown ended got no answer.
TEST_F(RelayTest, PartialRequestAtTheEndOfTheShutdownIsRejected) {
  endpoint.on_request(leave_unanswered);
  start();
  EXPECT_EQ(submit("m1", kNonIdempotentClass, "x", "24000m"), 202U);
  wait_for([&] { return endpoint.received.size() == 1; }, "a call that keeps the process up");
  ::kill(relay_pid, SIGTERM);
  // Later than the beginning by so much that the request does not time out before the end.
  const auto write_at = steady_clock::now() + milliseconds(1500);
  wait_for([&] { return steady_clock::now() > write_at; }, "the shutdown is under way");
  const auto new_client = connect();
  new_client->write("POST /pay-and-order HTTP/1.1\r\n");
  EXPECT_EQ(wait_for_exit(), 0);
  wait_for([&] { return new_client->closed; }, "the connection is closed");
  ASSERT_EQ(new_client->responses.size(), 1U);
  EXPECT_EQ(new_client->responses[0].result_int(), 503U);
}

// Guards against lost requests: after a stall, the timeout of the connection ended before its request was
// read.
TEST_F(RelayTest, RequestThatArrivedDuringAStallIsAnswered) {
  start();
  const auto client = connect();
  EXPECT_EQ(health_status(), 200U);  // the earlier connection has been accepted, too
  ::kill(relay_pid, SIGSTOP);
  client->write(request("m1", kNonIdempotentClass));
  const auto resume_at = steady_clock::now() + milliseconds(2700);
  wait_for([&] { return steady_clock::now() > resume_at; }, "the time for a first request has passed");
  ::kill(relay_pid, SIGCONT);
  wait_for([&] { return client->closed || !client->responses.empty(); }, "a response");
  ASSERT_EQ(client->responses.size(), 1U);
  EXPECT_EQ(client->responses[0].result_int(), 202U);
}

// Guards against overloading a destination after a restart: what failed in the last part of the shutdown, in
// which no call starts any more, limited nothing.
TEST_F(RelayTest, CallThatFailsDuringTheShutdownIsRemembered) {
  endpoint.on_request(leave_unanswered);
  start();
  EXPECT_EQ(submit("m1", kNonIdempotentClass, "x", "24000m"), 202U);
  wait_for([&] { return endpoint.received.size() == 1; }, "the call");
  ::kill(relay_pid, SIGTERM);
  const auto fail_at = steady_clock::now() + milliseconds(2000);
  wait_for([&] { return steady_clock::now() > fail_at; }, "no call starts any more");
  endpoint.received[0].session->respond(500);
  EXPECT_EQ(wait_for_exit(), 0);
  const Journal journal(folder + "/state", 3'000'000);
  EXPECT_TRUE(journal.limited_destinations().contains(7));
}

TEST_F(RelayTest, MessageOpenAtSigtermIsDeliveredAfterRestart) {
  endpoint_entries =
      endpoint_entry("s-1", endpoint.address(), "draining") + "," +
      R"({"name":"s-9","address":"127.0.0.1:9","zone":"a","type":"small","group":8,"status":"ready"})";
  start();  // no endpoint of destination 7 may receive calls
  EXPECT_EQ(submit("m1", kNonIdempotentClass, "x", "24000m"), 202U);
  ::kill(relay_pid, SIGTERM);
  EXPECT_EQ(wait_for_exit(), 0);
  EXPECT_EQ(endpoint.received.size(), 0U);
  endpoint_entries = endpoint_entry("s-1", endpoint.address());
  start();
  wait_for([&] { return endpoint.received.size() == 1; }, "the call");
  EXPECT_EQ(endpoint.received[0].request["X-Request-Id"], "m1");
}

// While the journal cannot be written, submissions are refused at once. No accepted message is lost, and the
// relay accepts messages again once the journal can be written.
TEST_F(RelayTest, UnwritableJournalRefusesMessagesUntilWritable) {
  std::vector<std::string> called_ids;
  endpoint.on_request([&](const ReceivedRequest& call) {
    called_ids.emplace_back(call.request["X-Request-Id"]);
    call.session->respond(200);
  });
  max_file_bytes = 4096;
  start();
  int accepted = 0;
  while (accepted < 100 &&
         submit("m" + std::to_string(accepted), kNonIdempotentClass, std::string(200, 'x')) == 202U)
    accepted++;
  EXPECT_GT(accepted, 1);
  ASSERT_LT(accepted, 100);
  EXPECT_EQ(submit("late", kNonIdempotentClass), 503U);
  EXPECT_EQ(health_status(), 503U);
  const rlimit no_limit{RLIM_INFINITY, RLIM_INFINITY};
  ASSERT_EQ(::prlimit(relay_pid, RLIMIT_FSIZE, &no_limit, nullptr), 0);
  wait_for([&] { return health_status() == 200; }, "the journal to be writable again");
  EXPECT_EQ(submit("after", kNonIdempotentClass), 202U);
  const auto call_count = [&](const std::string& id) {
    return std::count(called_ids.begin(), called_ids.end(), id);
  };
  wait_for([&] { return call_count("after") == 1; }, "the call");
  for (int i = 0; i < accepted; i++) EXPECT_EQ(call_count("m" + std::to_string(i)), 1) << i;
  EXPECT_EQ(call_count("m" + std::to_string(accepted)), 0) << "the message was refused";
  EXPECT_EQ(final_notices, "");
}

// Hundreds of endpoints are added, each at the address of one that is removed, and hundreds of clients
// connect and disconnect. At the end the relay must hold about as many descriptors and as much memory as
// after the first 200.
TEST_F(RelayTest, EndpointAndClientChurnLeaksNothing) {
  start();
  wait_for([&] { return !watches.empty(); }, "the watch");
  std::size_t warm_descriptors = 0;
  [[maybe_unused]] long warm_memory_kib = 0;  // not compared under sanitizers
  for (int i = 0; i < 600; i++) {
    const std::string id = std::to_string(i);
    send_watch_line(
        endpoint_list(endpoint_entry("e" + id, endpoint.address()) + "," +
                          (i == 0 ? endpoint_entry("s-1", endpoint.address(), "gone")
                                  : endpoint_entry("e" + std::to_string(i - 1), endpoint.address(), "gone")),
                      false));
    ASSERT_EQ(submit("m" + id, kIdempotentClass, std::string(2000, 'x')), 202U);
    close_clients();
    wait_for([&] { return endpoint.received.size() == static_cast<std::size_t>(i) + 1; }, "the call");
    if (HasFatalFailure()) return;
    if (i == 200) {
      warm_descriptors = descriptor_count();
      warm_memory_kib = resident_kib();
    }
  }
  EXPECT_LE(descriptor_count(), warm_descriptors + 4);
#ifndef __SANITIZE_ADDRESS__
  EXPECT_LE(resident_kib(), warm_memory_kib + 512);
#endif
}

// ---- Gossip between relays. ----
// The rejection of a call is sent to the peers. Datagrams that are malformed, too long or from an address
// that is not among the peers have no effect.
TEST_F(RelayTest, RejectionIsSentToPeersAndInvalidGossipIsIgnored) {
  using udp = net::ip::udp;
  const auto host = net::ip::make_address(loopback_address());
  udp::socket peer(io, {host, 0});
  udp::socket broadcast(io, {host, 0});
  udp::socket stranger(io, {host, 0});
  udp::socket probe(io, {host, 0});
  const auto relay_address = probe.local_endpoint();
  probe.close();
  const auto quoted = [](const udp::endpoint& address) {
    return "\"" + address.address().to_string() + ":" + std::to_string(address.port()) + "\"";
  };
  extra_config = ",\"peer_listen\":" + quoted(relay_address) + ",\"peers\":[" + quoted(relay_address) + "," +
                 quoted(peer.local_endpoint()) + "],\"peers_all\":" + quoted(broadcast.local_endpoint());
  int calls = 0;
  endpoint.on_request([&](const ReceivedRequest& call) { call.session->respond(++calls == 1 ? 503 : 200); });
  start();
  for (auto* sender : {&peer, &stranger})
    for (const std::string& datagram :
         {std::string(""), std::string("1rno-such-endpoint"), std::string(400, '\xff')})
      sender->send_to(net::buffer(datagram), relay_address);
  std::array<char, 300> received{};
  std::size_t received_bytes = 0;
  udp::endpoint sender_address;
  broadcast.async_receive_from(net::buffer(received), sender_address,
                               [&](error_code, std::size_t bytes) { received_bytes = bytes; });
  EXPECT_EQ(submit("m1", kIdempotentClass), 202U);
  wait_for([&] { return received_bytes > 0; }, "the gossip");
  EXPECT_EQ(std::string(received.data(), received_bytes), "1rs-1");
  EXPECT_EQ(sender_address, relay_address);
  wait_for([&] { return calls == 2; }, "the retry");
}

// ---- Malformed responses. ----
// If a response is malformed and its status line is not one with status 200, whatever the status, the message
// may have been executed: it ends with a final notice, and the connection is not reused although it stays
// open. A status line with status 200 counts as delivery, even if malformed bytes or an endless body follow
// it. A call that waits for the rest of such a response ends soon.
TEST_F(RelayTest, MalformedResponseIsJudgedByItsStatusLine) {
  struct Case {
    const char* response;
    bool delivered;
  };
  const std::vector<Case> cases = {
      {"HTTP/1.1 429 X\r\nContent-Length: 10\r\n\r\nab", false},
      {"HTTP/1.1 503 X\r\nnoise\x01\r\n\r\n", false},
      {"HTTP/1.1 504 X\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", false},
      {"HTTP/1.1 410 X\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", false},
      {"\x01\x02\x03\r\n\r\n", false},
      {"HTTP/1.1 200 OK\r\nX-No-End: a\r\n", true},
      {"HTTP/1.1 200 OK\r\nnoise\x01\r\n\r\n", true},
      {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc", true},
      {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", true},
      {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Load: x0=nan\r\nContent-Length: 0\r\n\r\n", true},
  };
  std::size_t calls = 0;
  endpoint.on_request([&](const ReceivedRequest& call) {
    const auto i = calls++ / 2;  // each malformed response is followed by a valid one
    calls % 2 == 1 ? call.session->write(cases[i].response) : call.session->respond(200);
  });
  start();
  std::string expected_notices;
  for (std::size_t i = 0; i < cases.size(); i++) {
    const std::string id = "m" + std::to_string(i);
    EXPECT_EQ(submit(id, kNonIdempotentClass, "x", "24000m"), 202U);
    wait_for([&] { return calls == 2 * i + 1; }, "the call");
    if (!cases[i].delivered) expected_notices += "{\"id\":\"" + id + "\",\"status\":\"undeliverable\"}\n";
    wait_for([&] { return final_notices == expected_notices; }, "the notices");
    EXPECT_EQ(submit("n" + std::to_string(i), kNonIdempotentClass, "x", "24000m"), 202U);
    wait_for([&] { return calls == 2 * i + 2; }, "the next call");
    EXPECT_EQ(endpoint.received.back().request["X-Request-Id"], "n" + std::to_string(i)) << cases[i].response;
    EXPECT_EQ(endpoint.received[2 * i].session == endpoint.received[2 * i + 1].session,
              i + 1 == cases.size());
  }
  EXPECT_EQ(final_notices, expected_notices);
}

// A surplus response that follows a valid one must not be taken for the response to the next call.
TEST_F(RelayTest, SurplusResponseIsNotTakenForNextCall) {
  std::size_t calls = 0;
  endpoint.on_request([&](const ReceivedRequest& call) {
    if (++calls == 1) {
      call.session->respond(200);
      return call.session->respond(200);
    }
    if (calls > 2) call.session->respond(200);
  });
  start();
  EXPECT_EQ(submit("m1", kIdempotentClass), 202U);
  wait_for([&] { return calls == 1; }, "the first call");
  EXPECT_EQ(submit("m2", kIdempotentClass, "x", "6000m"), 202U);
  wait_for([&] { return calls >= 2; }, "the second call");
  endpoint.received[1].session->close();
  wait_for([&] { return calls == 3; }, "the retry of the call without a response");
  EXPECT_EQ(endpoint.received[2].request["X-Request-Id"], "m2");
}

// The response consists of opening brackets only. A parser that recurses for each of them would overflow its
// stack.
TEST_F(RelayTest, DeeplyNestedBatchResponseDoesNotCrash) {
  endpoint_entries = endpoint_entry("s-1", endpoint.address(), "ready", "big");
  int batches = 0;
  int calls = 0;
  endpoint.on_request([&](const ReceivedRequest& call) {
    if (call.request.target() != "/events/bundle")
      return call.session->respond(200, ++calls == 1 ? "X-Come-Back-Ms: 800\r\n" : "");
    call.session->respond(200, "", ++batches == 1 ? std::string(60'000, '[') : "[]");
  });
  start();
  EXPECT_EQ(submit("m0", kIdempotentClass), 202U);
  wait_for([&] { return calls == 1; }, "the call whose response requests the delay");
  for (const std::string id : {"m1", "m2"}) EXPECT_EQ(submit(id, kNonIdempotentClass), 202U);
  wait_for([&] { return std::count(final_notices.begin(), final_notices.end(), '\n') == 2; },
           "the notices of both messages, which may have been executed");
  EXPECT_EQ(health_status(), 200U);
}

// ---- Misbehaving clients. ----
// A connection on which the client sends nothing or only a part of a request is closed within 3 s after
// it was opened.
TEST_F(RelayTest, IncompleteRequestsTimeOut) {
  start();
  const auto start_time = steady_clock::now();
  std::vector<std::shared_ptr<Client>> incomplete;
  for (const std::string& bytes :
       {std::string(), std::string("POST /load-st"), std::string("POST /load-status HTTP/1.1\r\nX-A: b\r\n"),
        request("m1", kIdempotentClass).substr(0, request("m1", kIdempotentClass).size() - 2),
        std::string("POST /load-status HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab")}) {
    incomplete.push_back(connect());
    incomplete.back()->write(bytes);
  }
  wait_for(
      [&] {
        return std::all_of(incomplete.begin(), incomplete.end(),
                           [](const auto& client) { return client->closed; });
      },
      "all connections to close");
  EXPECT_LT(steady_clock::now() - start_time, milliseconds(2950));
  EXPECT_EQ(submit("m2", kIdempotentClass), 202U);
}

// An invalid request is answered with an error, and its connection is closed. The bytes that follow it are
// not processed as a request.
TEST_F(RelayTest, RequestBehindInvalidRequestIsNotProcessed) {
  start();
  wait_for([&] { return !watches.empty(); }, "the endpoint list");
  wait_for([&] { return submit("m0", kIdempotentClass) == 202U; }, "a message to be accepted");
  const std::string hidden = request("hidden", kNonIdempotentClass);
  const std::string two_lengths =
      "POST /load-status HTTP/1.1\r\nX-Request-Id: m1\r\nX-Deadline: 480m\r\n"
      "X-Consignee: dest=7\r\nContent-Length: " +
      std::to_string(hidden.size() + 5) + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
  std::string unknown_destination = request("m2", kIdempotentClass);
  unknown_destination.replace(unknown_destination.find("dest=7"), 6, "dest=99");
  for (const auto& invalid : {two_lengths, unknown_destination, request("m3", "no-such-class"),
                              std::string("\x16\x03\x01\r\n\r\n")}) {
    const auto client = connect();
    client->write(invalid + hidden);
    wait_for([&] { return client->closed; }, "the connection to close");
    ASSERT_EQ(client->responses.size(), 1U);
    EXPECT_GE(client->responses[0].result_int(), 400U);
    EXPECT_LT(client->responses[0].result_int(), 500U);
  }
  EXPECT_EQ(submit("m9", kIdempotentClass), 202U);
  wait_for([&] { return endpoint.received.size() >= 2; }, "the calls");
  EXPECT_EQ(endpoint.received.size(), 2U);
}

// If two clients submit the same id at the same time, both receive the same response.
TEST_F(RelayTest, ConcurrentSubmissionsOfOneIdReceiveSameResponse) {
  endpoint.on_request(leave_unanswered);
  start();
  std::vector<std::shared_ptr<Client>> pairs;
  for (int i = 0; i < 100; i++) {
    pairs.push_back(connect());
    pairs.back()->write(request("m" + std::to_string(i / 2), kNonIdempotentClass, "x", "24000m"));
  }
  const auto has_response = [](const auto& client) { return client->responses.size() == 1; };
  wait_for([&] { return std::all_of(pairs.begin(), pairs.end(), has_response); }, "all responses");
  int refused = 0;
  for (std::size_t i = 0; i < pairs.size(); i += 2) {
    EXPECT_EQ(pairs[i]->responses[0].result_int(), pairs[i + 1]->responses[0].result_int()) << i;
    refused += pairs[i]->responses[0].result_int() == 503;
    EXPECT_EQ(pairs[i]->responses[0].result_int() == 503, pairs[i]->responses[0].count("Retry-After") == 1);
  }
  EXPECT_GT(refused, 0);
}

// A client submits the id of a completed message again. If the message were sent again, it would take effect
// twice.
TEST_F(RelayTest, CompletedIdIsNotSentAgain) {
  start();
  EXPECT_EQ(submit("m1", kNonIdempotentClass), 202U);
  wait_for([&] { return endpoint.received.size() == 1; }, "the call");
  EXPECT_EQ(submit("m2", kNonIdempotentClass), 202U);  // the response to the first call has been read by now
  wait_for([&] { return endpoint.received.size() == 2; }, "the second call");
  EXPECT_EQ(submit("m1", kNonIdempotentClass), 202U);
  EXPECT_EQ(submit("m3", kNonIdempotentClass), 202U);
  wait_for([&] { return endpoint.received.size() >= 3; }, "the third call");
  EXPECT_EQ(endpoint.received[2].request["X-Request-Id"], "m3");
}

// ---- Reloads of the configuration. ----
// The address of discovery changes while the relay delivers messages and a final notice is in flight. The
// watch and the notices, including the one in flight, move to the new address at once. The index of its list
// is lower than that of the former list. Endpoints that are not in the new list are removed.
TEST_F(RelayTest, SighupMovesWatchAndNoticesToNewDiscovery) {
  bool platform_silent = false;
  std::string moved_notices;
  std::string watch_target;
  FakeServer other(io, respond_ok);
  FakeServer moved(io, [&](const ReceivedRequest& incoming) {
    if (incoming.request.method() == http::verb::post) {
      moved_notices += incoming.request.body();
      return incoming.session->respond(204);
    }
    watch_target = std::string(incoming.request.target());
    incoming.session->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string line =
        R"({"index":3,"snapshot":true,"endpoints":[)" + endpoint_entry("s-2", other.address()) + "]}\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size());
    incoming.session->write(size + line + "\r\n");
  });
  // Each non-idempotent message ends with a final notice.
  endpoint.on_request([](const ReceivedRequest& call) { call.session->close(); });
  start();
  wait_for([&] { return watches.size() == 1; }, "the first watch");
  std::size_t notices_in_flight = 0;
  platform.on_request([&](const ReceivedRequest& incoming) {
    if (!platform_silent) return handle_platform_request(incoming);
    notices_in_flight += incoming.request.method() == http::verb::post;
  });
  platform_silent = true;
  EXPECT_EQ(submit("m1", kNonIdempotentClass), 202U);
  wait_for([&] { return notices_in_flight == 1; }, "a notice in flight");
  reload(config(moved.address()));
  wait_for([&] { return !moved_notices.empty() && !watch_target.empty(); },
           "the notice and the watch at the new address");
  EXPECT_EQ(moved_notices, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
  EXPECT_EQ(watch_target, "/catalog/members?follow=1&since=0");
  wait_for([&] { return watches[0]->closed; }, "the former watch to close");
  EXPECT_EQ(submit("m2", kNonIdempotentClass), 202U);
  wait_for([&] { return other.received.size() == 1; }, "the call to the endpoint of the new list");
  EXPECT_EQ(platform.sessions.size(), 2U) << "no new connection to the former address";
}

// The discovery at the new address may send only changes at first. The relay must then fetch the complete
// list: otherwise an endpoint that was removed before these changes would stay in use.
TEST_F(RelayTest, CompleteListIsFetchedFromNewDiscovery) {
  FakeServer other(io, respond_ok);
  int fetches = 0;
  FakeServer moved(io, [&](const ReceivedRequest& incoming) {
    const auto list = [&](const std::string& entries, bool snapshot) {
      return R"({"index":3,"snapshot":)" + std::string(snapshot ? "true" : "false") + R"(,"endpoints":[)" +
             entries + "]}\n";
    };
    if (incoming.request.target() == "/catalog/members") {
      fetches++;
      return incoming.session->respond(200, "", list(endpoint_entry("s-2", other.address()), true));
    }
    const std::string line = list(endpoint_entry("s-2", other.address()), false);
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size());
    incoming.session->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + (size + line) + "\r\n");
  });
  start();
  EXPECT_EQ(submit("m0", kIdempotentClass), 202U);
  wait_for([&] { return watches.size() == 1 && endpoint.received.size() == 1; }, "the first watch and call");
  reload(config(moved.address()));
  wait_for([&] { return fetches == 1 && endpoint.sessions[0]->closed; },
           "the removal of the former endpoint");
  for (int i = 1; i < 5; i++) EXPECT_EQ(submit("m" + std::to_string(i), kIdempotentClass), 202U);
  wait_for([&] { return other.received.size() == 4; }, "the calls");
  EXPECT_EQ(endpoint.received.size(), 1U);
  EXPECT_EQ(fetches, 1);
}

// A configuration file that cannot be parsed is reported in the log. The relay continues with the present
// configuration and applies the next valid file.
TEST_F(RelayTest, SighupWithInvalidFileKeepsConfiguration) {
  start();
  wait_for([&] { return watches.size() == 1; }, "the watch");
  reload("{\"name\":");
  wait_for([&] { return log_text().find("configuration: not reloaded") != std::string::npos; },
           "the log line");
  EXPECT_EQ(submit("m1", kNonIdempotentClass), 202U);
  wait_for([&] { return endpoint.received.size() == 1; }, "the call");
  EXPECT_EQ(watches.size(), 1U);
  EXPECT_FALSE(watches[0]->closed);
}

// ---- Startup. ----
// Each facility that the system lacks is reported in one log line, and the relay starts without it.
TEST_F(RelayTest, StartsWithoutFileLocksAndLocalSockets) {
  deny_locks_and_local_sockets = true;
  start();
  const auto log = log_text();
  EXPECT_NE(log.find("going on without a lock"), std::string::npos) << log;
  EXPECT_NE(log.find("a next process has to wait"), std::string::npos) << log;
  const auto end = log.begin() + static_cast<std::ptrdiff_t>(log.find("listening as"));
  EXPECT_EQ(std::count(log.begin(), end, '\n'), 2) << log;  // lines before the relay listens
}

TEST_F(RelayTest, InvalidConfigurationLogsOneLineAndExits) {
  endpoint_entries = endpoint_entry("s-1", endpoint.address());
  const auto log_after_replacing = [this](const std::string& valid, const std::string& invalid) {
    std::string text = config();
    text.replace(text.find(valid), valid.size(), invalid);
    std::filesystem::remove(folder + "/log");
    spawn(text);
    EXPECT_EQ(wait_for_exit(), 1);
    const auto log = log_text();
    EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 1) << log;
    return log;
  };
  EXPECT_NE(log_after_replacing("\"seed\"", "\"sead\"").find("config.seed"), std::string::npos);
  EXPECT_NE(log_after_replacing("\"disk_mb\":3", "\"disk_mb\":\"much\"").find("config.limits.disk_mb"),
            std::string::npos);
  EXPECT_NE(log_after_replacing("\"Workers\":8", "\"Workers\":0").find("max_calls_in_flight"),
            std::string::npos);
  EXPECT_NE(log_after_replacing("\"Workers\":8", "\"Walkers\":8").find("FamilyInfo.Workers"),
            std::string::npos);
  EXPECT_NE(log_after_replacing("\"name\":\"s-1\"", "\"name\":1").find("known.endpoints.name"),
            std::string::npos);
  EXPECT_NE(log_after_replacing("{\"name\"", "{{").find("config"), std::string::npos);
}

// ---- Limits on descriptors. ----
class FewSocketsTest : public RelayTest {
 protected:
  std::string limits() override { return R"({"cores":1.0,"memory_mb":192,"sockets":64,"disk_mb":3})"; }
};

// Many idle client connections must neither keep a new client from being served nor use up the descriptors.
TEST_F(FewSocketsTest, IdleConnectionsAreClosedForNewClients) {
  start();
  for (int i = 0; i < 60; i++) ASSERT_NE(connect(), nullptr);
  EXPECT_EQ(submit("m1", kIdempotentClass), 202U);
  wait_for([&] { return !endpoint.received.empty(); }, "the call");
  EXPECT_LE(descriptor_count(), 56U);
}

// Clients that send one request and keep their connection open occupy places that other clients need. While
// few places are free, a connection is closed after its response; otherwise it is kept open.
TEST_F(FewSocketsTest, ConnectionIsClosedAfterResponseWhileFewPlacesAreFree) {
  start();
  close_clients();
  int kept_open = 0;
  int closed = 0;
  for (int i = 0; i < 40; i++) {
    EXPECT_EQ(submit("m" + std::to_string(i), kIdempotentClass), 202U);
    clients.back()->responses.back().keep_alive() ? kept_open++ : closed++;
    if (i == 3) {
      EXPECT_EQ(closed, 0);
    }
  }
  EXPECT_LT(kept_open, 20);  // the number of places for clients
  EXPECT_GT(closed, 20);
  close_clients();
  wait_for(
      [&] { return submit("n", kIdempotentClass) == 202U && clients.back()->responses.back().keep_alive(); },
      "a connection to be kept open again");
}

// With all client connections in use, the number of calls in flight is limited by the descriptors even if the
// settings allow more.
TEST_F(FewSocketsTest, CallsInFlightStayWithinDescriptorLimit) {
  max_calls_in_flight = 300;
  endpoint.on_request(leave_unanswered);
  std::vector<std::unique_ptr<FakeServer>> others;
  endpoint_entries = endpoint_entry("s-0", endpoint.address());
  for (int i = 1; i < 12; i++) {
    others.push_back(std::make_unique<FakeServer>(io, leave_unanswered));
    endpoint_entries += "," + endpoint_entry("s-" + std::to_string(i), others.back()->address());
  }
  start();
  const auto idle_count = descriptor_count();  // includes those that the relay inherits from the test
  std::size_t peak_count = 0;
  for (int i = 0; i < 40; i++) {
    submit("m" + std::to_string(i), kNonIdempotentClass, "x", "24000m");
    ASSERT_NE(connect(), nullptr);
    peak_count = std::max(peak_count, descriptor_count());
  }
  EXPECT_LE(peak_count, idle_count + 40);  // the limit of 64 less 24 for other files
  EXPECT_EQ(health_status(), 200U);
}

// Many clients connect and send nothing or only a part of a request. Well-behaved clients are still served,
// both on new connections and on one that is kept open.
TEST_F(FewSocketsTest, SilentConnectionsDoNotBlockOtherClients) {
  start();
  wait_for([&] { return submit("m", kIdempotentClass) == 202U; }, "a message to be accepted");
  auto persistent = connect();
  persistent->write(request("u", kIdempotentClass));
  wait_for([&] { return persistent->responses.size() == 1; }, "the first response");
  for (int i = 0; i < 200; i++) {
    const auto silent = connect();
    ASSERT_NE(silent, nullptr);
    if (i % 2 == 0) silent->write("POST /load");
    if (i % 40 != 39) continue;
    // While few places are free, the last response has announced that its connection will be closed.
    if (!persistent->responses.empty() && !persistent->responses.back().keep_alive()) persistent = connect();
    const auto responses_before = persistent->responses.size();
    persistent->write(request("u" + std::to_string(i), kIdempotentClass));
    wait_for([&] { return persistent->responses.size() > responses_before || persistent->closed; },
             "the response on the persistent connection");
    ASSERT_GT(persistent->responses.size(), responses_before);
    EXPECT_EQ(persistent->responses.back().result_int(), 202U);
    EXPECT_EQ(submit("n" + std::to_string(i), kIdempotentClass), 202U);
  }
}

// During an outage of discovery, idle clients fill all places for clients, and the system grants no
// descriptor above the limit. Calls, final notices, the second file of the journal and the configuration must
// still get descriptors, clients with a request must be served, and the list must be read when discovery is
// back.
class DescriptorLimitTest : public RelayTest {
 protected:
  DescriptorLimitTest() {
    discovery_mode = "automatic";
    max_calls_in_flight = 300;
    max_descriptors = 64;
  }
  std::string limits() override { return R"({"cores":1.0,"memory_mb":192,"sockets":64,"disk_mb":1})"; }
};

TEST_F(DescriptorLimitTest, IdleClientsLeaveDescriptorsDuringDiscoveryOutage) {
  std::size_t calls = 0;
  std::vector<std::unique_ptr<FakeServer>> silent_endpoints;
  for (int i = 0; i < 8; i++) {
    silent_endpoints.push_back(std::make_unique<FakeServer>(io, [&](const ReceivedRequest&) { calls++; }));
    endpoint_entries +=
        (i == 0 ? "" : ",") + endpoint_entry("s-" + std::to_string(i), silent_endpoints.back()->address());
  }
  start();
  wait_for([&] { return watches.size() == 1; }, "the watch");
  platform.on_request([this](const ReceivedRequest& incoming) {
    if (incoming.request.method() == http::verb::post) handle_platform_request(incoming);
  });
  const auto requests_before = platform.received.size();
  watches[0]->close();
  const auto connect_idle_clients = [this] {
    for (int i = 0; i < 60; i++) ASSERT_NE(connect(), nullptr);
  };
  for (std::size_t i = 0; i < 16; i++) {  // fewer than the 20 places for calls; the calls stay in flight
    connect_idle_clients();
    ASSERT_EQ(submit("m" + std::to_string(i), kNonIdempotentClass, "x", "24000m"), 202U) << i;
    wait_for([&] { return calls == i + 1; }, "the call of the message");
  }
  connect_idle_clients();
  silent_endpoints[0]->received.at(0).session->close();
  const std::string id(silent_endpoints[0]->received[0].request["X-Request-Id"]);
  wait_for([&] { return final_notices.find("{\"id\":\"" + id + "\",\"status\":\"undeliverable\"}\n") == 0; },
           "the notice");
  reload(config());
  wait_for([&] { return log_text().find("configuration reloaded") != std::string::npos; }, "the reload");
  wait_for([&] { return platform.received.size() >= requests_before + 3; }, "further requests to discovery");
  platform.on_request([this](const ReceivedRequest& incoming) { handle_platform_request(incoming); });
  endpoint_entries = endpoint_entry("s-9", endpoint.address());
  wait_for([&] { return watches.size() == 2; }, "the watch after the outage");
  const std::string body(60'000, 'x');  // 30 of them are almost twice the limit on disk space
  for (int i = 0; i < 30; i++) {
    connect_idle_clients();
    // The reset above limits the calls to the destination, so that 6 s are too short for all messages.
    wait_for([&] { return submit("n" + std::to_string(i), kNonIdempotentClass, body, "24000m") == 202U; },
             "the message to be accepted");
  }
  wait_for([&] { return endpoint.received.size() >= 30; }, "the calls of the messages");
  EXPECT_EQ(log_text().find("Too many open files"), std::string::npos) << log_text();
}

// ---- Limits on disk space. ----
// The journal is full of completed messages, with one open message, and discovery never responds. The relay
// must become ready all the same, and must read the journal within the memory of the smallest configuration.
class LargeDiskTest : public RelayTest {
 protected:
  std::string limits() override { return R"({"cores":1.0,"memory_mb":32,"sockets":256,"disk_mb":64})"; }
};

TEST_F(LargeDiskTest, BecomesReadyWithFullJournalAndWithoutDiscovery) {
  constexpr std::uint64_t disk_bytes = 64'000'000;
  {
    Journal journal(folder + "/state", disk_bytes);
    Message message;
    message.id = "held";
    message.message_class = kNonIdempotentClass;
    message.destination = 7;
    message.deadline = journal_now() + 600'000'000;
    journal.record_message(1, message);
    message.body = std::string(60'000, 'x');
    for (MessageId id = 2; journal.bytes_on_disk() < disk_bytes / 100 * 95; id++) {
      message.id = "over" + std::to_string(id);
      journal.record_message(id, message);
      journal.record_completed(id);
      ASSERT_TRUE(journal.commit());
    }
  }
  platform.on_request(leave_unanswered);
  start();
  EXPECT_EQ(health_status(), 200U);
#ifndef __SANITIZE_ADDRESS__
  EXPECT_LT(peak_resident_kib(), 32'000);
#endif
  wait_for([&] { return endpoint.received.size() == 1; }, "the call of the open message");
  EXPECT_EQ(endpoint.received[0].request["X-Request-Id"], "held");
}

// While the journal is full of large bodies, clients are refused. Messages are accepted again once space is
// free.
class SmallDiskTest : public RelayTest {
 protected:
  std::string limits() override { return R"({"cores":1.0,"memory_mb":192,"sockets":256,"disk_mb":1})"; }
};

TEST_F(SmallDiskTest, FullJournalRefusesMessagesUntilSpaceIsFree) {
  endpoint.on_request(leave_unanswered);
  start();
  const std::string body(60'000, 'x');
  int accepted = 0;
  while (accepted < 30 && submit("m" + std::to_string(accepted), kIdempotentClass, body) == 202U) accepted++;
  EXPECT_GE(accepted, 3);
  EXPECT_LT(accepted, 30);
  for (const auto& call : endpoint.received) call.session->respond(200);
  endpoint.on_request(respond_ok);
  for (int i = 0; i < 40; i++)
    wait_for([&] { return submit("n" + std::to_string(i), kIdempotentClass, body) == 202U; },
             "a message to be accepted again");
  std::uintmax_t bytes = 0;
  for (const auto& file : std::filesystem::directory_iterator(folder + "/state"))
    if (file.is_regular_file()) bytes += file.file_size();
  EXPECT_LE(bytes, 1'000'000U);
}

}  // namespace
}  // namespace message_relay::testing
