// Tests the simulated fleet: equal seeds give equal results, destinations follow their settings, and the
// dispatchers together deliver well although each has only a small share of every destination's rate limit.
#include <gtest/gtest.h>

#include <cstdint>
#include <stdexcept>

#include "fleet.hpp"

namespace scale_tool {
namespace {

FleetSettings small_fleet() {
  FleetSettings settings;
  settings.relay_count = 3;
  settings.max_destinations = 20;
  settings.duration = 40;
  settings.warm_up = 10;
  return settings;
}

// A relay's share of each rate limit is less than one call per minute, whereas the deadline of a message is
// only seconds after its arrival.
FleetSettings large_fleet() {
  FleetSettings settings;
  settings.relay_count = 300;
  settings.max_destinations = 300;
  settings.duration = 60;
  settings.warm_up = 20;
  return settings;
}

void kill_most_relays(FleetSettings& settings) {
  settings.faults.killed_relay_fraction = 0.7;
  settings.faults.killed_at = 20;
}

double ratio(std::int64_t part, std::int64_t all) {
  return static_cast<double>(part) / static_cast<double>(all);
}

// The number of successful calls as a fraction of the calls that the rate limits allow.
double rate_limit_utilization(const FleetResult& result) {
  return static_cast<double>(result.calls_succeeded) / result.calls_allowed;
}

TEST(SimulatedFleet, EqualSeedsGiveEqualResultsAndDifferentSeedsDiffer) {
  FleetSettings settings = small_fleet();
  settings.faults.unavailable_fraction = 0.05;
  settings.faults.endpoint_replacement_rate = 1;
  kill_most_relays(settings);
  const FleetResult first = run_fleet(settings);
  const FleetResult second = run_fleet(settings);
  EXPECT_EQ(first.digest, second.digest);
  EXPECT_EQ(first.calls, second.calls);
  settings.seed++;
  EXPECT_NE(run_fleet(settings).digest, first.digest);
}

// Under overload, with outages and killed relays, no message ends twice and at least 99% of the messages end
// as delivered in time, failed or rejected.
TEST(SimulatedFleet, EachMessageEndsOnceWithOutagesAndKilledRelays) {
  FleetSettings settings = small_fleet();
  settings.workload.load = 1.5;
  settings.faults.unavailable_fraction = 0.05;
  kill_most_relays(settings);
  const FleetResult result = run_fleet(settings);
  EXPECT_GT(result.messages, 1'000);
  const std::int64_t ended = result.delivered + result.failed + result.rejected;
  EXPECT_LE(ended, result.messages);  // the other messages were delivered after their deadline
  EXPECT_GE(ended, result.messages * 99 / 100);
}

// At three times the load that the rate limits allow, destinations serve calls up to their limits and reject
// the rest.
TEST(SimulatedFleet, OverloadIsServedOnlyUpToTheRateLimits) {
  FleetSettings settings = small_fleet();
  settings.workload.load = 3;
  settings.duration = 60;
  for (const double fixed_window_fraction : {0.0, 1.0}) {
    settings.destination.fixed_window_fraction = fixed_window_fraction;
    const FleetResult result = run_fleet(settings);
    EXPECT_GT(result.calls_rejected, 0);
    EXPECT_LT(rate_limit_utilization(result), 1.05);
    EXPECT_GT(rate_limit_utilization(result), 0.7);
  }
}

TEST(SimulatedFleet, MessagesCountAsAffectedOnlyIfThereAreOutages) {
  FleetSettings settings = small_fleet();
  settings.faults.unavailable_fraction = 0.1;
  const FleetResult with_outages = run_fleet(settings);
  EXPECT_LT(with_outages.unaffected_messages, with_outages.messages);
  EXPECT_GT(with_outages.calls_failed, 0);
  settings.faults.unavailable_fraction = 0;
  const FleetResult without_outages = run_fleet(settings);
  EXPECT_EQ(without_outages.unaffected_messages, without_outages.messages);
}

// A destination that starts with 1% of its capacity collapses under the calls that arrive; a destination that
// has its full capacity at once does not.
TEST(SimulatedFleet, DestinationsCollapseWhenOverloadedInSlowStart) {
  FleetSettings settings = small_fleet();
  settings.relay_count = 30;
  settings.workload.load = 2;
  settings.faults.unavailable_fraction = 0.1;
  settings.faults.outage_duration = 5;
  settings.destination.slow_start_duration = 30;
  settings.destination.slow_start_capacity = 0.01;
  settings.destination.overload_multiple = 0.5;
  EXPECT_GT(run_fleet(settings).collapses, 0);
  settings.destination.slow_start_capacity = 1;
  settings.destination.overload_multiple = 4;
  EXPECT_EQ(run_fleet(settings).collapses, 0);
}

TEST(SimulatedFleet, WarmUpAsLongAsTheDurationIsInvalid) {
  FleetSettings settings = small_fleet();
  settings.warm_up = settings.duration;
  EXPECT_THROW(static_cast<void>(run_fleet(settings)), std::invalid_argument);
}

TEST(SmallRateLimitShares, UnevenTrafficBelowTheRateLimitsIsDelivered) {
  FleetSettings settings = large_fleet();
  settings.workload.relay_traffic_variation = 1;
  const FleetResult result = run_fleet(settings);
  EXPECT_GT(result.delivered, result.messages * 95 / 100);
}

TEST(SmallRateLimitShares, LoadAboveTheRateLimitsKeepsTheRejectedFractionBounded) {
  FleetSettings settings = large_fleet();
  settings.workload.load = 1.2;
  const FleetResult result = run_fleet(settings);
  EXPECT_LT(ratio(result.calls_rejected, result.calls_succeeded), 0.35);
  EXPECT_GT(rate_limit_utilization(result), 0.7);
}

// Guards against a few overloaded destinations holding back the calls to the other destinations. The bound
// applies to the messages to all destinations together.
TEST(SmallRateLimitShares, FewOverloadedDestinationsDoNotHoldBackTheOthers) {
  FleetSettings settings = large_fleet();
  settings.workload.hot_fraction = 0.05;
  settings.workload.hot_load = 2;
  const FleetResult result = run_fleet(settings);
  EXPECT_GT(result.delivered, result.messages * 83 / 100);  // the rate limits allow 91%
}

TEST(SmallRateLimitShares, RelaysNotifiedOfAnOutageDoNotCollapseADestinationInSlowStart) {
  FleetSettings settings = large_fleet();
  settings.faults.unavailable_fraction = 0.017;
  for (settings.seed = 1; settings.seed <= 3; settings.seed++) {
    const FleetResult result = run_fleet(settings);
    EXPECT_EQ(result.collapses_by_notified_relays, 0);
    EXPECT_GT(result.unaffected_delivered, result.unaffected_messages * 95 / 100);
  }
}

// A shut destination rejects all calls. Guards against relays that do not take rejections for an outage.
TEST(SmallRateLimitShares, RelaysRejectedByAShutDestinationDoNotCollapseItInSlowStart) {
  FleetSettings settings = small_fleet();
  settings.relay_count = 50;
  settings.destinations_per_relay = 2;
  settings.max_destinations = 100;
  settings.duration = 60;
  settings.destination.rate_limit = 5;
  settings.workload.load = 0.9;
  settings.faults.unavailable_fraction = 0.05;
  settings.faults.outage_symptom = OutageSymptom::shut;
  for (settings.seed = 1; settings.seed <= 3; settings.seed++)
    EXPECT_EQ(run_fleet(settings).collapses_by_notified_relays, 0) << "seed " << settings.seed;
}

// For 10 s, the load is eight times the usual load. Messages are counted from 10 s after the burst on, when
// delivery must have recovered.
TEST(SmallRateLimitShares, DeliveryRecoversWithinSecondsAfterABurst) {
  FleetSettings settings = large_fleet();
  settings.relay_count = 100;
  settings.max_destinations = 100;
  settings.workload.burst_load = 4;
  settings.workload.burst_start = 25;
  settings.workload.burst_end = 35;
  settings.warm_up = 45;
  settings.duration = 75;
  const FleetResult result = run_fleet(settings);
  EXPECT_GT(result.delivered, result.messages * 93 / 100);
}

}  // namespace
}  // namespace scale_tool
