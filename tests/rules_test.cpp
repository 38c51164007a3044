// The guarantees of the dispatcher: final answers by the deadline, no second execution, no calls to draining
// endpoints, slow start, Retry-After and the order of messages. The events of each test violate its guarantee
// if the code that guards it is removed.
#include <cmath>

#include "dispatcher_harness.hpp"

namespace dispatch::testing {
namespace {

TEST(FinalAnswer, MessageWithoutEndpointIsAnsweredByItsDeadline) {
  SimulatedRelay relay;
  const auto id = relay.submit(kIdempotent, 99);  // a destination with no endpoint
  relay.run_until(10 * kSecond);
  ASSERT_EQ(relay.rejected_at.count(id) + relay.failed_at.count(id), 1U);
  const Time answered_at = relay.rejected_at.contains(id) ? relay.rejected_at[id] : relay.failed_at[id];
  EXPECT_LE(answered_at, 1 * kSecond + 6 * kSecond + 20 * kMillisecond);
  EXPECT_EQ(relay.send_count(id), 0);
}
TEST(FinalAnswer, TimeoutAtTheDeadlineFailsTheMessage) {
  SimulatedRelay relay;
  relay.set_endpoint_list({{.id = "a", .destination = 1}});
  const auto id = relay.submit(kIdempotent, 1, "", 300 * kMillisecond);
  ASSERT_EQ(relay.send_count(id), 1);
  EXPECT_LE(relay.sent[0].timeout, 300 * kMillisecond);
  relay.run_until(relay.now + 300 * kMillisecond);
  if (!relay.in_flight.empty()) relay.end_attempt(id, Outcome::timeout);
  EXPECT_EQ(relay.failed_at.count(id), 1U);
  relay.run_until(relay.now + 5 * kSecond);
  EXPECT_EQ(relay.send_count(id), 1);
}
TEST(FinalAnswer, CancelledMessageGetsNeitherAnswerNorRetry) {
  SimulatedRelay relay;
  relay.set_endpoint_list({{.id = "a", .destination = 1}});
  const auto id = relay.submit(kIdempotent);
  relay.run_round({event::ClientCancelled{id}});
  relay.end_attempt(id, Outcome::rejected);
  relay.run_until(relay.now + 5 * kSecond);
  EXPECT_EQ(relay.send_count(id), 1);
  EXPECT_TRUE(relay.failed_at.empty() && relay.rejected_at.empty());
}
TEST(FinalAnswer, MessageFailsAfterItsLastAttempt) {
  auto settings = test_settings();
  settings.max_attempts = 2;
  SimulatedRelay relay(settings);
  relay.set_endpoint_list({{.id = "a", .destination = 1}});
  const auto id = relay.submit(kIdempotent);
  relay.end_attempt(id, Outcome::error);
  relay.run_until(relay.now + 2 * kSecond);
  relay.end_attempt(id, Outcome::error);
  relay.run_until(relay.now + 2 * kSecond);
  EXPECT_EQ(relay.send_count(id), 2);
  EXPECT_EQ(relay.failed_at.count(id), 1U);
}

TEST(Idempotency, NonIdempotentMessageIsNotRetriedIfItMayHaveBeenExecuted) {
  for (auto outcome : {Outcome::error, Outcome::timeout, Outcome::reset, Outcome::cancelled}) {
    SimulatedRelay relay;
    relay.set_endpoint_list({{.id = "a", .destination = 1}});
    const auto id = relay.submit(kNonIdempotent);
    relay.end_attempt(id, outcome);
    relay.run_until(relay.now + 20 * kSecond);
    EXPECT_EQ(relay.send_count(id), 1);
    EXPECT_EQ(relay.failed_at.count(id), 1U);
    EXPECT_EQ(relay.rejected_at.count(id), 0U);
  }
}
TEST(Idempotency, NonIdempotentMessageIsRetriedIfItWasNotExecuted) {
  for (auto outcome : {Outcome::rejected, Outcome::connect_failed, Outcome::not_sent}) {
    SimulatedRelay relay;
    relay.set_endpoint_list({{.id = "a", .destination = 1}});
    const auto id = relay.submit(kNonIdempotent);
    relay.end_attempt(id, outcome);
    relay.run_until(relay.now + 5 * kSecond);
    EXPECT_EQ(relay.send_count(id), 2);
  }
}
TEST(Idempotency, KeyedMessageIsRetriedOnlyWithinItsWindow) {
  SimulatedRelay relay;
  relay.set_endpoint_list({{.id = "a", .destination = 1}});
  const auto id = relay.submit(kKeyed);
  const Time first_sent_at = relay.now;
  relay.run_until(relay.now + 2 * kSecond);
  relay.end_attempt(id, Outcome::timeout);
  relay.run_until(relay.now + 2 * kSecond);
  ASSERT_EQ(relay.send_count(id), 2);  // inside the window
  relay.run_until(first_sent_at + 5 * kSecond - 100 * kMillisecond);
  relay.end_attempt(id, Outcome::timeout);
  relay.run_until(relay.now + 15 * kSecond);
  for (const auto& attempt : relay.sent)
    EXPECT_LE(attempt.sent_at + attempt.start_within, first_sent_at + 5 * kSecond);
  EXPECT_EQ(relay.sent[0].start_within, 0);
  EXPECT_GT(relay.sent[1].start_within, 0);  // also bounds a retry whose connection is slow to establish
  EXPECT_EQ(relay.failed_at.count(id) + relay.rejected_at.count(id), 1U);
}
TEST(Idempotency, WindowStartsWithTheFirstAttemptThatMayHaveBeenExecuted) {
  SimulatedRelay relay;
  relay.set_endpoint_list({{.id = "a", .destination = 1}});
  const auto id = relay.submit(kKeyed);
  relay.run_until(relay.now + 4 * kSecond);
  relay.end_attempt(id, Outcome::rejected);  // not executed, so no window starts
  relay.run_until(relay.now + 4 * kSecond);
  ASSERT_EQ(relay.send_count(id), 2);
  const Time second_sent_at = relay.sent.back().sent_at;
  relay.end_attempt(id, Outcome::error);
  relay.run_until(second_sent_at + 4 * kSecond + 900 * kMillisecond);
  EXPECT_EQ(relay.send_count(id), 3);
}
TEST(Idempotency, KeyedMessageWithZoneScopeIsRetriedOnlyInItsZone) {
  auto settings = test_settings();
  settings.classes[kKeyed].key_scope = KeyScope::zone;
  for (int seed = 1; seed < 6; seed++) {
    SimulatedRelay relay(settings, static_cast<std::uint64_t>(seed));
    relay.set_endpoint_list({{.id = "a", .destination = 1, .zone = 0},
                             {.id = "b", .destination = 1, .zone = 1},
                             {.id = "c", .destination = 1, .zone = 1}});
    const auto id = relay.submit(kKeyed);
    const EndpointId first_endpoint = relay.sent[0].endpoint;
    for (int i = 0; i < 2; i++) {
      relay.end_attempt(id, Outcome::error);
      relay.run_until(relay.now + 2 * kSecond);
      if (relay.in_flight.empty()) break;
    }
    for (const auto& attempt : relay.sent) EXPECT_EQ(attempt.endpoint == "a", first_endpoint == "a");
    EXPECT_EQ(relay.rejected_at.count(id), 0U);
    relay.run_until(relay.now + 20 * kSecond);
    // A rejection would invite the client to resubmit the message. It may have been executed, and the
    // endpoints of the other zone would not drop the repeat.
    EXPECT_EQ(relay.rejected_at.count(id), 0U);
  }
}

TEST(EndpointList, DrainingOrRemovedEndpointGetsNoNewCalls) {
  for (auto status : {EndpointStatus::draining, EndpointStatus::removed}) {
    SimulatedRelay relay;
    relay.set_endpoint_list({{.id = "a", .destination = 1}});
    relay.update_endpoint({.id = "a", .destination = 1, .status = status});
    relay.run_until(relay.now + 100 * kMillisecond);
    const auto id = relay.submit(kIdempotent);
    relay.run_until(relay.now + 3 * kSecond);
    EXPECT_EQ(relay.send_count(id), 0);
    relay.update_endpoint({.id = "b", .destination = 1});
    EXPECT_EQ(relay.send_count(id), 1);
  }
}
TEST(EndpointList, EndpointMissingFromASnapshotGetsNoCalls) {
  SimulatedRelay relay;
  relay.set_endpoint_list({{.id = "a", .destination = 1}, {.id = "b", .destination = 1}});
  relay.set_endpoint_list({{.id = "b", .destination = 1}});
  for (int i = 0; i < 6; i++) relay.submit(kIdempotent);
  for (const auto& attempt : relay.sent) EXPECT_EQ(attempt.endpoint, "b");
  EXPECT_FALSE(relay.sent.empty());
}

// Expects slow start after an outage in which all calls end with `symptom`. No window of 2 s may contain much
// more than this relay's share of the calls that a destination in slow start can serve.
void expect_slow_start_after(Outcome symptom) {
  auto settings = test_settings();
  settings.overload_multiple = 2;
  settings.slow_start_capacity_fraction = 0.2;
  settings.slow_start_duration = 8 * kSecond;
  SimulatedRelay relay(settings);
  relay.set_endpoint_list({{.id = "a", .destination = 1}});
  const auto serve = [](const SentAttempt&) -> std::optional<Outcome> { return Outcome::succeeded; };
  relay.run_traffic(10 * kSecond, 10, kIdempotent, 1, serve);
  const auto fail = [&](const SentAttempt&) -> std::optional<Outcome> { return symptom; };
  relay.run_traffic(8 * kSecond, 10, kIdempotent, 1, fail);
  EXPECT_LE(relay.sends_between(relay.now - 3 * kSecond, relay.now), 8) << "calls during the outage";
  const Time outage_end = relay.now;
  relay.run_traffic(14 * kSecond, 10, kIdempotent, 1, serve);
  Time first_sent_at = 0;
  for (const auto& attempt : relay.sent)
    if (attempt.sent_at >= outage_end - 100 * kMillisecond && first_sent_at == 0)
      first_sent_at = attempt.sent_at;
  ASSERT_GT(first_sent_at, 0);
  for (Time window_start = outage_end; window_start < first_sent_at + 8 * kSecond;
       window_start += 250 * kMillisecond) {
    const double capacity_fraction =
        0.2 + 0.8 * std::max(0.0, static_cast<double>(window_start + 2 * kSecond - first_sent_at) /
                                      (8.0 * kSecond));
    EXPECT_LE(relay.sends_between(window_start, window_start + 2 * kSecond),
              2 * 10 * std::min(1.0, capacity_fraction) * 2 + 2)
        << (window_start - outage_end) / kMillisecond;
  }
  EXPECT_GE(relay.sends_between(relay.now - 2 * kSecond, relay.now), 16) << "the full rate is served again";
}
TEST(SlowStart, LimitsCallsAfterFailedConnects) { expect_slow_start_after(Outcome::connect_failed); }
TEST(SlowStart, LimitsCallsAfterErrors) { expect_slow_start_after(Outcome::error); }
TEST(SlowStart, LimitsCallsAfterAllCallsWereRejected) { expect_slow_start_after(Outcome::rejected); }

// The settings of a destination in slow start, and a relay that has called it once a second.
class SlowStartAfterOutage : public ::testing::Test {
 protected:
  static Settings settings(int relay_count = 1) {
    auto settings = test_settings();
    settings.overload_multiple = 2;
    settings.slow_start_capacity_fraction = 0.2;
    settings.slow_start_duration = 8 * kSecond;
    settings.relay_count = relay_count;
    return settings;
  }
  static std::optional<Outcome> serve(const SentAttempt&) { return Outcome::succeeded; }
  static constexpr double kRate = 3;  // calls per second that the destination takes when it is not cold
  // The calls within 2 s that the destination withstands so long after its return: N plus 3 times the root of
  // N plus 3, where N is twice what it can serve.
  static double budget(Time since_return) {
    const double elapsed_fraction = static_cast<double>(since_return) / (8.0 * kSecond);
    const double expected = 2 * (0.2 + 0.8 * elapsed_fraction) * kRate * 2;
    return expected + 3 * std::sqrt(expected) + 3;
  }
  static void call_regularly(SimulatedRelay& relay) {
    relay.set_endpoint_list({{.id = "a", .destination = 1}, {.id = "b", .destination = 1}});
    relay.run_traffic(6 * kSecond, 1, kIdempotent, 1, serve);
    relay.run_traffic(1 * kSecond, 0, kIdempotent, 1, serve);
  }
  // Many messages at once, at a destination that has just returned.
  static void expect_limited(SimulatedRelay& relay) {
    const Time returned_at = relay.now;
    for (int i = 0; i < 30; i++) relay.submit(kIdempotent);
    relay.run_traffic(8 * kSecond, 0, kIdempotent, 1, serve);
    EXPECT_GE(relay.sends_between(returned_at, relay.now), 10);
    for (const auto& attempt : relay.sent) {
      if (attempt.sent_at < returned_at) continue;
      const Time window_start = std::max(returned_at, attempt.sent_at - 2 * kSecond);
      EXPECT_LE(relay.sends_between(window_start, attempt.sent_at + 1), budget(attempt.sent_at - returned_at))
          << (attempt.sent_at - returned_at) / kMillisecond;
    }
  }
};

// Guards against a limit that ended by time although no call had been served since the outage began.
TEST_F(SlowStartAfterOutage, TheLimitLastsUntilACallIsServed) {
  for (const Outcome symptom : {Outcome::timeout, Outcome::connect_failed}) {
    SimulatedRelay relay(settings());
    call_regularly(relay);
    const auto id = relay.submit(kNonIdempotent);
    relay.end_attempt(id, symptom);
    if (symptom == Outcome::connect_failed) relay.run_round({event::ClientCancelled{id}});
    relay.run_until(relay.now + 20 * kSecond);
    expect_limited(relay);
  }
}

// Guards against a single error or short rejection, after which a relay counts as notified, limiting nothing.
TEST_F(SlowStartAfterOutage, ASingleFailedCallLimitsTheNextOnes) {
  for (const Outcome symptom : {Outcome::error, Outcome::reset, Outcome::rejected}) {
    SimulatedRelay relay(settings());
    call_regularly(relay);
    const auto id = relay.submit(kNonIdempotent);
    relay.end_attempt(id, symptom);
    if (symptom == Outcome::rejected) relay.run_round({event::ClientCancelled{id}});
    relay.run_until(relay.now + 6 * kSecond);
    expect_limited(relay);
  }
}

// Guards against a limit of an earlier process that was dropped because no list named the destination yet.
TEST_F(SlowStartAfterOutage, TheLimitIsRestoredOnceTheDestinationIsListed) {
  SimulatedRelay relay(settings());
  relay.run_round({event::DestinationLimitRecovered{1}});
  relay.set_endpoint_list({{.id = "c", .destination = 2}});
  relay.run_until(relay.now + 60 * kSecond);
  relay.set_endpoint_list({{.id = "a", .destination = 1}, {.id = "b", .destination = 1}});
  expect_limited(relay);
}

// Guards against a limit that was dropped with the endpoints that left the list during the outage.
TEST_F(SlowStartAfterOutage, TheLimitSurvivesTheAbsenceOfTheDestination) {
  SimulatedRelay relay(settings());
  call_regularly(relay);
  const auto id = relay.submit(kNonIdempotent);
  relay.end_attempt(id, Outcome::timeout);
  relay.set_endpoint_list({{.id = "c", .destination = 2}});
  relay.run_until(relay.now + 60 * kSecond);
  relay.set_endpoint_list({{.id = "c", .destination = 2}});
  relay.run_until(relay.now + 60 * kSecond);
  relay.set_endpoint_list({{.id = "d", .destination = 1}});
  expect_limited(relay);
}

// Guards against limits that last for minutes where a relay among many calls a destination seldom.
TEST_F(SlowStartAfterOutage, ASeldomCalledDestinationIsCalledAgain) {
  auto many_relays = settings(1300);
  many_relays.weight_kind = WeightKind::approximate;
  for (const Outcome symptom : {Outcome::connect_failed, Outcome::error, Outcome::rejected}) {
    int late = 0;
    for (std::uint64_t seed = 1; seed <= 20; seed++) {
      SimulatedRelay relay(many_relays, seed);
      relay.set_endpoint_list({{.id = "a", .destination = 1, .weight = kRate}});
      relay.end_attempt(relay.submit(kNonIdempotent), Outcome::succeeded);
      relay.run_until(relay.now + 120 * kSecond);
      const auto failed = relay.submit(kNonIdempotent);
      relay.end_attempt(failed, symptom);
      relay.run_round({event::ClientCancelled{failed}});
      relay.run_until(relay.now + 120 * kSecond);
      const Time arrived_at = relay.now;
      const auto next = relay.submit(kNonIdempotent);
      relay.run_until(relay.now + 2 * kSecond);
      late += relay.sends_between(arrived_at, relay.now) == 0 ? 1 : 0;
      EXPECT_LE(relay.send_count(next), 1);
    }
    EXPECT_LE(late, 2) << static_cast<int>(symptom);
  }
}

TEST(RetryAfter, HoldsBackAllSendsToTheDestination) {
  SimulatedRelay relay;
  relay.set_endpoint_list(
      {{.id = "a", .destination = 1}, {.id = "b", .destination = 1}, {.id = "c", .destination = 2}});
  const auto id = relay.submit(kIdempotent);
  const Time received_at = relay.now;
  relay.end_attempt(id, Outcome::rejected, 2 * kSecond);
  relay.submit(kNonIdempotent);
  relay.run_until(received_at + 1500 * kMillisecond);
  relay.submit(kIdempotent);
  EXPECT_EQ(relay.sends_between(received_at + 1, received_at + 2 * kSecond), 0);
  relay.submit(kIdempotent, 2);  // other destinations are not affected
  EXPECT_EQ(relay.sent.back().endpoint, "c");
  relay.run_until(received_at + 4 * kSecond);
  EXPECT_GE(relay.sends_between(received_at + 2 * kSecond, received_at + 4 * kSecond), 1);
}
TEST(RetryAfter, HoldsBackOnlyOneOfIndependentEndpoints) {
  auto settings = test_settings();
  settings.kinds[0].independent_endpoints = true;
  SimulatedRelay relay(settings);
  relay.set_endpoint_list({{.id = "a", .destination = 1}, {.id = "b", .destination = 1}});
  const auto id = relay.submit(kIdempotent);
  const EndpointId held_back = relay.sent[0].endpoint;
  const Time received_at = relay.now;
  relay.end_attempt(id, Outcome::rejected, 3 * kSecond);
  for (int i = 0; i < 4; i++) relay.submit(kIdempotent);
  relay.run_until(received_at + 2900 * kMillisecond);
  EXPECT_EQ(relay.sends_between(received_at + 1, received_at + 3 * kSecond, held_back), 0);
  EXPECT_GT(relay.sends_between(received_at, received_at + 3 * kSecond, held_back == "a" ? "b" : "a"), 0);
}

Settings ordered_settings() {
  auto settings = test_settings();
  settings.classes[kNonIdempotent].ordered = true;
  settings.classes[kIdempotent].ordered = true;
  settings.order_key_quiet_period = 700 * kMillisecond;
  return settings;
}
TEST(OrderKey, MessagesAreSentOneAtATimeInOrderOfAcceptance) {
  SimulatedRelay relay(ordered_settings());
  relay.set_endpoint_list({{.id = "a", .destination = 1}, {.id = "b", .destination = 2}});
  const auto first = relay.submit(kIdempotent, 1, "k");
  const auto second = relay.submit(kNonIdempotent, 2, "k");
  const auto third = relay.submit(kIdempotent, 1, "k");
  const auto other_key = relay.submit(kIdempotent, 1, "k2");
  EXPECT_EQ(relay.send_count(second) + relay.send_count(third), 0);
  EXPECT_EQ(relay.send_count(other_key), 1);
  relay.end_attempt(first, Outcome::succeeded);
  EXPECT_EQ(relay.send_count(second), 1);
  EXPECT_EQ(relay.send_count(third), 0);
  relay.end_attempt(second, Outcome::succeeded);
  EXPECT_EQ(relay.send_count(third), 1);
}
TEST(OrderKey, CancelledMessageBlocksItsKeyWhileItsAttemptIsInFlight) {
  SimulatedRelay relay(ordered_settings());
  relay.set_endpoint_list({{.id = "a", .destination = 1}});
  const auto first = relay.submit(kIdempotent, 1, "k");
  const auto second = relay.submit(kIdempotent, 1, "k");
  relay.run_round({event::ClientCancelled{first}});
  EXPECT_EQ(relay.send_count(second), 0);
  relay.end_attempt(first, Outcome::succeeded);
  EXPECT_EQ(relay.send_count(second), 1);
}
TEST(OrderKey, QuietPeriodFollowsAnAttemptThatMayStillBeRunning) {
  for (auto outcome : {Outcome::timeout, Outcome::reset, Outcome::cancelled}) {
    SimulatedRelay relay(ordered_settings());
    relay.set_endpoint_list({{.id = "a", .destination = 1}});
    const auto first = relay.submit(kNonIdempotent, 1, "k");
    const auto second = relay.submit(kIdempotent, 1, "k");
    relay.end_attempt(first, outcome);
    const Time ended_at = relay.now;
    EXPECT_EQ(relay.failed_at.count(first), 1U);
    relay.run_until(ended_at + 699 * kMillisecond);
    EXPECT_EQ(relay.send_count(second), 0);
    relay.run_until(ended_at + 2 * kSecond);
    EXPECT_EQ(relay.send_count(second), 1);
  }
}

}  // namespace
}  // namespace dispatch::testing
