// Steps of the wall clock, by an hour in both directions, while a relay holds a message or between two of its
// processes. Deadlines are spans of real time, so they must not move.
#include "relay_harness.hpp"

namespace message_relay::testing {
namespace {

constexpr long kHour = 3600;      // seconds
constexpr long kDeadline = 6000;  // milliseconds, of the submitted message
const char* const kReadLikeClass = "load-status";

class WallClockTest : public RelayTest, public ::testing::WithParamInterface<long> {
 protected:
  WallClockTest() {
    step_wall_clock(0);
    ::setenv("WALL_CLOCK_STEP_FILE", step_file().c_str(), 1);
    ::setenv("LD_PRELOAD", WALL_CLOCK_SHIM, 1);
    // The sanitizer's library is linked into the program and so comes after a preloaded one.
    ::setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
  }
  ~WallClockTest() override {
    for (const char* variable : {"WALL_CLOCK_STEP_FILE", "LD_PRELOAD", "ASAN_OPTIONS"}) ::unsetenv(variable);
  }
  std::string step_file() const { return folder + "/wall_clock_step"; }
  void step_wall_clock(long seconds) {
    std::ofstream(step_file() + ".next") << seconds;
    std::filesystem::rename(step_file() + ".next", step_file());
  }
  // The X-Deadline of the last call that the endpoint received, in milliseconds.
  double last_call_deadline() const {
    const std::string text(endpoint.received.back().request["X-Deadline"]);
    const double number = std::strtod(text.c_str(), nullptr);
    return text.ends_with('u') ? number / 1000 : number;
  }
  // Expects a further call in time, with what is left of the message's deadline.
  void expect_call_within_deadline() {
    const std::size_t calls = endpoint.received.size();
    endpoint.on_request(respond_ok);
    wait_for([&] { return endpoint.received.size() > calls || !final_notices.empty(); }, "a call");
    ASSERT_GT(endpoint.received.size(), calls) << final_notices;
    EXPECT_GT(last_call_deadline(), 0);
    EXPECT_LE(last_call_deadline(), kDeadline);
  }
};

TEST_P(WallClockTest, StepWhileAMessageIsHeldMovesNoDeadline) {
  endpoint.on_request([](const ReceivedRequest& incoming) { incoming.session->respond(503); });
  start();
  EXPECT_EQ(submit("m1", kReadLikeClass), 202U);
  wait_for([this] { return !endpoint.received.empty(); }, "the first call");
  step_wall_clock(GetParam());
  expect_call_within_deadline();
}

TEST_P(WallClockTest, StepBetweenTwoProcessesMovesNoDeadline) {
  endpoint.on_request(leave_unanswered);
  start();
  EXPECT_EQ(submit("m1", kReadLikeClass), 202U);
  wait_for([this] { return !endpoint.received.empty(); }, "the first call");
  kill_relay();
  step_wall_clock(GetParam());
  endpoint.on_request(respond_ok);
  spawn(config());
  expect_call_within_deadline();
}

INSTANTIATE_TEST_SUITE_P(Steps, WallClockTest, ::testing::Values(-kHour, kHour),
                         [](const auto& parameter) { return parameter.param < 0 ? "Back" : "Ahead"; });

}  // namespace
}  // namespace message_relay::testing
