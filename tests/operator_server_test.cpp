// The operators' entry: its lines by themselves, then the whole relay over loopback sockets.
#include "operator_server.hpp"

#include "relay_harness.hpp"

namespace message_relay::testing {
namespace {

const char* const kSafe = "load-status";
const char* const kUnsafe = "pay-and-order";

TEST(OperatorLine, IsReadOrTurnedDownWithTheReason) {
  EXPECT_EQ(parse_command("STATUS").problem, "");
  EXPECT_EQ(parse_command("STATUS\r").problem, "");
  EXPECT_EQ(parse_command("SUSPEND s-1").command.verb, OperatorVerb::suspend);
  EXPECT_EQ(parse_command("RESTORE s-1\r").command.endpoint, "s-1");
  for (const char* bad :
       {"", " ", "status", "SUSPEND", "SUSPEND ", "RESTORE a b", "PAUSE now", "STATUS ", "\x01"})
    EXPECT_NE(parse_command(bad).problem, "") << bad;
}

class OperatorsTest : public RelayTest {
 protected:
  OperatorsTest() {
    tcp::acceptor probe(io, {net::ip::make_address(loopback_address()), 0});
    operator_port = probe.local_endpoint().port();
    extra_config = R"(,"operator":")" + loopback_address() + ":" + std::to_string(operator_port) + R"(")";
  }
  struct Caller {
    explicit Caller(net::io_context& io) : socket(io) {}
    tcp::socket socket;
    std::string reply;
    bool over = false;
  };
  std::shared_ptr<Caller> call(const std::string& bytes, bool end_sending = false) {
    const auto caller = std::make_shared<Caller>(io);
    error_code bad;
    caller->socket.connect({net::ip::make_address(loopback_address()), operator_port}, bad);
    if (!bad) net::write(caller->socket, net::buffer(bytes), bad);
    if (end_sending) caller->socket.shutdown(tcp::socket::shutdown_send, bad);
    net::async_read(caller->socket, net::dynamic_buffer(caller->reply),
                    [caller](error_code, std::size_t) { caller->over = true; });
    return caller;
  }
  std::string operate(const std::string& bytes, bool end_sending = false) {
    const auto caller = call(bytes, end_sending);
    wait_for([&] { return caller->over; }, "the reply");
    return caller->reply;
  }
  static bool yes(const std::string& reply) {
    return reply.starts_with("OK") && reply.find('\n') == reply.size() - 1;
  }
  static bool no(const std::string& reply) {
    return reply.starts_with("ERR ") && reply.find('\n') == reply.size() - 1;
  }
  bool figure(const std::string& line) {
    return operate("METRICS\n").find("svc." + line + "\n") != std::string::npos;
  }

  std::uint16_t operator_port = 0;
};

TEST_F(OperatorsTest, RepliesToEachCallAndTurnsOthersDown) {
  start();
  EXPECT_TRUE(yes(operate("STATUS\n")));
  EXPECT_TRUE(yes(operate("STATUS\r\n")));
  for (const std::string bad :
       {"NONSENSE\n", "\n", "SUSPEND\n", "SUSPEND never-listed\n", "RESTORE never-listed\n"})
    EXPECT_TRUE(no(operate(bad))) << bad;
  EXPECT_TRUE(no(operate(std::string(5000, 'x'))));
  EXPECT_TRUE(no(operate("STATU", true)));  // half a line, however much of a call it may be
  EXPECT_TRUE(no(operate("STATUS", true)));
}

// Those that say nothing, or half a line, hold up nobody, also where they are more than the entry has room
// for.
TEST_F(OperatorsTest, SilentCallersHoldUpNoOther) {
  start();
  std::vector<std::shared_ptr<Caller>> silent;
  for (int i = 0; i < 40; i++) {
    silent.push_back(call(i % 2 ? "" : "STAT"));
    EXPECT_TRUE(yes(operate("STATUS\n")));
  }
  EXPECT_FALSE(silent.back()->over);
  // One that completes its line late is answered too.
  net::write(silent[38]->socket, net::buffer(std::string("US\n")));
  wait_for([&] { return silent[38]->over; }, "its reply");
  EXPECT_TRUE(yes(silent[38]->reply));
}

// Clients that take all the room they are given leave the operators theirs.
TEST_F(OperatorsTest, ClientsDoNotTakeTheOperatorsRoom) {
  start();
  for (int i = 0; i < 300; i++) {
    const auto client = connect();
    if (client) client->write("POST /load-status HT");
  }
  EXPECT_TRUE(yes(operate("STATUS\n")));
}

TEST_F(OperatorsTest, WithoutItsAddressTheRelayRunsAsBefore) {
  extra_config.clear();
  start();
  EXPECT_EQ(submit("m1", kSafe), 202U);
}

TEST_F(OperatorsTest, FiguresStartAtNothingAndCountEachEndOnce) {
  start();
  const std::string first = operate("METRICS\n");
  for (const std::string cls : {kSafe, kUnsafe})
    for (const std::string name : {"succeeded", "declined", "aborted"})
      EXPECT_NE(first.find("svc." + name + "." + cls + "=0\n"), std::string::npos) << name;
  EXPECT_TRUE(first.ends_with("\nEND\n"));
  EXPECT_TRUE(figure("discovered=1"));
  EXPECT_EQ(submit("m1", kSafe), 202U);
  wait_for([&] { return endpoint.received.size() == 1; }, "the call");
  wait_for([&] { return figure("outstanding=0"); }, "its end");
  EXPECT_TRUE(figure(std::string("succeeded.") + kSafe + "=1"));
  EXPECT_TRUE(figure("forwards=1"));
  endpoint.on_request([](const ReceivedRequest& g) { g.session->close(); });
  EXPECT_EQ(submit("m2", kUnsafe), 202U);
  wait_for([&] { return figure(std::string("aborted.") + kUnsafe + "=1"); }, "the failure is counted");
  EXPECT_TRUE(figure("forwards=2"));
  EXPECT_TRUE(figure(std::string("succeeded.") + kUnsafe + "=0"));
}

TEST_F(OperatorsTest, WhatIsRefusedAtTheDoorIsDeclined) {
  endpoint.on_request(leave_unanswered);
  start();
  int refused = 0;
  for (int i = 0; i < 60; i++) refused += submit("m" + std::to_string(i), kUnsafe, "x", "24000m") == 503;
  wait_for([&] { return figure(std::string("declined.") + kUnsafe + "=" + std::to_string(refused)); },
           "the count");
  EXPECT_TRUE(figure("outstanding=" + std::to_string(60 - refused)));
}

// Left out whatever discovery says of it, across the end of the process, until it is called back.
TEST_F(OperatorsTest, ASuspendedEndpointGetsNothingUntilItIsRestored) {
  FakeServer other(io, respond_ok);
  endpoint_entries = endpoint_entry("s-1", endpoint.address()) + "," + endpoint_entry("s-2", other.address());
  start();
  EXPECT_TRUE(yes(operate("SUSPEND s-1\n")));
  EXPECT_TRUE(yes(operate("SUSPEND s-1\n")));
  EXPECT_TRUE(figure("ejected=1"));
  std::size_t handed = 0;
  const auto hand_in_some = [&] {
    for (int i = 0; i < 12; i++, handed++) EXPECT_EQ(submit("m" + std::to_string(handed), kSafe), 202U);
    wait_for([&] { return other.received.size() + endpoint.received.size() == handed; }, "the calls");
  };
  hand_in_some();
  send_watch_line(endpoint_list(endpoint_entry("s-1", endpoint.address(), "draining"), false));
  send_watch_line(endpoint_list(endpoint_entries));
  hand_in_some();
  kill_relay();
  start();
  EXPECT_TRUE(figure("ejected=1"));
  hand_in_some();
  EXPECT_EQ(endpoint.received.size(), 0U);
  EXPECT_TRUE(yes(operate("RESTORE s-1\n")));
  EXPECT_TRUE(yes(operate("RESTORE s-1\n")));
  EXPECT_TRUE(figure("ejected=0"));
  EXPECT_TRUE(yes(operate("SUSPEND s-2\n")));
  EXPECT_EQ(submit("last", kSafe), 202U);
  wait_for([&] { return endpoint.received.size() == 1; }, "the call to the one that is back");
  kill_relay();
  start();
  EXPECT_TRUE(figure("ejected=1"));
}

// A message whose call failed and waits to be sent again does not go there once its endpoint is suspended.
TEST_F(OperatorsTest, ARetryThatIsDueDoesNotGoToASuspendedEndpoint) {
  endpoint.on_request([](const ReceivedRequest& g) { g.session->respond(503); });
  start();
  EXPECT_EQ(submit("m1", kUnsafe, "x", "24000m"), 202U);
  wait_for([&] { return endpoint.received.size() == 1; }, "the first call");
  EXPECT_TRUE(yes(operate("SUSPEND s-1\n")));
  const auto calls = endpoint.received.size();
  FakeServer other(io, respond_ok);
  send_watch_line(endpoint_list(endpoint_entry("s-2", other.address()), false));
  wait_for([&] { return !other.received.empty(); }, "the retry goes elsewhere");
  EXPECT_EQ(endpoint.received.size(), calls);
}

TEST_F(OperatorsTest, PauseSendsClientsAwayUntilResume) {
  endpoint.on_request(leave_unanswered);
  start();
  const auto idle = connect();
  idle->write(request("m1", kSafe));
  wait_for([&] { return idle->responses.size() == 1; }, "the answer");
  const auto half = connect();
  const std::string whole = request("m2", kSafe);
  half->write(whole.substr(0, 40));
  EXPECT_EQ(submit("m3", kSafe), 202U);  // by now half of m2 has been read
  EXPECT_TRUE(yes(operate("PAUSE\n")));
  EXPECT_TRUE(yes(operate("PAUSE\n")));
  wait_for([&] { return idle->closed; }, "the idle connection closes");
  EXPECT_EQ(health_status(), 503U);
  EXPECT_TRUE(no(operate("STATUS\n")));
  half->write(whole.substr(40));
  wait_for([&] { return half->closed; }, "the one with a request closes after its answer");
  ASSERT_EQ(half->responses.size(), 1U);
  EXPECT_EQ(half->responses[0].result_int(), 202U);
  EXPECT_EQ(submit("m4", kSafe), 202U);  // a new one is still answered
  wait_for([&] { return endpoint.received.size() == 4; }, "held messages go on");
  EXPECT_TRUE(yes(operate("RESUME\n")));
  EXPECT_TRUE(yes(operate("RESUME\n")));
  EXPECT_EQ(health_status(), 200U);
  EXPECT_TRUE(yes(operate("STATUS\n")));
  const auto kept = connect();
  kept->write(request("m5", kSafe));
  wait_for([&] { return kept->responses.size() == 1; }, "the answer");
  kept->write(request("m6", kSafe));
  wait_for([&] { return kept->responses.size() == 2; }, "the answer on the same connection");
}

}  // namespace
}  // namespace message_relay::testing
