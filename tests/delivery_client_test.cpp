// The delivery client against a fake endpoint on loopback sockets. Each test says which failure it guards
// against.
#include "delivery_client.hpp"

#include "relay_harness.hpp"

namespace message_relay::testing {
namespace {

using dispatch::event::AttemptEnded;

constexpr Time kSoon = 500'000, kLong = 20'000'000;

class DeliveryClientTest : public ::testing::Test {
 protected:
  DeliveryClientTest() : endpoint(io, leave_unanswered) {
    const std::string address = endpoint.address();
    const auto port = std::stoi(address.substr(address.rfind(':') + 1));
    calls.set_address("s-1", {net::ip::make_address(loopback_address()), static_cast<std::uint16_t>(port)});
  }
  static DeliveryLimits limits() {
    DeliveryLimits limits;
    limits.max_calls_in_flight = 4;
    limits.max_connections = 8;
    limits.connect_timeout = kLong;
    limits.idle_timeout = kLong;
    return limits;
  }
  static OutgoingMessage message(MessageId id, Time timeout) {
    return {id, 0, timeout, "m" + std::to_string(id), "hello"};
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

  net::io_context io;
  FakeServer endpoint;
  std::vector<AttemptEnded> ended;
  DeliveryClient calls{io, limits(), [this](const AttemptEnded& e) { ended.push_back(e); }};
};

// A message whose end was reported may be sent again, so its call must have ended by then: a second copy
// would be in flight.
TEST_F(DeliveryClientTest, AMessageGivenUpInABatchIsInFlightUntilTheCallEnds) {
  calls.send("s-1", {message(1, kLong), message(2, kLong)});
  wait_for([&] { return endpoint.received.size() == 1; }, "the call");
  EXPECT_EQ(endpoint.received[0].request.target(), "/events/bundle");
  calls.cancel(1, 0);
  EXPECT_TRUE(ended.empty());
  EXPECT_EQ(calls.in_flight_count(), 1U);
  calls.cancel(2, 0);
  EXPECT_EQ(calls.in_flight_count(), 0U);
  ASSERT_EQ(ended.size(), 2U);
  for (const auto& e : ended) EXPECT_EQ(e.outcome, Outcome::cancelled);
  wait_for([&] { return endpoint.sessions[0]->closed; }, "its connection is closed");
}

// A response in time for the others counts for a message whose own timeout has passed, too.
TEST_F(DeliveryClientTest, AResponseCountsForAMessageOfTheBatchThatTimedOut) {
  const Time sent = steady_now();
  calls.send("s-1", {message(1, kSoon), message(2, kLong)});
  wait_for([&] { return endpoint.received.size() == 1 && steady_now() > sent + 2 * kSoon; },
           "its time is over");
  EXPECT_TRUE(ended.empty());
  endpoint.received[0].session->respond(200, "",
                                        R"([{"id":"m1","state":"done"},{"id":"m2","state":"busy"}])");
  wait_for([&] { return ended.size() == 2; }, "both have their end");
  EXPECT_EQ(ended[0].outcome, Outcome::succeeded);
  EXPECT_TRUE(ended[0].message_settled);
  EXPECT_EQ(ended[1].outcome, Outcome::rejected);
}

// A response after the deadline of one message delivers none of the batch, whatever it says: it is not waited
// for beyond the first deadline.
TEST_F(DeliveryClientTest, ABatchIsGivenUpAtTheFirstDeadlineOfItsMessages) {
  auto first = message(1, kLong);
  first.time_to_deadline = kSoon;
  calls.send("s-1", {message(2, kLong), std::move(first)});
  wait_for([&] { return endpoint.received.size() == 1; }, "the call");
  EXPECT_EQ(endpoint.received[0].request["X-Deadline"], std::to_string(kSoon) + "u");
  wait_for([&] { return endpoint.sessions[0]->closed; }, "its connection is closed");
  ASSERT_EQ(ended.size(), 2U);
  for (const auto& e : ended) EXPECT_EQ(e.outcome, Outcome::timeout);
}

// Without a response, each outcome is reported once.
TEST_F(DeliveryClientTest, ABatchWithoutAResponseEndsWithItsLastTimeout) {
  calls.send("s-1", {message(1, kSoon), message(2, 3 * kSoon)});
  wait_for([&] { return calls.in_flight_count() == 0; }, "the call ends");
  ASSERT_EQ(ended.size(), 2U);
  for (const auto& e : ended) EXPECT_EQ(e.outcome, Outcome::timeout);
  EXPECT_GE(ended[0].latency, 3 * kSoon);
}

// A retry whose idempotency key expires while the connection is opened would be processed a second time: it
// is left out of the request. No connection can be opened until then, since the endpoint's backlog of one is
// full.
TEST_F(DeliveryClientTest, ARetryThatExpiresWhileConnectingIsNotSent) {
  tcp::acceptor full(io, tcp::v4());
  full.bind({net::ip::make_address(loopback_address()), 0});
  full.listen(0);
  tcp::socket first(io);
  first.connect(full.local_endpoint());
  calls.set_address("s-2", full.local_endpoint());
  auto late = message(1, kLong);
  late.start_by = steady_now() + kSoon;
  calls.send("s-2", {late, message(2, kLong)});
  wait_for([&] { return ended.size() == 1; }, "it ends");
  EXPECT_EQ(ended[0].id, 1U);
  EXPECT_EQ(ended[0].outcome, Outcome::not_sent);
  full.accept();
  tcp::socket socket(io);
  Request request;
  beast::flat_buffer buffer;
  bool read = false;
  full.async_accept(socket, [&](error_code bad) {
    ASSERT_FALSE(bad);
    http::async_read(socket, buffer, request, [&](error_code, std::size_t) { read = true; });
  });
  wait_for([&] { return read; }, "the call");
  EXPECT_EQ(request.target(), "/events");
  EXPECT_EQ(request["X-Request-Id"], "m2");
  EXPECT_EQ(ended.size(), 1U);
}

// Decided in time but delayed, for instance by a disk that did not take the records.
TEST_F(DeliveryClientTest, ARetryThatIsTooLateIsNotSentOnAnIdleConnectionEither) {
  calls.send("s-1", {message(1, kLong)});
  wait_for([&] { return endpoint.received.size() == 1; }, "the first call");
  endpoint.received[0].session->respond(200);
  wait_for([&] { return ended.size() == 1; }, "its answer");
  auto late = message(2, kLong);
  late.start_by = steady_now();
  calls.send("s-1", {late});
  wait_for([&] { return ended.size() == 2; }, "its end");
  EXPECT_EQ(ended[1].outcome, Outcome::not_sent);
  calls.send("s-1", {message(3, kLong)});
  wait_for([&] { return endpoint.received.size() == 2; }, "the next call");
  EXPECT_EQ(endpoint.received[1].request["X-Request-Id"], "m3");
}

}  // namespace
}  // namespace message_relay::testing
