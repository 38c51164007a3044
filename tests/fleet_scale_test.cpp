// The hollow fleet: the same for a seed, and its destinations hold to what they say of themselves.
#include <gtest/gtest.h>

#include "fleet.hpp"

namespace scale_tool {
namespace {

FleetSettings small() {
  FleetSettings s;
  s.relays = 3, s.most_destinations = 20;
  s.length = 40, s.warm_up = 10;
  return s;
}

TEST(HollowFleet, IsTheSameForASeedAndAnotherForAnother) {
  FleetSettings s = small();
  s.down_part = 0.05, s.churn = 1, s.killed_part = 0.7, s.killed_at = 20;
  const FleetResult one = run_fleet(s), again = run_fleet(s);
  EXPECT_EQ(one.digest, again.digest);
  EXPECT_EQ(one.calls, again.calls);
  s.seed++;
  EXPECT_NE(run_fleet(s).digest, one.digest);
}

TEST(HollowFleet, EndsEachMessageOnce) {
  FleetSettings s = small();
  s.load = 1.5, s.down_part = 0.05, s.killed_part = 0.7, s.killed_at = 20;
  const FleetResult r = run_fleet(s);
  EXPECT_GT(r.messages, 1'000);
  EXPECT_LE(r.served + r.failed + r.handed_back, r.messages);  // the rest came late
  EXPECT_GE(r.served + r.failed + r.handed_back, r.messages * 99 / 100);
}

// A limit is one: however much is asked for, no more than it is served, and the rest is refused.
TEST(HollowFleet, ServesNoMoreThanTheLimitsAllow) {
  FleetSettings s = small();
  s.load = 3, s.length = 60;
  for (const double windows : {0.0, 1.0}) {
    s.window_part = windows;
    const FleetResult r = run_fleet(s);
    EXPECT_GT(r.calls_refused, 0);
    EXPECT_LT(static_cast<double>(r.calls_served), 1.05 * r.limit_calls);
    EXPECT_GT(static_cast<double>(r.calls_served), 0.7 * r.limit_calls);
  }
}

TEST(HollowFleet, TellsMessagesOfSoundDestinationsFromThoseInAnOutage) {
  FleetSettings s = small();
  s.down_part = 0.1;
  const FleetResult r = run_fleet(s);
  EXPECT_LT(r.sound_messages, r.messages);
  EXPECT_GT(r.calls_failed, 0);
  s.down_part = 0;
  const FleetResult calm = run_fleet(s);
  EXPECT_EQ(calm.sound_messages, calm.messages);
}

// A cold destination that takes next to nothing falls under what comes; one that is warm at once does not.
TEST(HollowFleet, PushesAColdDestinationOver) {
  FleetSettings s = small();
  s.relays = 30, s.down_part = 0.1, s.down = 5, s.cold_from = 0.01, s.cold = 30, s.load = 2;
  s.fall_multiple = 0.5;
  EXPECT_GT(run_fleet(s).falls, 0);
  s.cold_from = 1, s.fall_multiple = 4;
  EXPECT_EQ(run_fleet(s).falls, 0);
}

// A relay's share of each limit is a call in minutes here; what a message waits for it, it does not live.
FleetSettings thin() {
  FleetSettings s;
  s.relays = 300, s.most_destinations = 300;
  s.length = 60, s.warm_up = 20;
  return s;
}

TEST(ThinTargets, AreServedUnderTheirLimitsHoweverManyRelaysThereAre) {
  FleetSettings s = thin();
  s.uneven = 1;
  const FleetResult r = run_fleet(s);
  EXPECT_GT(r.served, r.messages * 95 / 100);
}

TEST(ThinTargets, RefuseTheFleetNoMoreThanABoundedShareOfItsCalls) {
  FleetSettings s = thin();
  s.load = 1.2;
  const FleetResult r = run_fleet(s);
  EXPECT_LT(static_cast<double>(r.calls_refused), 0.35 * static_cast<double>(r.calls_served));
  EXPECT_GT(static_cast<double>(r.calls_served), 0.7 * r.limit_calls);
}

// The bound is on all of them together: a few that are over their limits hold back few calls to the others.
TEST(ThinTargets, AreServedBesideAFewThatAreOverTheirLimits) {
  FleetSettings s = thin();
  s.hot_part = 0.05, s.hot_load = 2;
  const FleetResult r = run_fleet(s);
  EXPECT_GT(r.served, r.messages * 83 / 100);  // of the 91% that the limits allow
}

TEST(ThinTargets, ReturnColdWithNoRelayThatKnewPushingThemOver) {
  FleetSettings s = thin();
  s.down_part = 0.017;
  for (s.seed = 1; s.seed <= 3; s.seed++) {
    const FleetResult r = run_fleet(s);
    EXPECT_EQ(r.told_falls, 0);
    EXPECT_GT(r.sound_served, r.sound_messages * 95 / 100);
  }
}

// Eight times what is asked otherwise for a while: calls come back within seconds.
TEST(ThinTargets, RecoverFromAnOverloadThatIsOver) {
  FleetSettings s = thin();
  s.relays = 100, s.most_destinations = 100;
  s.burst_load = 4, s.burst_from = 25, s.burst_to = 35, s.warm_up = 45, s.length = 75;
  const FleetResult r = run_fleet(s);
  EXPECT_GT(r.served, r.messages * 93 / 100);
}

TEST(HollowFleet, RefusesSettingsThatMakeNoSense) {
  FleetSettings s = small();
  s.warm_up = s.length;
  EXPECT_THROW(run_fleet(s), std::invalid_argument);
}

}  // namespace
}  // namespace scale_tool
