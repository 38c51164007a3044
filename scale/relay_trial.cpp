#include "relay_trial.hpp"

#include <algorithm>
#include <filesystem>
#include <stdexcept>

#include "endpoint_catalogue.hpp"
#include "sample_message.hpp"
#include "units.hpp"

namespace scale_tool {
namespace {

constexpr auto kTimeout = std::chrono::seconds(120);
constexpr auto kIdleCheckInterval = std::chrono::milliseconds(20);
constexpr double kMaxIdleCpuTime = 300;  // microseconds between two checks
constexpr int kIdleChecks = 2;           // that must find the relay idle, one after the other
constexpr std::int64_t kMessagesPerCommit = 64;
constexpr std::int64_t kListChanges = 3;
constexpr std::int64_t kDeliveries = 10;
constexpr std::int64_t kOtherConnections = 8;
constexpr std::int64_t kMaxSockets = 512;                  // of the relay
constexpr std::int64_t kMaxConnections = kMaxSockets / 2;  // at most so many sockets are for calls
constexpr std::int64_t kBatchWhenFull = 4;
constexpr double kRateSeconds = 1;
constexpr std::size_t kMaxLogInError = 2000;
constexpr const char* kListTooLong = "a list too long";

double to_microseconds(std::chrono::steady_clock::duration duration) {
  return std::chrono::duration<double, std::micro>(duration).count();
}

}  // namespace

void RelayTrial::fill_journal(std::int64_t messages) {
  const std::string state_folder = RelayProcess::state_folder(folder_.path());
  std::filesystem::create_directories(state_folder);
  message_relay::Journal journal(state_folder, kUnlimitedBytes);
  for (std::int64_t i = 1; i <= messages; i++) {
    const auto id = static_cast<message_relay::MessageId>(i);
    journal.record_message(id, sample_message(id, kDrainingDestination, settings_.body_bytes));
    if (i % kMessagesPerCommit == 0 || i == messages) journal.commit();
  }
}

StartResult RelayTrial::start(const std::string& cached_list, const std::string& discovery_list) {
  peers_.set_initial_list(discovery_list);
  const auto begin = Clock::now();
  relay_.emplace(settings_.relay_program, folder_.path(), config(cached_list));
  wait_until([&] { return peers_.is_relay_ready() || log_contains(kListTooLong); }, "it is ready");
  start_wall_time_ = to_microseconds(Clock::now() - begin);
  start_cpu_time_ = relay_->cpu_time();
  return log_contains(kListTooLong) ? StartResult::list_too_long : StartResult::ready;
}

Costs RelayTrial::start_costs() const {
  return {{"ready, processor, us", start_cpu_time_},
          {"ready, by the clock, us", start_wall_time_},
          {"resident, bytes", static_cast<double>(relay_->memory_bytes(MemoryField::resident))},
          {"resident at most, bytes", static_cast<double>(relay_->memory_bytes(MemoryField::peak_resident))}};
}

Costs RelayTrial::list_change_costs(const std::string& entry) {
  const auto version_text = [](std::int64_t version) { return "version " + std::to_string(version) + ","; };
  std::int64_t version = kFirstListVersion + 1;
  wait_until([&] { return peers_.watch_count() > 0 && log_contains(version_text(version)); }, "it watches");
  wait_until_idle();
  const double cpu_time_before = relay_->cpu_time();
  std::size_t bytes = 0;
  for (std::int64_t i = 0; i < kListChanges; i++) {
    version++;
    const std::string list = endpoint_list(entry, version, ListForm::update);
    bytes = list.size();
    peers_.publish(list);
    wait_until([&] { return log_contains(version_text(version)); }, "it has read a change");
    wait_until_idle();
  }
  return {{"one change, us", (relay_->cpu_time() - cpu_time_before) / kListChanges},
          {"one change on the watch, bytes", static_cast<double>(bytes)}};
}

double RelayTrial::delivery_cost() {
  return delivery_cost({.first_destination = kServingDestination, .count = kDeliveries});
}

double RelayTrial::delivery_cost(const Deliveries& deliveries) {
  wait_until_idle();
  const double cpu_time_before = relay_->cpu_time();
  for (std::int64_t i = 0; i < deliveries.count; i++) {
    submit(deliveries.first_destination + i * deliveries.step);
    const bool is_batch_full = submitted_ % deliveries.batch_size == 0 || i + 1 == deliveries.count;
    if (is_batch_full) wait_for_deliveries("a message is delivered");
  }
  wait_until_idle();
  return (relay_->cpu_time() - cpu_time_before) / static_cast<double>(deliveries.count);
}

Costs RelayTrial::delivery_costs(std::int64_t destinations) {
  Costs costs{{"message delivered, no other connection kept, us", delivery_cost()}};
  delivery_cost({.first_destination = kServingDestination + 1,
                 .step = 1,
                 .count = kOtherConnections,
                 .batch_size = kOtherConnections});
  costs.push_back({"message delivered, others kept, us", delivery_cost()});
  const std::int64_t unused_destination = kServingDestination + kOtherConnections + 1;
  if (unused_destination + kMaxConnections + 2 * kDeliveries > destinations) return costs;
  delivery_cost({.first_destination = unused_destination,
                 .step = 1,
                 .count = kMaxConnections,
                 .batch_size = kOtherConnections});
  const double cost = delivery_cost({.first_destination = unused_destination + kMaxConnections,
                                     .step = 1,
                                     .count = 2 * kDeliveries,
                                     .batch_size = kBatchWhenFull});
  costs.push_back({"message delivered, connections full, us", cost});
  return costs;
}

double RelayTrial::cost_per_second(std::int64_t messages_per_second) {
  wait_until_idle();
  const auto count = static_cast<std::int64_t>(kRateSeconds * static_cast<double>(messages_per_second));
  const std::int64_t destinations = destination_of(kFewEndpoints, settings_.endpoints_per_destination);
  const double cpu_time_before = relay_->cpu_time();
  const auto begin = Clock::now();
  for (std::int64_t i = 0; i < count; i++) {
    const auto due = begin + std::chrono::microseconds(1'000'000 * i / messages_per_second);
    peers_.run_until([&] { return Clock::now() >= due; });
    submit(i % destinations);
  }
  wait_for_deliveries("all is delivered");
  wait_until_idle();
  return (relay_->cpu_time() - cpu_time_before) / kRateSeconds;
}

void RelayTrial::submit(std::int64_t destination) {
  peers_.submit_message(destination, settings_.body_bytes);
  submitted_++;
}

void RelayTrial::wait_for_deliveries(const std::string& what) {
  wait_until([&] { return peers_.rejected() > 0 || has_delivered_all(); }, what);
  if (peers_.rejected() > 0) fail("it refused a message");
}

bool RelayTrial::has_delivered_all() const {
  return peers_.delivered() >= submitted_ && peers_.accepted() >= submitted_;
}

std::string RelayTrial::config(const std::string& cached_list) const {
  return R"({"name":"n0","listen":")" + peers_.relay_address() + R"(","discovery":")" +
         peers_.discovery_address() +
         R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":64,"disk_mb":900000,"sockets":)" +
         std::to_string(kMaxSockets) + R"(},)" + R"("known":)" + cached_list +
         R"(,"settings":{"Classes":[{"Name":")" + kMessageClass +
         R"(","Points":1.0,"Target":1000000,"Deadline":3600000000,"Idempotency":"read_like"}],)"
         R"("FamilyInfo":{"Workers":64,"BundleMax":[1],"RoutesApart":[false],"Decay":"halves"},)"
         R"("HostTypes":["small"],"FailureDomains":["a"],"Locality":"a","Limits":{"OpenCap":100000000,)"
         R"("MaxAttempts":8,"Cancelling":true,"ConnIdle":60000000,"ConnectTimeout":1500000,)"
         R"("MaxRetryAfter":2000000},"Discovery":"subscribe","GroupSize":1,"Rules":{"AnswerSlack":20000,)"
         R"("DrainGrace":1000000,"MustAskIn":10000000},"Tick":5000}})";
}

bool RelayTrial::log_contains(const std::string& text) const {
  return relay_->log().find(text) != std::string::npos;
}

void RelayTrial::wait_until(const std::function<bool()>& condition, const std::string& what) {
  const auto deadline = Clock::now() + kTimeout;
  peers_.run_until([&] { return condition() || relay_->has_ended() || Clock::now() > deadline; });
  if (!condition()) fail("waited in vain until " + what);
}

void RelayTrial::wait_until_idle() {
  const auto deadline = Clock::now() + kTimeout;
  double last_cpu_time = relay_->cpu_time();
  for (int idle_checks = 0; idle_checks < kIdleChecks;) {
    if (Clock::now() > deadline) fail("it does not come to rest");
    peers_.run_for(kIdleCheckInterval);
    const double cpu_time = relay_->cpu_time();
    idle_checks = cpu_time - last_cpu_time < kMaxIdleCpuTime ? idle_checks + 1 : 0;
    last_cpu_time = cpu_time;
  }
}

void RelayTrial::fail(const std::string& what) const {
  const std::string log = relay_->log();
  const std::size_t shown = std::min(log.size(), kMaxLogInError);
  throw std::runtime_error("relay: " + what + "; the end of its log:\n" + log.substr(log.size() - shown));
}

}  // namespace scale_tool
