// The whole relay over loopback sockets. Each test says which failure it guards against.
#include "journal.hpp"
#include "relay_harness.hpp"

namespace message_relay::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

const char* const kSafe = "load-status";
const char* const kUnsafe = "pay-and-order";

TEST_F(RelayTest, DeliversAndOwesNothingMore) {
  start();
  const std::string body("\0\x01 any bytes \xff", 14);
  EXPECT_EQ(submit("m1", kSafe, body), 202U);
  wait_for([&] { return !endpoint.received.empty(); }, "the call");
  const Request& call = endpoint.received[0].request;
  EXPECT_EQ(call.target(), "/events");
  EXPECT_EQ(call["X-Request-Id"], "m1");
  EXPECT_EQ(call.body(), body);
  EXPECT_EQ(call["X-Deadline"].back(), 'u');
  ::kill(relay_pid, SIGTERM);
  EXPECT_EQ(wait_for_exit(), 0);
  EXPECT_EQ(endpoint.received.size(), 1U);
  EXPECT_EQ(final_notices, "");
}

TEST_F(RelayTest, KeepsItsConnectionToAnEndpoint) {
  start();
  for (int i = 0; i < 5; i++) {
    EXPECT_EQ(submit("m" + std::to_string(i), kSafe), 202U);
    wait_for([&] { return endpoint.received.size() == static_cast<std::size_t>(i) + 1; }, "the call");
  }
  EXPECT_EQ(endpoint.sessions.size(), 1U);
}

// A kept connection that the endpoint has closed must not be written to: that would be a reset, and the end
// of an unsafe message.
TEST_F(RelayTest, DoesNotUseAConnectionThatTheEndpointClosed) {
  start();
  EXPECT_EQ(submit("m1", kUnsafe), 202U);
  wait_for([&] { return endpoint.received.size() == 1; }, "the call");
  endpoint.sessions[0]->close();
  EXPECT_EQ(submit("m2", kUnsafe), 202U);
  wait_for([&] { return endpoint.received.size() == 2; }, "the second call");
  EXPECT_EQ(endpoint.sessions.size(), 2U);
  EXPECT_EQ(final_notices, "");
}

TEST_F(RelayTest, AMessageHandedInTwiceIsOne) {
  endpoint.on_request(leave_unanswered);
  start();
  EXPECT_EQ(submit("m1", kUnsafe), 202U);
  EXPECT_EQ(submit("m1", kUnsafe), 202U);
  EXPECT_EQ(submit("m2", kUnsafe), 202U);
  wait_for([&] { return endpoint.received.size() >= 2; }, "both calls");
  EXPECT_NE(endpoint.received[0].request["X-Request-Id"], endpoint.received[1].request["X-Request-Id"]);
}

// Whatever comes in is answered or dropped, and the next message is served as if nothing had been.
TEST_F(RelayTest, BadInputIsTurnedDown) {
  start();
  EXPECT_EQ(send_request("NONSENSE\r\n\r\n"), 400U);
  EXPECT_EQ(send_request("POST /load-status HTTP/1.1\r\nContent-Length: banana\r\n\r\n"), 400U);
  EXPECT_EQ(send_request("POST /load-status HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"),
            400U);  // no headers of ours
  EXPECT_EQ(send_request("POST /unheard-of HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"), 404U);
  EXPECT_EQ(send_request("GET /load-status HTTP/1.1\r\n\r\n"), 405U);
  EXPECT_EQ(submit("m1", kSafe, "x", "soon"), 400U);
  EXPECT_EQ(submit("m1", kSafe, "x", "-5m"), 400U);
  EXPECT_EQ(submit("m1", kSafe, std::string(std::size_t{65} * 1024, 'x')), 413U);
  EXPECT_EQ(send_request("GET /_health HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n"), 400U);
  connect()->write("POST /load-status HT");  // a slow one, never done
  const auto half = connect();
  half->write(request("m2", kSafe).substr(0, 80));
  half->shutdown_send();
  wait_for([&] { return half->closed; }, "half a request is dropped");
  EXPECT_EQ(submit("m3", kSafe, std::string(std::size_t{64} * 1024, 'x')), 202U);
  wait_for([&] { return !endpoint.received.empty(); }, "the call");
  EXPECT_EQ(endpoint.received[0].request["X-Request-Id"], "m3");
}

TEST_F(RelayTest, AClientThatEndedItsSendingIsAnswered) {
  start();
  const auto client = connect();
  client->write(request("m1", kSafe));
  client->shutdown_send();
  wait_for([&] { return !client->responses.empty(); }, "the answer");
  EXPECT_EQ(client->responses[0].result_int(), 202U);
}

TEST_F(RelayTest, ContinuesAClientThatAsksFirst) {
  start();
  const auto client = connect();
  std::string head = request("m1", kSafe);
  head.insert(head.find("Content-Length"), "Expect: 100-continue\r\n");
  client->write(head.substr(0, head.size() - 5));
  wait_for([&] { return !client->responses.empty(); }, "100");
  EXPECT_EQ(client->responses[0].result_int(), 100U);
  client->write("hello");
  wait_for([&] { return client->responses.size() == 2; }, "202");
  EXPECT_EQ(client->responses[1].result_int(), 202U);
}

// At the limit of what may be held a client is told so at once.
TEST_F(RelayTest, RefusesAtTheOpenLimit) {
  endpoint.on_request(leave_unanswered);
  start();
  int taken = 0, refused = 0;
  for (int i = 0; i < 60; i++) {
    const auto status = submit("m" + std::to_string(i), kUnsafe, "x", "24000m");
    taken += status == 202;
    refused += status == 503;
  }
  EXPECT_EQ(taken + refused, 60);
  EXPECT_GT(refused, 0);
  EXPECT_GE(taken, 30);
}

// An unsafe call that may have run is neither sent again nor refused: it ends by one notice.
TEST_F(RelayTest, AnUnsafeMessageIsNotRepeatedAfterAReset) {
  endpoint.on_request([](const ReceivedRequest& g) { g.session->close(); });
  start();
  EXPECT_EQ(submit("m1", kUnsafe), 202U);
  wait_for([&] { return !final_notices.empty(); }, "the notice");
  EXPECT_EQ(final_notices, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
  EXPECT_EQ(endpoint.received.size(), 1U);
}

TEST_F(RelayTest, AnUnsafeMessageIsSentAgainWhereNoConnectionCameUp) {
  // Bound but not listening: connects are refused.
  tcp::socket closed(io);
  closed.open(tcp::v4());
  closed.bind({net::ip::make_address(loopback_address()), 0});
  const auto port_of = std::to_string(closed.local_endpoint().port());
  endpoint_entries = endpoint_entry("s-1", loopback_address() + ":" + port_of);
  start();
  EXPECT_EQ(submit("m1", kUnsafe, "x", "24000m"), 202U);
  wait_for(
      [&] {
        return log_text().find("endpoint_ejected endpoint=s-1 cause=connect_failed") != std::string::npos;
      },
      "connects fail");
  endpoint_entries = endpoint_entry("s-1", endpoint.address());  // the same endpoint, found elsewhere
  send_watch_line(endpoint_list(endpoint_entries));
  wait_for([&] { return !endpoint.received.empty(); }, "the call");
  EXPECT_EQ(final_notices, "");
}

TEST_F(RelayTest, AToldWaitIsKept) {
  std::vector<steady_clock::time_point> at;
  endpoint.on_request([&](const ReceivedRequest& g) {
    at.push_back(steady_clock::now());
    at.size() == 1 ? g.session->respond(429, "X-Come-Back-Ms: 1200\r\n") : g.session->respond(200);
  });
  start();
  EXPECT_EQ(submit("m1", kSafe), 202U);
  wait_for([&] { return at.size() == 1; }, "the first call");
  EXPECT_EQ(submit("m2", kSafe), 202U);
  wait_for([&] { return at.size() == 3; }, "all calls");
  EXPECT_GE(at[1] - at[0], milliseconds(1200));
}

// A wait may stand in any answer, also one that delivers.
TEST_F(RelayTest, AWaitToldWithADeliveryIsKept) {
  std::vector<steady_clock::time_point> at;
  endpoint.on_request([&](const ReceivedRequest& g) {
    at.push_back(steady_clock::now());
    g.session->respond(200, at.size() == 1 ? "X-Come-Back-Ms: 1200\r\n" : "");
  });
  start();
  EXPECT_EQ(submit("m1", kSafe), 202U);
  wait_for([&] { return at.size() == 1; }, "the first call");
  EXPECT_EQ(submit("m2", kSafe), 202U);
  wait_for([&] { return at.size() == 2; }, "the second call");
  EXPECT_GE(at[1] - at[0], milliseconds(1200));
}

// Several messages in one call each have an end of their own; one that the answer leaves out may have run.
TEST_F(RelayTest, ABundleGivesEachMessageItsEnd) {
  endpoint_entries = endpoint_entry("s-1", endpoint.address(), "ready", "big");
  std::map<std::string, int> seen;
  endpoint.on_request([&](const ReceivedRequest& g) {
    if (g.request.target() != "/events/bundle") {
      seen[std::string(g.request["X-Request-Id"])]++;
      return g.session->respond(200, g.request["X-Request-Id"] == "m0" ? "X-Come-Back-Ms: 1500\r\n" : "");
    }
    std::string answer = "[";
    for (const std::string id : {"m1", "m2", "m3"}) {
      if (g.request.body().find("\"id\":\"" + id + "\",\"body\":\"aGVsbG8=\"") == std::string::npos) continue;
      seen[id]++;
      if (id == "m3") continue;
      answer += std::string(answer.size() > 1 ? "," : "") + R"({"id":")" + id + R"(","state":")" +
                (id == "m1" ? "done" : "busy") + "\"}";
    }
    g.session->respond(200, "", answer + "]");
  });
  start();
  // A told wait holds them all, so that they go in one round when it ends.
  EXPECT_EQ(submit("m0", kSafe), 202U);
  wait_for([&] { return seen["m0"] == 1; }, "the wait is told");
  for (const std::string id : {"m1", "m2", "m3"}) EXPECT_EQ(submit(id, kUnsafe), 202U);
  wait_for([&] { return seen["m1"] >= 1 && seen["m2"] >= 2 && !final_notices.empty(); }, "each has its end");
  EXPECT_EQ(seen["m1"], 1);
  EXPECT_EQ(seen["m2"], 2);
  EXPECT_EQ(seen["m3"], 1);
  EXPECT_EQ(final_notices, "{\"id\":\"m3\",\"status\":\"undeliverable\"}\n");
}

// ---- Classes of other customers. ----
const std::string kOtherClasses =
    R"(,{"Name":"stamped","Points":1.0,"Target":1000000,"Deadline":6000000,"Idempotency":"idempotency_key",)"
    R"("Window":5000000},{"Name":"in-turn","Points":1.0,"Target":1000000,"Deadline":6000000,)"
    R"("Idempotency":"read_like","FifoByKey":true})";
std::string with_key(std::string request) {
  return request.insert(request.find("X-Deadline"), "Idempotency-Key: 0f-key\r\n");
}

// Its endpoint knows a repeat by the key: one that came without would run twice.
TEST_F(RelayTest, AnIdempotencyKeyGoesWithItsMessageAcrossARestartAndInBundles) {
  extra_classes = kOtherClasses;
  endpoint_entries = endpoint_entry("s-1", endpoint.address(), "ready", "big");
  endpoint.on_request(leave_unanswered);
  start();
  EXPECT_EQ(send_request(with_key(request("m1", "stamped"))), 202U);
  wait_for([&] { return endpoint.received.size() == 1; }, "the call");
  EXPECT_EQ(endpoint.received[0].request["Idempotency-Key"], "0f-key");
  kill_relay();
  endpoint.on_request([](const ReceivedRequest& g) { g.session->respond(200, "X-Come-Back-Ms: 1500\r\n"); });
  start();
  wait_for([&] { return endpoint.received.size() == 2; }, "the call of the next life");
  EXPECT_EQ(endpoint.received[1].request["Idempotency-Key"], "0f-key");
  // The wait that its answer tells holds the next ones, so that they go in one round.
  EXPECT_EQ(send_request(with_key(request("m2", "stamped"))), 202U);
  EXPECT_EQ(submit("m3", kSafe), 202U);
  wait_for([&] { return endpoint.received.size() == 3; }, "the bundle");
  EXPECT_EQ(endpoint.received[2].request.target(), "/events/bundle");
  EXPECT_NE(endpoint.received[2].request.body().find(R"({"id":"m2","key":"0f-key","body":)"),
            std::string::npos);
  EXPECT_NE(endpoint.received[2].request.body().find(R"({"id":"m3","body":)"), std::string::npos);
}

// Of messages that may have run, those whose key's window is over end by a notice and are not sent again; the
// window counts from the first attempt that may have run, whatever came later, and not from one that never
// ran.
TEST_F(RelayTest, ARestartRepeatsAKeyedMessageOnlyInsideItsWindow) {
  const auto keyed = [](const std::string& name, const std::string& window) {
    return R"(,{"Name":")" + name + R"(","Points":1.0,"Target":1000000,"Deadline":6000000,"Window":)" +
           window + R"(,"Idempotency":"idempotency_key"})";
  };
  extra_classes = keyed("short", "1000000") + keyed("long", "3600000000");
  {
    const Time now = wall_now(), before = now - 10'000'000;
    Journal journal(folder + "/state", 3'000'000);
    const auto held = [&](MessageId id, const std::string& cls,
                          const std::vector<std::pair<Time, std::optional<Outcome>>>& attempts) {
      Message m;
      m.id = "m" + std::to_string(id), m.message_class = cls, m.idempotency_key = "key-" + m.id;
      m.destination = 7, m.deadline = now + 600'000'000;
      journal.record_message(id, m);
      for (std::size_t i = 0; i < attempts.size(); i++) {
        journal.record_attempt(id, attempts[i].first, 0);
        if (attempts[i].second) journal.record_outcome(id, static_cast<int>(i), *attempts[i].second);
      }
    };
    held(1, "short", {{before, std::nullopt}});
    held(2, "short", {{before, Outcome::reset}, {now, std::nullopt}});
    held(3, "short", {{before, Outcome::timeout}, {now, Outcome::rejected}});
    held(4, "long", {{now, std::nullopt}});
    held(5, "short", {{before, Outcome::rejected}});
    ASSERT_TRUE(journal.commit());
  }
  start();
  wait_for(
      [&] {
        return endpoint.received.size() >= 2 &&
               std::count(final_notices.begin(), final_notices.end(), '\n') >= 3;
      },
      "their calls and notices");
  std::set<std::string> sent;
  for (const auto& g : endpoint.received) sent.insert(std::string(g.request["X-Request-Id"]));
  EXPECT_EQ(sent, (std::set<std::string>{"m4", "m5"}));
  EXPECT_EQ(endpoint.received.size(), 2U);
  std::string over;
  for (const std::string id : {"m1", "m2", "m3"})
    over += R"({"id":")" + id + R"(","status":"undeliverable"})" + "\n";
  EXPECT_EQ(final_notices, over);
}

// Messages of one subject go one at a time, in the order in which they were taken on, also by the next life.
TEST_F(RelayTest, MessagesInOrderGoOneAfterTheOther) {
  extra_classes = kOtherClasses;
  const auto about = [&](const std::string& id, const std::string& subject) {
    auto text = request(id, "in-turn");
    return text.replace(0, text.find(" HTTP"), "POST /in-turn/" + subject);
  };
  endpoint.on_request(leave_unanswered);
  start();
  EXPECT_EQ(send_request(about("m1", "doc-1")), 202U);
  wait_for([&] { return endpoint.received.size() == 1; }, "the first call");
  EXPECT_EQ(send_request(about("m2", "doc-1")), 202U);
  EXPECT_EQ(send_request(about("m3", "doc-2")), 202U);
  wait_for([&] { return endpoint.received.size() == 2; }, "the call of another subject");
  EXPECT_EQ(endpoint.received[1].request["X-Request-Id"], "m3") << "m2 came before it and has to wait";
  kill_relay();
  endpoint.received.clear();
  start();
  wait_for([&] { return endpoint.received.size() == 2; }, "the calls of the next life");
  std::set<std::string> again;
  for (const auto& g : endpoint.received) again.insert(std::string(g.request["X-Request-Id"]));
  EXPECT_EQ(again, (std::set<std::string>{"m1", "m3"}));
  for (const auto& g : endpoint.received) g.session->respond(200);
  wait_for([&] { return endpoint.received.size() == 3; }, "the next of its subject");
  EXPECT_EQ(endpoint.received[2].request["X-Request-Id"], "m2");
}

TEST_F(RelayTest, GarbageFromAnEndpointIsAReset) {
  int calls = 0;
  endpoint.on_request([&](const ReceivedRequest& g) {
    if (++calls > 1) return g.session->respond(200);
    g.session->write("\x01\x02 not HTTP\r\n\r\n");
    g.session->close();
  });
  start();
  EXPECT_EQ(submit("m1", kSafe), 202U);
  wait_for([&] { return calls == 2; }, "it is sent again");
}

TEST_F(RelayTest, NothingNewGoesToADrainingEndpoint) {
  FakeServer other(io, respond_ok);
  start();
  wait_for([&] { return !watches.empty(); }, "the watch");
  EXPECT_EQ(submit("m1", kSafe), 202U);
  wait_for([&] { return endpoint.received.size() == 1; }, "the call");
  send_watch_line(endpoint_list(
      endpoint_entry("s-1", endpoint.address(), "draining") + "," + endpoint_entry("s-2", other.address()),
      false));
  wait_for([&] { return endpoint.sessions[0]->closed; }, "its idle connection is closed");
  for (int i = 2; i < 6; i++) EXPECT_EQ(submit("m" + std::to_string(i), kSafe), 202U);
  wait_for([&] { return other.received.size() == 4; }, "the calls go elsewhere");
  EXPECT_EQ(endpoint.received.size(), 1U);
}

// Discovery that talks nonsense, or ends the watch, is asked again; what was known holds until then.
// Where the settings call discovery automatic, changes come by a watch all the same.
TEST_F(RelayTest, AutomaticDiscoveryIsWatchedToo) {
  discovery_mode = "automatic";
  start();
  wait_for([&] { return !watches.empty(); }, "the watch");
  watches.back()->close();
  wait_for([&] { return watches.size() == 2; }, "it is begun again");
  FakeServer other(io, respond_ok);
  send_watch_line(endpoint_list(
      endpoint_entry("s-1", endpoint.address(), "draining") + "," + endpoint_entry("s-2", other.address()),
      false));
  // Until the change has come, messages still go to the first.
  for (int i = 0; other.received.empty() && i < 1000; i++) {
    EXPECT_EQ(submit("m" + std::to_string(i), kSafe), 202U);
    const auto all = [&] { return endpoint.received.size() + other.received.size(); };
    wait_for([&] { return all() == static_cast<std::size_t>(i) + 1; }, "the call");
  }
  EXPECT_FALSE(other.received.empty());
}

TEST_F(RelayTest, AWatchThatBreaksIsBegunAgain) {
  start();
  wait_for([&] { return watches.size() == 1; }, "the watch");
  send_watch_line("{\"index\":\"what\"}");
  wait_for([&] { return watches.size() == 2; }, "a new watch");
  watches.back()->close();
  wait_for([&] { return watches.size() == 3; }, "another watch");
  EXPECT_EQ(submit("m1", kSafe), 202U);
  wait_for([&] { return !endpoint.received.empty(); }, "the call");
}

// A connection that says nothing more is as dead as one that ended: the list would grow stale unseen.
TEST_F(RelayTest, ASilentWatchIsTakenAsEnded) {
  start();
  wait_for([&] { return watches.size() == 2; }, "a new watch after the silence");
  EXPECT_NE(log_text().find("watch failed: no data within the timeout"), std::string::npos);
}

TEST_F(RelayTest, ANoticeIsResentUntilThePlatformHasIt) {
  endpoint.on_request([](const ReceivedRequest& g) { g.session->close(); });
  notice_response_status = 503;
  start();
  EXPECT_EQ(submit("m1", kUnsafe), 202U);
  wait_for([&] { return refused_notice_requests >= 2; }, "it is sent again");
  kill_relay();
  start();
  notice_response_status = 204;
  wait_for([&] { return !final_notices.empty(); }, "a new life sends it too");
  EXPECT_EQ(final_notices, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
  EXPECT_EQ(endpoint.received.size(), 1U);
}

// A notice that the platform can't read is dropped, with a line in the log; those beside it are told.
TEST_F(RelayTest, AnUnreadableNoticeHoldsUpNoOther) {
  endpoint.on_request([](const ReceivedRequest& g) { g.session->close(); });
  std::string told;
  bool down = true;
  platform.on_request([&](const ReceivedRequest& g) {
    if (g.request.method() != http::verb::post) return handle_platform_request(g);
    if (down) return g.session->respond(503);
    const bool unreadable = g.request.body().find("\"m1\"") != std::string::npos;
    if (!unreadable) told += g.request.body();
    g.session->respond(unreadable ? 400 : 204);
  });
  start();
  for (const std::string id : {"m0", "m1", "m2"}) {
    EXPECT_EQ(submit(id, kUnsafe, "x", "24000m"), 202U);
    const auto before = endpoint.received.size();
    wait_for([&] { return endpoint.received.size() > before || endpoint.received.size() >= 3; }, "its call");
  }
  down = false;
  wait_for([&] { return std::count(told.begin(), told.end(), '\n') == 2; }, "the others");
  EXPECT_EQ(told.find("m1"), std::string::npos);
  wait_for(
      [&] {
        return log_text().find("rejected by the platform as malformed: {\"id\":\"m1\"") != std::string::npos;
      },
      "the line in the log");
}

// ---- Restarts. ----
// Killed with much held, and at the bound of what it may hold: each message is sent again or ends, none
// twice.
TEST_F(RelayTest, ARestartWithMuchHeldLosesNothing) {
  endpoint.on_request(leave_unanswered);
  start();
  int taken = 0;
  for (int i = 0; i < 60; i++)
    taken += submit("m" + std::to_string(i), kUnsafe, std::string(9000, 'x'), "24000m") == 202U;
  EXPECT_GE(taken, 30);
  wait_for([&] { return !endpoint.received.empty(); }, "some calls");
  std::map<std::string, int> sent;
  for (const auto& g : endpoint.received) sent[std::string(g.request["X-Request-Id"])]++;
  const auto before = static_cast<int>(sent.size());
  kill_relay();
  endpoint.on_request([&](const ReceivedRequest& g) {
    sent[std::string(g.request["X-Request-Id"])]++;
    g.session->respond(200);
  });
  start();
  wait_for([&] { return static_cast<int>(sent.size()) == taken; }, "the rest is sent");
  wait_for([&] { return std::count(final_notices.begin(), final_notices.end(), '\n') >= before; },
           "the others' notices");
  for (const auto& [id, n] : sent) EXPECT_EQ(n, 1) << id;
}

TEST_F(RelayTest, AnUnsafeCallThatWasOutAtSigkillEndsAsFailed) {
  endpoint.on_request(leave_unanswered);
  start();
  EXPECT_EQ(submit("m1", kUnsafe, "x", "24000m"), 202U);
  wait_for([&] { return endpoint.received.size() == 1; }, "the call");
  kill_relay();
  endpoint.on_request(respond_ok);
  start();
  wait_for([&] { return !final_notices.empty(); }, "the notice");
  EXPECT_EQ(final_notices, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
  EXPECT_EQ(submit("m2", kUnsafe), 202U);
  wait_for([&] { return endpoint.received.size() == 2; }, "the next message's call");
  EXPECT_EQ(endpoint.received[1].request["X-Request-Id"], "m2");
}

TEST_F(RelayTest, ASafeCallThatWasOutAtSigkillIsMadeAgain) {
  endpoint.on_request(leave_unanswered);
  start();
  EXPECT_EQ(submit("m1", kSafe), 202U);
  wait_for([&] { return endpoint.received.size() == 1; }, "the call");
  kill_relay();
  endpoint.on_request(respond_ok);
  start();
  wait_for([&] { return endpoint.received.size() == 2; }, "the call again");
  EXPECT_EQ(endpoint.received[1].request["X-Request-Id"], "m1");
  EXPECT_EQ(endpoint.received[1].request.body(), "hello");
  EXPECT_EQ(final_notices, "");
}

TEST_F(RelayTest, WhatFellDueWhileItWasDownEndsAtOnce) {
  endpoint.on_request(leave_unanswered);
  start();
  EXPECT_EQ(submit("m1", kSafe, "x", "300m"), 202U);
  kill_relay();
  const auto due = steady_clock::now() + milliseconds(300);
  wait_for([&] { return steady_clock::now() > due; }, "its time is up");
  const auto before = endpoint.received.size();
  start();
  wait_for([&] { return !final_notices.empty(); }, "the notice");
  EXPECT_EQ(endpoint.received.size(), before);
}

// At SIGTERM calls that are out come home, clients are answered on, and the process ends by itself.
TEST_F(RelayTest, DrainsAtSigterm) {
  endpoint.on_request(leave_unanswered);
  start();
  const auto client = connect();
  client->write(request("m1", kUnsafe));
  wait_for([&] { return client->responses.size() == 1 && endpoint.received.size() == 1; }, "the call");
  const auto began = steady_clock::now();
  ::kill(relay_pid, SIGTERM);
  wait_for([&] { return client->closed; }, "the idle client connection is closed");
  EXPECT_EQ(health_status(), 503U);
  EXPECT_EQ(submit("m2", kUnsafe), 202U);
  wait_for([&] { return endpoint.received.size() == 2; }, "the second call");
  for (const auto& g : endpoint.received) g.session->respond(200);
  EXPECT_EQ(wait_for_exit(), 0);
  EXPECT_LT(steady_clock::now() - began, milliseconds(3700));
  start();
  EXPECT_EQ(final_notices, "");
  EXPECT_EQ(endpoint.received.size(), 2U);
}

TEST_F(RelayTest, WhatIsLeftAtSigtermIsTakenUpAgain) {
  endpoint_entries =
      endpoint_entry("s-1", endpoint.address(), "draining") + "," +
      R"({"name":"s-9","address":"127.0.0.1:9","zone":"a","type":"small","group":8,"status":"ready"})";
  start();  // nothing may be sent to destination 7
  EXPECT_EQ(submit("m1", kUnsafe, "x", "24000m"), 202U);
  ::kill(relay_pid, SIGTERM);
  EXPECT_EQ(wait_for_exit(), 0);
  EXPECT_EQ(endpoint.received.size(), 0U);
  endpoint_entries = endpoint_entry("s-1", endpoint.address());
  start();
  wait_for([&] { return endpoint.received.size() == 1; }, "the call");
  EXPECT_EQ(endpoint.received[0].request["X-Request-Id"], "m1");
}

// A disk that takes nothing more: clients are refused at once, nothing is lost, and service goes on after it.
TEST_F(RelayTest, AnUnwritableJournalRefusesAndRecovers) {
  std::vector<std::string> called;
  endpoint.on_request([&](const ReceivedRequest& g) {
    called.emplace_back(g.request["X-Request-Id"]);
    g.session->respond(200);
  });
  max_file_bytes = 4096;
  start();
  int taken = 0;
  while (taken < 100 && submit("m" + std::to_string(taken), kUnsafe, std::string(200, 'x')) == 202U) taken++;
  EXPECT_GT(taken, 1);
  ASSERT_LT(taken, 100);
  EXPECT_EQ(submit("late", kUnsafe), 503U);
  EXPECT_EQ(health_status(), 503U);
  const rlimit any{RLIM_INFINITY, RLIM_INFINITY};
  ASSERT_EQ(::prlimit(relay_pid, RLIMIT_FSIZE, &any, nullptr), 0);
  wait_for([&] { return health_status() == 200; }, "it can be written again");
  EXPECT_EQ(submit("after", kUnsafe), 202U);
  const auto was_called = [&](const std::string& id) { return std::count(called.begin(), called.end(), id); };
  wait_for([&] { return was_called("after") == 1; }, "the call");
  for (int i = 0; i < taken; i++) EXPECT_EQ(was_called("m" + std::to_string(i)), 1) << i;
  EXPECT_EQ(was_called("m" + std::to_string(taken)), 0) << "it was refused";
  EXPECT_EQ(final_notices, "");
}

// Thousands of endpoint ids and client connections, many at the address of one that is gone: what the process
// holds at the end is what it held after the first few.
TEST_F(RelayTest, ChurnLeavesNothingBehind) {
  start();
  wait_for([&] { return !watches.empty(); }, "the watch");
  std::size_t files = 0;
  [[maybe_unused]] long memory = 0;  // not looked at under sanitizers
  for (int i = 0; i < 600; i++) {
    const std::string id = std::to_string(i);
    send_watch_line(
        endpoint_list(endpoint_entry("e" + id, endpoint.address()) + "," +
                          (i == 0 ? endpoint_entry("s-1", endpoint.address(), "gone")
                                  : endpoint_entry("e" + std::to_string(i - 1), endpoint.address(), "gone")),
                      false));
    ASSERT_EQ(submit("m" + id, kSafe, std::string(2000, 'x')), 202U);
    close_clients();
    wait_for([&] { return endpoint.received.size() == static_cast<std::size_t>(i) + 1; }, "the call");
    if (HasFatalFailure()) return;
    if (i == 200) files = descriptor_count(), memory = resident_kib();
  }
  EXPECT_LE(descriptor_count(), files + 4);
#ifndef __SANITIZE_ADDRESS__
  EXPECT_LE(resident_kib(), memory + 512);
#endif
}

// ---- Notes between relays. ----
// A refusal is told to the others; what a stranger sends, or makes no sense, or is too long, changes nothing.
TEST_F(RelayTest, NotesGoToPeersAndGarbageIsDropped) {
  using udp = net::ip::udp;
  const auto here = net::ip::make_address(loopback_address());
  udp::socket peer(io, {here, 0}), everyone(io, {here, 0}), stranger(io, {here, 0}), probe(io, {here, 0});
  const auto own = probe.local_endpoint();
  probe.close();
  const auto text = [](const udp::endpoint& e) {
    return "\"" + e.address().to_string() + ":" + std::to_string(e.port()) + "\"";
  };
  extra_config = ",\"peer_listen\":" + text(own) + ",\"peers\":[" + text(own) + "," +
                 text(peer.local_endpoint()) + "],\"peers_all\":" + text(everyone.local_endpoint());
  int calls = 0;
  endpoint.on_request([&](const ReceivedRequest& g) { g.session->respond(++calls == 1 ? 503 : 200); });
  start();
  for (auto* from : {&peer, &stranger})
    for (const std::string& note :
         {std::string(""), std::string("1rno-such-endpoint"), std::string(400, '\xff')})
      from->send_to(net::buffer(note), own);
  std::array<char, 300> note{};
  std::size_t size = 0;
  udp::endpoint from;
  everyone.async_receive_from(net::buffer(note), from, [&](error_code, std::size_t n) { size = n; });
  EXPECT_EQ(submit("m1", kSafe), 202U);
  wait_for([&] { return size > 0; }, "the note");
  EXPECT_EQ(std::string(note.data(), size), "1rs-1");
  EXPECT_EQ(from, own);
  wait_for([&] { return calls == 2; }, "the call is made again");
}

// ---- Spoilt answers. ----
// Whatever its first line says but 200: an answer that can't be read may have run, so the message ends there,
// and its connection, which stays open, is not used again. A 200 line delivers, also before noise or a body
// without end; the call that waits for the rest is let go soon.
TEST_F(RelayTest, SpoiltAnswers) {
  struct Case {
    const char* answer;
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
  endpoint.on_request([&](const ReceivedRequest& g) {
    const auto i = calls++ / 2;  // each spoilt answer, then a good one
    calls % 2 == 1 ? g.session->write(cases[i].answer) : g.session->respond(200);
  });
  start();
  std::string expected;
  for (std::size_t i = 0; i < cases.size(); i++) {
    const std::string id = "m" + std::to_string(i);
    EXPECT_EQ(submit(id, kUnsafe, "x", "24000m"), 202U);
    wait_for([&] { return calls == 2 * i + 1; }, "the call");
    if (!cases[i].delivered) expected += "{\"id\":\"" + id + "\",\"status\":\"undeliverable\"}\n";
    wait_for([&] { return final_notices == expected; }, "the notices");
    EXPECT_EQ(submit("n" + std::to_string(i), kUnsafe, "x", "24000m"), 202U);
    wait_for([&] { return calls == 2 * i + 2; }, "the next call");
    EXPECT_EQ(endpoint.received.back().request["X-Request-Id"], "n" + std::to_string(i)) << cases[i].answer;
    EXPECT_EQ(endpoint.received[2 * i].session == endpoint.received[2 * i + 1].session,
              i + 1 == cases.size());
  }
  EXPECT_EQ(final_notices, expected);
}

// A second answer behind a good one must not answer the next call.
TEST_F(RelayTest, ASecondAnswerIsNotTheNextCalls) {
  std::size_t calls = 0;
  endpoint.on_request([&](const ReceivedRequest& g) {
    if (++calls == 1) return g.session->respond(200), g.session->respond(200);
    if (calls > 2) g.session->respond(200);
  });
  start();
  EXPECT_EQ(submit("m1", kSafe), 202U);
  wait_for([&] { return calls == 1; }, "the first call");
  EXPECT_EQ(submit("m2", kSafe, "x", "6000m"), 202U);
  wait_for([&] { return calls >= 2; }, "the second call");
  endpoint.received[1].session->close();
  wait_for([&] { return calls == 3; }, "it had no answer, so it is sent again");
  EXPECT_EQ(endpoint.received[2].request["X-Request-Id"], "m2");
}

// An answer of brackets alone: a parser that calls itself for each would overrun its stack.
TEST_F(RelayTest, ABundleAnswerOfBracketsIsSurvived) {
  endpoint_entries = endpoint_entry("s-1", endpoint.address(), "ready", "big");
  int bundles = 0, calls = 0;
  endpoint.on_request([&](const ReceivedRequest& g) {
    if (g.request.target() != "/events/bundle")
      return g.session->respond(200, ++calls == 1 ? "X-Come-Back-Ms: 800\r\n" : "");
    g.session->respond(200, "", ++bundles == 1 ? std::string(60'000, '[') : "[]");
  });
  start();
  EXPECT_EQ(submit("m0", kSafe), 202U);
  wait_for([&] { return calls == 1; }, "the wait is told");
  for (const std::string id : {"m1", "m2"}) EXPECT_EQ(submit(id, kUnsafe), 202U);
  wait_for([&] { return std::count(final_notices.begin(), final_notices.end(), '\n') == 2; },
           "both may have run");
  EXPECT_EQ(health_status(), 200U);
}

// ---- Bad clients. ----
// Half a request, silence, heads without end: each is closed within 3 s of its connecting.
TEST_F(RelayTest, BadClientsAreLetGoInTime) {
  start();
  const auto began = steady_clock::now();
  std::vector<std::shared_ptr<Client>> bad;
  for (const std::string& bytes :
       {std::string(), std::string("POST /load-st"), std::string("POST /load-status HTTP/1.1\r\nX-A: b\r\n"),
        request("m1", kSafe).substr(0, request("m1", kSafe).size() - 2),
        std::string("POST /load-status HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab")}) {
    bad.push_back(connect());
    bad.back()->write(bytes);
  }
  wait_for([&] { return std::all_of(bad.begin(), bad.end(), [](const auto& c) { return c->closed; }); },
           "all are closed");
  EXPECT_LT(steady_clock::now() - began, milliseconds(2950));
  EXPECT_EQ(submit("m2", kSafe), 202U);
}

// Unusable requests get an error and the connection's end; what stands behind them is not read as a request.
TEST_F(RelayTest, NothingBehindABadRequestIsTakenOn) {
  start();
  wait_for([&] { return !watches.empty(); }, "the list is told");
  wait_for([&] { return submit("m0", kSafe) == 202U; }, "service");
  const std::string hidden = request("hidden", kUnsafe);
  const std::string both =
      "POST /load-status HTTP/1.1\r\nX-Request-Id: m1\r\nX-Deadline: 480m\r\n"
      "X-Consignee: dest=7\r\nContent-Length: " +
      std::to_string(hidden.size() + 5) + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
  std::string elsewhere = request("m2", kSafe);
  elsewhere.replace(elsewhere.find("dest=7"), 6, "dest=99");
  for (const auto& first :
       {both, elsewhere, request("m3", "no-such-class"), std::string("\x16\x03\x01\r\n\r\n")}) {
    const auto client = connect();
    client->write(first + hidden);
    wait_for([&] { return client->closed; }, "the end");
    ASSERT_EQ(client->responses.size(), 1U);
    EXPECT_GE(client->responses[0].result_int(), 400U);
    EXPECT_LT(client->responses[0].result_int(), 500U);
  }
  EXPECT_EQ(submit("m9", kSafe), 202U);
  wait_for([&] { return endpoint.received.size() >= 2; }, "the calls");
  EXPECT_EQ(endpoint.received.size(), 2U);
}

// Of two that hand in one id at once, the second is told what the first is told.
TEST_F(RelayTest, TwinsShareOneAnswer) {
  endpoint.on_request(leave_unanswered);
  start();
  std::vector<std::shared_ptr<Client>> pairs;
  for (int i = 0; i < 100; i++) {
    pairs.push_back(connect());
    pairs.back()->write(request("m" + std::to_string(i / 2), kUnsafe, "x", "24000m"));
  }
  const auto told = [](const auto& c) { return c->responses.size() == 1; };
  wait_for([&] { return std::all_of(pairs.begin(), pairs.end(), told); }, "all answers");
  int refused = 0;
  for (std::size_t i = 0; i < pairs.size(); i += 2) {
    EXPECT_EQ(pairs[i]->responses[0].result_int(), pairs[i + 1]->responses[0].result_int()) << i;
    refused += pairs[i]->responses[0].result_int() == 503;
    EXPECT_EQ(pairs[i]->responses[0].result_int() == 503, pairs[i]->responses[0].count("Retry-After") == 1);
  }
  EXPECT_GT(refused, 0);
}

// The id of a message that is over: sent again it would take effect twice.
TEST_F(RelayTest, AnIdThatIsOverIsNotSentAgain) {
  start();
  EXPECT_EQ(submit("m1", kUnsafe), 202U);
  wait_for([&] { return endpoint.received.size() == 1; }, "the call");
  EXPECT_EQ(submit("m2", kUnsafe), 202U);  // by now the first one's answer is read
  wait_for([&] { return endpoint.received.size() == 2; }, "the second call");
  EXPECT_EQ(submit("m1", kUnsafe), 202U);
  EXPECT_EQ(submit("m3", kUnsafe), 202U);
  wait_for([&] { return endpoint.received.size() >= 3; }, "the third call");
  EXPECT_EQ(endpoint.received[2].request["X-Request-Id"], "m3");
}

// ---- New configurations. ----
// Discovery moves under load: the list and the notices, one of them in flight, go to the new address at once,
// whose index is lower than the old one's; what the new list does not name is gone.
TEST_F(RelayTest, SighupMovesToAnotherDiscovery) {
  bool silent = false;
  std::string new_finals, asked;
  FakeServer other(io, respond_ok);
  FakeServer moved(io, [&](const ReceivedRequest& g) {
    if (g.request.method() == http::verb::post) {
      new_finals += g.request.body();
      return g.session->respond(204);
    }
    asked = std::string(g.request.target());
    g.session->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string line =
        R"({"index":3,"snapshot":true,"endpoints":[)" + endpoint_entry("s-2", other.address()) + "]}\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size());
    g.session->write(size + line + "\r\n");
  });
  endpoint.on_request(
      [](const ReceivedRequest& g) { g.session->close(); });  // each unsafe message ends by a notice
  start();
  wait_for([&] { return watches.size() == 1; }, "the first watch");
  std::size_t in_flight = 0;
  platform.on_request([&](const ReceivedRequest& g) {
    if (!silent) return handle_platform_request(g);
    in_flight += g.request.method() == http::verb::post;
  });
  silent = true;
  EXPECT_EQ(submit("m1", kUnsafe), 202U);
  wait_for([&] { return in_flight == 1; }, "a notice in flight");
  reload(config(moved.address()));
  wait_for([&] { return !new_finals.empty() && !asked.empty(); }, "both go to the new address");
  EXPECT_EQ(new_finals, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
  EXPECT_EQ(asked, "/catalog/members?follow=1&since=0");
  wait_for([&] { return watches[0]->closed; }, "the old watch is closed");
  EXPECT_EQ(submit("m2", kUnsafe), 202U);
  wait_for([&] { return other.received.size() == 1; }, "the call to the endpoint of the new list");
  EXPECT_EQ(platform.sessions.size(), 2U) << "nothing new goes to the old address";
}

// A moved discovery may begin with changes alone: what it lists is then asked for as a whole, else an
// endpoint that went before them would stay.
TEST_F(RelayTest, AfterAMoveTheWholeListIsTaken) {
  FakeServer other(io, respond_ok);
  int fetched = 0;
  FakeServer moved(io, [&](const ReceivedRequest& g) {
    const auto text = [&](const std::string& names, bool whole) {
      return R"({"index":3,"snapshot":)" + std::string(whole ? "true" : "false") + R"(,"endpoints":[)" +
             names + "]}\n";
    };
    if (g.request.target() == "/catalog/members") {
      fetched++;
      return g.session->respond(200, "", text(endpoint_entry("s-2", other.address()), true));
    }
    const std::string line = text(endpoint_entry("s-2", other.address()), false);
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size());
    g.session->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + (size + line) + "\r\n");
  });
  start();
  EXPECT_EQ(submit("m0", kSafe), 202U);
  wait_for([&] { return watches.size() == 1 && endpoint.received.size() == 1; }, "the first watch and call");
  reload(config(moved.address()));
  wait_for([&] { return fetched == 1 && endpoint.sessions[0]->closed; }, "the old endpoint is gone");
  for (int i = 1; i < 5; i++) EXPECT_EQ(submit("m" + std::to_string(i), kSafe), 202U);
  wait_for([&] { return other.received.size() == 4; }, "the calls");
  EXPECT_EQ(endpoint.received.size(), 1U);
  EXPECT_EQ(fetched, 1);
}

// A file that can't be read is one line in the log; service goes on with the old one, and the next is taken.
TEST_F(RelayTest, SighupWithABadFileChangesNothing) {
  start();
  wait_for([&] { return watches.size() == 1; }, "the watch");
  reload("{\"name\":");
  wait_for([&] { return log_text().find("configuration: not reloaded") != std::string::npos; },
           "the line in the log");
  EXPECT_EQ(submit("m1", kUnsafe), 202U);
  wait_for([&] { return endpoint.received.size() == 1; }, "the call");
  EXPECT_EQ(watches.size(), 1U);
  EXPECT_FALSE(watches[0]->closed);
}

// ---- The configuration. ----
// One line for each, and the service goes on without it.
TEST_F(RelayTest, RefusedLocksAndLocalSocketsDoNotKeepItFromStarting) {
  deny_locks_and_local_sockets = true;
  start();
  const auto log = log_text();
  EXPECT_NE(log.find("going on without a lock"), std::string::npos) << log;
  EXPECT_NE(log.find("a next process has to wait"), std::string::npos) << log;
  const auto end = log.begin() + static_cast<std::ptrdiff_t>(log.find("listening as"));
  EXPECT_EQ(std::count(log.begin(), end, '\n'), 2) << log;  // then it listens
}
TEST_F(RelayTest, ABadConfigurationIsOneLineAndAnExit) {
  endpoint_entries = endpoint_entry("s-1", endpoint.address());
  const auto without = [this](const std::string& text, const std::string& by) {
    std::string c = config();
    c.replace(c.find(text), text.size(), by);
    std::filesystem::remove(folder + "/log");
    spawn(c);
    EXPECT_EQ(wait_for_exit(), 1);
    const auto log = log_text();
    EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 1) << log;
    return log;
  };
  EXPECT_NE(without("\"seed\"", "\"sead\"").find("config.seed"), std::string::npos);
  EXPECT_NE(without("\"disk_mb\":3", "\"disk_mb\":\"much\"").find("config.limits.disk_mb"),
            std::string::npos);
  EXPECT_NE(without("\"Workers\":8", "\"Workers\":0").find("max_calls_in_flight"), std::string::npos);
  EXPECT_NE(without("\"Workers\":8", "\"Walkers\":8").find("FamilyInfo.Workers"), std::string::npos);
  EXPECT_NE(without("\"name\":\"s-1\"", "\"name\":1").find("known.endpoints.name"), std::string::npos);
  EXPECT_NE(without("{\"name\"", "{{").find("config"), std::string::npos);
}

// Many clients that stay connected must not shut out the next one, nor use up the descriptors.
class FewSocketsTest : public RelayTest {
 protected:
  std::string limits() override { return R"({"cores":1.0,"memory_mb":192,"sockets":64,"disk_mb":3})"; }
};
TEST_F(FewSocketsTest, IdleClientsMakeRoomForNewOnes) {
  start();
  for (int i = 0; i < 60; i++) ASSERT_NE(connect(), nullptr);
  EXPECT_EQ(submit("m1", kSafe), 202U);
  wait_for([&] { return !endpoint.received.empty(); }, "the call");
  EXPECT_LE(descriptor_count(), 56U);
}

// Clients that ask once and keep their connection hold places that others need: while room is short, an
// answer ends its connection; else it keeps it.
TEST_F(FewSocketsTest, WhereRoomIsShortAnAnswerEndsItsConnection) {
  start();
  close_clients();
  int kept = 0, ended = 0;
  for (int i = 0; i < 40; i++) {
    EXPECT_EQ(submit("m" + std::to_string(i), kSafe), 202U);
    clients.back()->responses.back().keep_alive() ? kept++ : ended++;
    if (i == 3) {
      EXPECT_EQ(ended, 0);
    }
  }
  EXPECT_LT(kept, 20);  // places for clients
  EXPECT_GT(ended, 20);
  close_clients();
  wait_for([&] { return submit("n", kSafe) == 202U && clients.back()->responses.back().keep_alive(); },
           "room again");
}

// As many calls as the descriptors allow, whatever the settings say, with all client connections in use.
TEST_F(FewSocketsTest, CallsOutStayWithinTheDescriptors) {
  max_calls_in_flight = 300;
  endpoint.on_request(leave_unanswered);
  std::vector<std::unique_ptr<FakeServer>> others;
  endpoint_entries = endpoint_entry("s-0", endpoint.address());
  for (int i = 1; i < 12; i++) {
    others.push_back(std::make_unique<FakeServer>(io, leave_unanswered));
    endpoint_entries += "," + endpoint_entry("s-" + std::to_string(i), others.back()->address());
  }
  start();
  const auto idle = descriptor_count();  // with those that the test itself hands down
  std::size_t most = 0;
  for (int i = 0; i < 40; i++) {
    submit("m" + std::to_string(i), kUnsafe, "x", "24000m");
    ASSERT_NE(connect(), nullptr);
    most = std::max(most, descriptor_count());
  }
  EXPECT_LE(most, idle + 40);  // 64 less 24 for other files
  EXPECT_EQ(health_status(), 200U);
}

// Crowds that say nothing, or half a request, come on: usual clients, also ones that kept their connection,
// are served among them.
TEST_F(FewSocketsTest, SilentCrowdsDoNotShutOutUsualClients) {
  start();
  wait_for([&] { return submit("m", kSafe) == 202U; }, "service");
  auto usual = connect();
  usual->write(request("u", kSafe));
  wait_for([&] { return usual->responses.size() == 1; }, "its first answer");
  for (int i = 0; i < 200; i++) {
    const auto silent = connect();
    ASSERT_NE(silent, nullptr);
    if (i % 2 == 0) silent->write("POST /load");
    if (i % 40 != 39) continue;
    // Where room is short, the last answer said that its connection ends.
    if (!usual->responses.empty() && !usual->responses.back().keep_alive()) usual = connect();
    const auto before = usual->responses.size();
    usual->write(request("u" + std::to_string(i), kSafe));
    wait_for([&] { return usual->responses.size() > before || usual->closed; }, "the usual client's answer");
    ASSERT_GT(usual->responses.size(), before);
    EXPECT_EQ(usual->responses.back().result_int(), 202U);
    EXPECT_EQ(submit("n" + std::to_string(i), kSafe), 202U);
  }
}

// Idle clients fill all the places there are while discovery is down, and the system grants not one
// descriptor above the limit: calls, notices, the journal's second file and the configuration still get
// theirs, clients with a request are taken on, and the list is read at the return.
class IdleCrowdTest : public RelayTest {
 protected:
  IdleCrowdTest() { discovery_mode = "automatic", max_calls_in_flight = 300, max_descriptors = 64; }
  std::string limits() override { return R"({"cores":1.0,"memory_mb":192,"sockets":64,"disk_mb":1})"; }
};
TEST_F(IdleCrowdTest, LeavesDescriptorsToAllElseWhileDiscoveryIsDown) {
  std::size_t calls = 0;
  std::vector<std::unique_ptr<FakeServer>> silent;
  for (int i = 0; i < 8; i++) {
    silent.push_back(std::make_unique<FakeServer>(io, [&](const ReceivedRequest&) { calls++; }));
    endpoint_entries +=
        (i == 0 ? "" : ",") + endpoint_entry("s-" + std::to_string(i), silent.back()->address());
  }
  start();
  wait_for([&] { return watches.size() == 1; }, "the watch");
  platform.on_request([this](const ReceivedRequest& g) {
    if (g.request.method() == http::verb::post) handle_platform_request(g);
  });
  const auto before = platform.received.size();
  watches[0]->close();
  const auto crowd = [this] {
    for (int i = 0; i < 60; i++) ASSERT_NE(connect(), nullptr);
  };
  for (std::size_t i = 0; i < 16; i++) {  // of 20 places for calls, which stay out
    crowd();
    ASSERT_EQ(submit("m" + std::to_string(i), kUnsafe, "x", "24000m"), 202U) << i;
    wait_for([&] { return calls == i + 1; }, "its call");
  }
  crowd();
  silent[0]->received.at(0).session->close();
  const std::string id(silent[0]->received[0].request["X-Request-Id"]);
  wait_for([&] { return final_notices.find("{\"id\":\"" + id + "\",\"status\":\"undeliverable\"}\n") == 0; },
           "the notice");
  reload(config());
  wait_for([&] { return log_text().find("configuration reloaded") != std::string::npos; },
           "the file is read");
  wait_for([&] { return platform.received.size() >= before + 3; }, "discovery is asked on");
  platform.on_request([this](const ReceivedRequest& g) { handle_platform_request(g); });
  endpoint_entries = endpoint_entry("s-9", endpoint.address());
  wait_for([&] { return watches.size() == 2; }, "the list at its return");
  const std::string body(60'000, 'x');  // thirty of them fill the disk nearly twice
  for (int i = 0; i < 30; i++) {
    crowd();
    wait_for([&] { return submit("n" + std::to_string(i), kSafe, body) == 202U; }, "it is taken on");
  }
  wait_for([&] { return endpoint.received.size() >= 30; }, "their calls");
  EXPECT_EQ(log_text().find("Too many open files"), std::string::npos) << log_text();
}

// All that the disk takes, of messages that are over and some that are held, and discovery never says a word:
// the relay is ready all the same, and reads its journal in no more memory than the smallest relay has.
class LargeDiskTest : public RelayTest {
 protected:
  std::string limits() override { return R"({"cores":1.0,"memory_mb":32,"sockets":256,"disk_mb":64})"; }
};
TEST_F(LargeDiskTest, IsReadyWithAFullJournalAndNoList) {
  constexpr std::uint64_t disk_bytes = 64'000'000;
  {
    Journal journal(folder + "/state", disk_bytes);
    Message m;
    m.id = "held", m.message_class = kUnsafe, m.destination = 7, m.deadline = wall_now() + 600'000'000;
    journal.record_message(1, m);
    m.body = std::string(60'000, 'x');
    for (MessageId id = 2; journal.bytes_on_disk() < disk_bytes / 100 * 95; id++) {
      m.id = "over" + std::to_string(id);
      journal.record_message(id, m), journal.record_completed(id);
      ASSERT_TRUE(journal.commit());
    }
  }
  platform.on_request(leave_unanswered);
  start();
  EXPECT_EQ(health_status(), 200U);
#ifndef __SANITIZE_ADDRESS__
  EXPECT_LT(peak_resident_kib(), 32'000);
#endif
  wait_for([&] { return endpoint.received.size() == 1; }, "the call of what was held");
  EXPECT_EQ(endpoint.received[0].request["X-Request-Id"], "held");
}

// The journal fills with large bodies: clients are refused, and served again once there is room.
class SmallDiskTest : public RelayTest {
 protected:
  std::string limits() override { return R"({"cores":1.0,"memory_mb":192,"sockets":256,"disk_mb":1})"; }
};
TEST_F(SmallDiskTest, AFullJournalRefusesAndRecovers) {
  endpoint.on_request(leave_unanswered);
  start();
  const std::string body(60'000, 'x');
  int n = 0;
  while (n < 30 && submit("m" + std::to_string(n), kSafe, body) == 202U) n++;
  EXPECT_GE(n, 3);
  EXPECT_LT(n, 30);
  for (const auto& g : endpoint.received) g.session->respond(200);
  endpoint.on_request(respond_ok);
  for (int i = 0; i < 40; i++)
    wait_for([&] { return submit("n" + std::to_string(i), kSafe, body) == 202U; }, "there is room again");
  std::uintmax_t bytes = 0;
  for (const auto& f : std::filesystem::directory_iterator(folder + "/state"))
    if (f.is_regular_file()) bytes += f.file_size();
  EXPECT_LE(bytes, 1'000'000U);
}

}  // namespace
}  // namespace message_relay::testing
