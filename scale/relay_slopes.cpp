// The relay's program among stand-ins on loopback sockets: its start, its memory, and what each message
// costs.
#include <algorithm>
#include <chrono>
#include <filesystem>
#include <optional>
#include <stdexcept>
#include <utility>

#include "endpoint_catalogue.hpp"
#include "relay_process.hpp"
#include "resource_meters.hpp"
#include "slopes.hpp"
#include "stand_ins.hpp"
#include "stored.hpp"

namespace scale_tool {
namespace {

using Clock = std::chrono::steady_clock;

constexpr auto kPatience = std::chrono::seconds(120);
constexpr auto kQuietLook = std::chrono::milliseconds(20);
constexpr double kQuiet = 300;        // us of processor time between two looks that count as none
constexpr std::int64_t kChanges = 3;  // of the list, one after the other
constexpr std::int64_t kDelivered = 10;
constexpr std::int64_t kFewEndpoints = 1000;  // listed where messages are what is varied
constexpr double kRateSeconds = 1;
constexpr std::int64_t kSockets = 512;  // descriptors of the relay: half of them, at most, for calls
constexpr std::int64_t kOthersKept = 8;
constexpr std::int64_t kDrainingDestination = 0, kServingDestination = 1;

double micros(Clock::duration d) { return std::chrono::duration<double, std::micro>(d).count(); }

// A relay and its surroundings, from its start on.
class Trial {
 public:
  explicit Trial(const SlopesSettings& set) : set_(set) {}

  // Its journal holds so many messages that nobody may be sent now.
  void hold(std::int64_t messages) {
    const std::string state = RelayProcess::state_in(folder_.path());
    std::filesystem::create_directories(state);
    message_relay::Journal journal(state, kNoLimit);
    for (std::int64_t id = 1; id <= messages; id++) {
      journal.record_message(
          static_cast<message_relay::MessageId>(id),
          stored(static_cast<message_relay::MessageId>(id), kDrainingDestination, set_.body_bytes));
      if (id % 64 == 0 || id == messages) journal.commit();
    }
  }
  // Knows the first list, is told the second by discovery; false where that one is too long for it.
  bool start(const std::string& known, const std::string& told) {
    around_.begin_with(told);
    const auto begin = Clock::now();
    relay_.emplace(set_.relay_program, folder_.path(), config(known));
    wait([&] { return around_.ready() || says("a list too long"); }, "it is ready");
    ready_wall_ = micros(Clock::now() - begin), ready_time_ = relay_->processor_time();
    return !says("a list too long");
  }
  Costs start_costs() const {
    return {{"ready, processor, us", ready_time_},
            {"ready, by the clock, us", ready_wall_},
            {"resident, bytes", static_cast<double>(relay_->status("VmRSS"))},
            {"resident at most, bytes", static_cast<double>(relay_->status("VmHWM"))}};
  }
  std::int64_t watch_bytes() const { return around_.watch_bytes(); }
  // Of one endpoint that changes in nothing but the version of the list, and of its bytes on the watch.
  Costs change_costs(const std::string& entry) {
    wait([&] { return around_.watches() > 0 && says("version 42,"); }, "it watches");
    settle();
    const double before = relay_->processor_time();
    double bytes = 0;
    for (std::int64_t i = 0; i < kChanges; i++) {
      const std::string list = list_of(entry, 43 + i, false);
      bytes = static_cast<double>(list.size());
      around_.tell(list);
      wait([&] { return says("version " + std::to_string(43 + i) + ","); }, "it has read a change");
      settle();
    }
    return {{"one change, us", (relay_->processor_time() - before) / kChanges},
            {"one change on the watch, bytes", bytes}};
  }
  // Of one message: so many handed in at once are delivered before the next are. To `destination`, and each
  // to one `step` further.
  double message_cost(std::int64_t destination, std::int64_t step, std::int64_t count = kDelivered,
                      std::int64_t at_once = 1) {
    settle();
    const double before = relay_->processor_time();
    for (std::int64_t i = 0; i < count; i++) {
      around_.hand_in(destination + i * step, set_.body_bytes);
      handed_in_++;
      if (handed_in_ % at_once != 0 && i + 1 < count) continue;
      wait([&] { return around_.refused() > 0 || all_done(); }, "a message is delivered");
      if (around_.refused() > 0) fail("it refused a message");
    }
    settle();
    return (relay_->processor_time() - before) / static_cast<double>(count);
  }
  // As calls find the connections: none kept but their own, some, and all that there may be.
  Costs message_costs(std::int64_t destinations) {
    Costs costs{{"message delivered, no other connection kept, us", message_cost(kServingDestination, 0)}};
    message_cost(kServingDestination + 1, 1, kOthersKept, kOthersKept);
    costs.emplace_back("message delivered, others kept, us", message_cost(kServingDestination, 0));
    const std::int64_t from = kServingDestination + kOthersKept + 1;
    if (from + kSockets / 2 + 2 * kDelivered > destinations) return costs;
    message_cost(from, 1, kSockets / 2, kOthersKept);
    costs.emplace_back("message delivered, connections full, us",
                       message_cost(from + kSockets / 2, 1, 2 * kDelivered, 4));
    return costs;
  }
  // Processor time of a second at this rate.
  double rate_cost(std::int64_t rate) {
    settle();
    const auto count = static_cast<std::int64_t>(kRateSeconds * static_cast<double>(rate));
    const double before = relay_->processor_time();
    const auto begin = Clock::now();
    for (std::int64_t i = 0; i < count; i++) {
      const auto due = begin + std::chrono::microseconds(1'000'000 * i / rate);
      around_.run_until([&] { return Clock::now() >= due; });
      around_.hand_in(i % destination_of(kFewEndpoints, set_.endpoints_per_destination), set_.body_bytes);
    }
    handed_in_ = count;
    wait([&] { return around_.refused() > 0 || all_done(); }, "all is delivered");
    if (around_.refused() > 0) fail("it refused a message");
    settle();
    return (relay_->processor_time() - before) / kRateSeconds;
  }
  std::string endpoint() const { return around_.endpoint(); }

 private:
  std::string config(const std::string& known) const {
    return R"({"name":"n0","listen":")" + around_.relay() + R"(","discovery":")" + around_.discovery() +
           R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":64,"disk_mb":900000,"sockets":)" +
           std::to_string(kSockets) + R"(},)" + R"("known":)" + known +
           R"(,"settings":{"Classes":[{"Name":")" + kClass +
           R"(","Points":1.0,"Target":1000000,"Deadline":3600000000,"Idempotency":"read_like"}],)"
           R"("FamilyInfo":{"Workers":64,"BundleMax":[1],"RoutesApart":[false],"Decay":"halves"},)"
           R"("HostTypes":["small"],"FailureDomains":["a"],"Locality":"a","Limits":{"OpenCap":100000000,)"
           R"("MaxAttempts":8,"Cancelling":true,"ConnIdle":60000000,"ConnectTimeout":1500000,)"
           R"("MaxRetryAfter":2000000},"Discovery":"subscribe","GroupSize":1,"Rules":{"AnswerSlack":20000,)"
           R"("DrainGrace":1000000,"MustAskIn":10000000},"Tick":5000}})";
  }
  bool says(const std::string& text) const { return relay_->log().find(text) != std::string::npos; }
  [[noreturn]] void fail(const std::string& what) const {
    const std::string log = relay_->log();
    throw std::runtime_error("relay: " + what + "; the end of its log:\n" +
                             log.substr(log.size() - std::min<std::size_t>(log.size(), 2000)));
  }
  template <class Condition>
  void wait(Condition condition, const std::string& what) {
    const auto until = Clock::now() + kPatience;
    around_.run_until([&] { return condition() || relay_->ended() || Clock::now() > until; });
    if (!condition()) fail("waited in vain until " + what);
  }
  bool all_done() const { return around_.delivered() >= handed_in_ && around_.answered() >= handed_in_; }
  // Until it does nothing: what an event started comes in a round of its own, a little later.
  void settle() {
    const auto until = Clock::now() + kPatience;
    double seen = relay_->processor_time();
    for (int quiet = 0; quiet < 2;) {
      if (Clock::now() > until) fail("it does not come to rest");
      around_.run_for(kQuietLook);
      const double now = relay_->processor_time();
      quiet = now - seen < kQuiet ? quiet + 1 : 0;
      seen = now;
    }
  }

  const SlopesSettings& set_;
  ScratchFolder folder_;
  StandIns around_;
  std::optional<RelayProcess> relay_;
  double ready_time_ = 0, ready_wall_ = 0;
  std::int64_t handed_in_ = 0;
};

Costs joined(Costs all, const Costs& more) {
  all.insert(all.end(), more.begin(), more.end());
  return all;
}

}  // namespace

void relay_slopes(Slopes& out) {
  const auto& set = out.set;
  const std::string nothing = list_of("", 41, true), nothing_new = list_of("", 42, false);
  for (const auto n : set.endpoints)
    out.add_medians(kEndpoints, n, [&] {
      Trial trial(set);
      trial.start(catalogue(n, set.endpoints_per_destination, trial.endpoint()), nothing_new);
      return joined(joined(trial.start_costs(), trial.change_costs(entry(0, 0, trial.endpoint()))),
                    trial.message_costs(destination_of(n, set.endpoints_per_destination)));
    });
  for (const auto n : set.watched) {
    bool too_long = false;
    out.add_medians(kWatched, n, [&]() -> Costs {
      Trial trial(set);
      const std::string list = catalogue(n, set.endpoints_per_destination, trial.endpoint(), 42);
      if (trial.start(nothing, list))
        return joined(trial.start_costs(),
                      {{"on the watch, bytes", static_cast<double>(trial.watch_bytes())}});
      if (!std::exchange(too_long, true))
        out.tell("not ready, a list too long, bytes", kWatched, n, static_cast<double>(list.size()));
      return {};
    });
  }
  for (const auto n : set.messages)
    out.add_medians(kMessages, n, [&] {
      Trial trial(set);
      trial.hold(n);
      trial.start(list_of(entry(0, kDrainingDestination, trial.endpoint(), "draining") + "," +
                              entry(1, kServingDestination, trial.endpoint()),
                          41, true),
                  nothing_new);
      return joined(trial.start_costs(),
                    {{"message delivered, us", trial.message_cost(kServingDestination, 0)}});
    });
  for (const auto n : set.rates)
    out.add_medians(kRate, n, [&]() -> Costs {
      Trial trial(set);
      trial.start(catalogue(kFewEndpoints, set.endpoints_per_destination, trial.endpoint()), nothing_new);
      return {{"a second of it, processor, us", trial.rate_cost(n)}};
    });
  out.reach("ready, processor, us", kEndpoints, set.asked_restart_s * 1e6);
  out.reach("message delivered, connections full, us", kEndpoints, 1e6 / set.asked_messages_per_s);
  out.reach("resident, bytes", kEndpoints, set.asked_memory_bytes);
  out.reach("ready, processor, us", kMessages, set.asked_restart_s * 1e6);
  out.reach("message delivered, us", kMessages, 1e6 / set.asked_messages_per_s);
  out.reach("resident, bytes", kMessages, set.asked_memory_bytes);
  out.reach("a second of it, processor, us", kRate, 1e6);
}

}  // namespace scale_tool
