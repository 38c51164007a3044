#include "relay_trial.hpp"

#include <algorithm>
#include <filesystem>
#include <stdexcept>

#include "endpoint_catalogue.hpp"
#include "sample_message.hpp"
#include "units.hpp"

namespace scale_tool {
namespace {

constexpr auto kWaitTimeout = std::chrono::seconds(120);
constexpr auto kIdleCheckInterval = std::chrono::milliseconds(20);
constexpr double kMaxIdleCpuMicroseconds = 300;  // of processor time between two checks
constexpr int kRequiredIdleChecks = 2;           // consecutive checks that must find the relay idle
constexpr std::int64_t kMessagesPerCommit = 64;
constexpr std::int64_t kListChangeCount = 3;
constexpr std::int64_t kDeliveryCount = 10;
constexpr std::int64_t kOtherConnectionCount = 8;
constexpr std::int64_t kMaxSockets = 512;  // socket limit of the relay
// The relay uses at most half of its sockets for calls.
constexpr std::int64_t kMaxCallConnections = kMaxSockets / 2;
constexpr std::int64_t kBatchSizeWithAllConnections = 4;
constexpr double kRateDurationSeconds = 1;
constexpr std::size_t kMaxLogBytesInError = 2000;
constexpr const char* kListTooLongLogText = "a list too long";

double to_microseconds(std::chrono::steady_clock::duration duration) {
  return std::chrono::duration<double, std::micro>(duration).count();
}

}  // namespace

void RelayTrial::fill_journal(std::int64_t messages) {
  const std::string relay_state = RelayProcess::state_directory(directory_.path());
  std::filesystem::create_directories(relay_state);
  message_relay::Journal journal(relay_state, kUnlimitedBytes);
  for (std::int64_t i = 1; i <= messages; i++) {
    const auto id = static_cast<message_relay::MessageId>(i);
    journal.record_message(id, sample_message(id, kDrainingDestination, settings_.body_bytes));
    if (i % kMessagesPerCommit == 0 || i == messages) journal.commit();
  }
}

StartResult RelayTrial::start(const std::string& cached_list, const std::string& discovery_list) {
  peers_.set_initial_list(discovery_list);
  const auto begin = Clock::now();
  relay_.emplace(settings_.relay_program, directory_.path(), relay_configuration(cached_list));
  wait_until([&] { return peers_.is_relay_ready() || log_contains(kListTooLongLogText); }, "to be ready");
  start_wall_time_ = to_microseconds(Clock::now() - begin);
  start_cpu_time_ = relay_->cpu_time();
  return log_contains(kListTooLongLogText) ? StartResult::list_too_long : StartResult::ready;
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
  wait_until([&] { return peers_.watch_count() > 0 && log_contains(version_text(version)); },
             "to watch the endpoint list");
  wait_until_idle();
  const double cpu_time_before = relay_->cpu_time();
  std::size_t bytes = 0;
  for (std::int64_t i = 0; i < kListChangeCount; i++) {
    version++;
    const std::string list = endpoint_list(entry, version, ListForm::update);
    bytes = list.size();
    peers_.publish(list);
    wait_until([&] { return log_contains(version_text(version)); },
               "to have read an update of the endpoint list");
    wait_until_idle();
  }
  return {{"one change, us", (relay_->cpu_time() - cpu_time_before) / kListChangeCount},
          {"one change on the watch, bytes", static_cast<double>(bytes)}};
}

double RelayTrial::cpu_time_per_delivery() {
  return cpu_time_per_delivery({.first_destination = kServingDestination, .count = kDeliveryCount});
}

double RelayTrial::cpu_time_per_delivery(const Deliveries& deliveries) {
  wait_until_idle();
  const double cpu_time_before = relay_->cpu_time();
  for (std::int64_t i = 0; i < deliveries.count; i++) {
    submit(deliveries.first_destination + i * deliveries.step);
    const bool is_batch_full = submitted_count_ % deliveries.batch_size == 0 || i + 1 == deliveries.count;
    if (is_batch_full) wait_for_deliveries("to deliver a batch of messages");
  }
  wait_until_idle();
  return (relay_->cpu_time() - cpu_time_before) / static_cast<double>(deliveries.count);
}

Costs RelayTrial::delivery_costs(std::int64_t destinations) {
  Costs costs{{"message delivered, no other connection kept, us", cpu_time_per_delivery()}};
  cpu_time_per_delivery({.first_destination = kServingDestination + 1,
                         .step = 1,
                         .count = kOtherConnectionCount,
                         .batch_size = kOtherConnectionCount});
  costs.push_back({"message delivered, others kept, us", cpu_time_per_delivery()});
  const std::int64_t first_unused_destination = kServingDestination + kOtherConnectionCount + 1;
  if (first_unused_destination + kMaxCallConnections + 2 * kDeliveryCount > destinations) return costs;
  cpu_time_per_delivery({.first_destination = first_unused_destination,
                         .step = 1,
                         .count = kMaxCallConnections,
                         .batch_size = kOtherConnectionCount});
  const double cost =
      cpu_time_per_delivery({.first_destination = first_unused_destination + kMaxCallConnections,
                             .step = 1,
                             .count = 2 * kDeliveryCount,
                             .batch_size = kBatchSizeWithAllConnections});
  costs.push_back({"message delivered, connections full, us", cost});
  return costs;
}

double RelayTrial::cpu_time_per_second(std::int64_t messages_per_second) {
  wait_until_idle();
  const auto message_count =
      static_cast<std::int64_t>(kRateDurationSeconds * static_cast<double>(messages_per_second));
  const std::int64_t destinations =
      destination_of(kDefaultEndpointCount, settings_.endpoints_per_destination);
  const double cpu_time_before = relay_->cpu_time();
  const auto begin = Clock::now();
  for (std::int64_t i = 0; i < message_count; i++) {
    const auto submission_time = begin + std::chrono::microseconds(1'000'000 * i / messages_per_second);
    peers_.run_until([&] { return Clock::now() >= submission_time; });
    submit(i % destinations);
  }
  wait_for_deliveries("to deliver all messages");
  wait_until_idle();
  return (relay_->cpu_time() - cpu_time_before) / kRateDurationSeconds;
}

void RelayTrial::submit(std::int64_t destination) {
  peers_.submit_message(destination, settings_.body_bytes);
  submitted_count_++;
}

void RelayTrial::wait_for_deliveries(const std::string& expectation) {
  wait_until([&] { return peers_.rejected_count() > 0 || are_all_delivered(); }, expectation);
  if (peers_.rejected_count() > 0) fail("a message was rejected or its connection failed");
}

bool RelayTrial::are_all_delivered() const {
  return peers_.delivered_count() >= submitted_count_ && peers_.accepted_count() >= submitted_count_;
}

std::string RelayTrial::relay_configuration(const std::string& cached_list) const {
  return R"({"name":"n0","listen":")" + peers_.relay_address() + R"(","discovery":")" +
         peers_.discovery_address() +
         R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":2000,"disk_mb":900000,"sockets":)" +
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

void RelayTrial::wait_until(const std::function<bool()>& condition, const std::string& expectation) {
  const auto deadline = Clock::now() + kWaitTimeout;
  peers_.run_until([&] { return condition() || relay_->has_exited() || Clock::now() > deadline; });
  if (!condition()) fail("expected it " + expectation + ", but it exited or timed out");
}

void RelayTrial::wait_until_idle() {
  const auto deadline = Clock::now() + kWaitTimeout;
  double last_cpu_time = relay_->cpu_time();
  for (int idle_checks = 0; idle_checks < kRequiredIdleChecks;) {
    if (Clock::now() > deadline) fail("expected to become idle, but it kept using processor time");
    peers_.run_for(kIdleCheckInterval);
    const double cpu_time = relay_->cpu_time();
    idle_checks = cpu_time - last_cpu_time < kMaxIdleCpuMicroseconds ? idle_checks + 1 : 0;
    last_cpu_time = cpu_time;
  }
}

void RelayTrial::fail(const std::string& problem) const {
  const std::string log = relay_->log();
  const std::size_t shown_bytes = std::min(log.size(), kMaxLogBytesInError);
  throw std::runtime_error("relay: " + problem + "; end of its log:\n" +
                           log.substr(log.size() - shown_bytes));
}

}  // namespace scale_tool
