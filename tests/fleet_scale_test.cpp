// The hollow fleet: the same for a seed, and its destinations hold to what they say of themselves.
#include <gtest/gtest.h>

#include "fleet.hpp"

namespace scale_tool {
namespace {

FleetSettings small() {
  FleetSettings s;
  s.relay_count = 3, s.max_destinations = 20;
  s.duration = 40, s.warm_up = 10;
  return s;
}

TEST(HollowFleet, IsTheSameForASeedAndAnotherForAnother) {
  FleetSettings s = small();
  s.faults.unavailable_fraction = 0.05, s.faults.endpoint_replacement_rate = 1,
  s.faults.killed_relay_fraction = 0.7, s.faults.killed_at = 20;
  const FleetResult one = run_fleet(s), again = run_fleet(s);
  EXPECT_EQ(one.digest, again.digest);
  EXPECT_EQ(one.calls, again.calls);
  s.seed++;
  EXPECT_NE(run_fleet(s).digest, one.digest);
}

TEST(HollowFleet, EndsEachMessageOnce) {
  FleetSettings s = small();
  s.workload.load = 1.5, s.faults.unavailable_fraction = 0.05, s.faults.killed_relay_fraction = 0.7,
  s.faults.killed_at = 20;
  const FleetResult r = run_fleet(s);
  EXPECT_GT(r.messages, 1'000);
  EXPECT_LE(r.delivered + r.failed + r.rejected, r.messages);  // the rest came late
  EXPECT_GE(r.delivered + r.failed + r.rejected, r.messages * 99 / 100);
}

// A limit is one: however much is asked for, no more than it is served, and the rest is refused.
TEST(HollowFleet, ServesNoMoreThanTheLimitsAllow) {
  FleetSettings s = small();
  s.workload.load = 3, s.duration = 60;
  for (const double windows : {0.0, 1.0}) {
    s.destination.fixed_window_fraction = windows;
    const FleetResult r = run_fleet(s);
    EXPECT_GT(r.calls_rejected, 0);
    EXPECT_LT(static_cast<double>(r.calls_succeeded), 1.05 * r.calls_allowed);
    EXPECT_GT(static_cast<double>(r.calls_succeeded), 0.7 * r.calls_allowed);
  }
}

TEST(HollowFleet, TellsMessagesOfSoundDestinationsFromThoseInAnOutage) {
  FleetSettings s = small();
  s.faults.unavailable_fraction = 0.1;
  const FleetResult r = run_fleet(s);
  EXPECT_LT(r.unaffected_messages, r.messages);
  EXPECT_GT(r.calls_failed, 0);
  s.faults.unavailable_fraction = 0;
  const FleetResult calm = run_fleet(s);
  EXPECT_EQ(calm.unaffected_messages, calm.messages);
}

// A cold destination that takes next to nothing falls under what comes; one that is warm at once does not.
TEST(HollowFleet, PushesAColdDestinationOver) {
  FleetSettings s = small();
  s.relay_count = 30, s.faults.unavailable_fraction = 0.1, s.faults.outage_duration = 5,
  s.destination.slow_start_capacity = 0.01, s.destination.slow_start_duration = 30, s.workload.load = 2;
  s.destination.overload_multiple = 0.5;
  EXPECT_GT(run_fleet(s).collapses, 0);
  s.destination.slow_start_capacity = 1, s.destination.overload_multiple = 4;
  EXPECT_EQ(run_fleet(s).collapses, 0);
}

// A relay's share of each limit is a call in minutes here; what a message waits for it, it does not live.
FleetSettings thin() {
  FleetSettings s;
  s.relay_count = 300, s.max_destinations = 300;
  s.duration = 60, s.warm_up = 20;
  return s;
}

TEST(ThinTargets, AreServedUnderTheirLimitsHoweverManyRelaysThereAre) {
  FleetSettings s = thin();
  s.workload.relay_skew = 1;
  const FleetResult r = run_fleet(s);
  EXPECT_GT(r.delivered, r.messages * 95 / 100);
}

TEST(ThinTargets, RefuseTheFleetNoMoreThanABoundedShareOfItsCalls) {
  FleetSettings s = thin();
  s.workload.load = 1.2;
  const FleetResult r = run_fleet(s);
  EXPECT_LT(static_cast<double>(r.calls_rejected), 0.35 * static_cast<double>(r.calls_succeeded));
  EXPECT_GT(static_cast<double>(r.calls_succeeded), 0.7 * r.calls_allowed);
}

// The bound is on all of them together: a few that are over their limits hold back few calls to the others.
TEST(ThinTargets, AreServedBesideAFewThatAreOverTheirLimits) {
  FleetSettings s = thin();
  s.workload.hot_fraction = 0.05, s.workload.hot_load = 2;
  const FleetResult r = run_fleet(s);
  EXPECT_GT(r.delivered, r.messages * 83 / 100);  // of the 91% that the limits allow
}

TEST(ThinTargets, ReturnColdWithNoRelayThatKnewPushingThemOver) {
  FleetSettings s = thin();
  s.faults.unavailable_fraction = 0.017;
  for (s.seed = 1; s.seed <= 3; s.seed++) {
    const FleetResult r = run_fleet(s);
    EXPECT_EQ(r.collapses_by_notified_relays, 0);
    EXPECT_GT(r.unaffected_delivered, r.unaffected_messages * 95 / 100);
  }
}

// Eight times what is asked otherwise for a while: calls come back within seconds.
TEST(ThinTargets, RecoverFromAnOverloadThatIsOver) {
  FleetSettings s = thin();
  s.relay_count = 100, s.max_destinations = 100;
  s.workload.burst_load = 4, s.workload.burst_start = 25, s.workload.burst_end = 35, s.warm_up = 45,
  s.duration = 75;
  const FleetResult r = run_fleet(s);
  EXPECT_GT(r.delivered, r.messages * 93 / 100);
}

TEST(HollowFleet, RefusesSettingsThatMakeNoSense) {
  FleetSettings s = small();
  s.warm_up = s.duration;
  EXPECT_THROW(static_cast<void>(run_fleet(s)), std::invalid_argument);
}

}  // namespace
}  // namespace scale_tool
