// Fleets of relay processes on loopback sockets, whose destinations have an outage and return in slow start.
#include <array>
#include <cmath>
#include <deque>
#include <iostream>
#include <random>
#include <set>

#include "relay_harness.hpp"
#include "relay_process.hpp"
#include "resource_meters.hpp"

namespace message_relay::testing {
namespace {

using Clock = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;

constexpr int kRelayCount = 48;
constexpr std::size_t kRelaysPerSeed = 1000;  // keeps the seeds of all relays apart
constexpr std::size_t kDestinationCount = 6;
constexpr double kRateLimit = 5;  // calls per second of each destination, over all relays
constexpr double kCapacity = 1.2 * kRateLimit;
constexpr double kMessagesPerSecond = 0.9 * kRateLimit;  // for each destination
constexpr double kChargeFraction = 0.23;                 // of the messages; the others may be repeated
constexpr double kSlowStartCapacityFraction = 0.19;
constexpr double kOverloadMultiple = 2;
constexpr Seconds kOverloadDuration{1.5};
constexpr Seconds kSlowStartDuration{6};
constexpr Seconds kWarmUp{4};
constexpr Seconds kOutageDuration{10};

// How the destinations answer during the outage.
enum class Symptom { shut, failing, hung };

struct Scenario {
  Symptom symptom = Symptom::shut;
  bool restarts_relays = false;  // half of the relays are killed during the outage and start again at its end
  unsigned seed = 1;
};

// Calls that a recovering destination withstands within kOverloadDuration, by the rule that the platform
// applies. `expected` is the number that the settings allow.
double slow_start_budget(double expected) {
  return expected < 30 ? expected + 3 * std::sqrt(expected) + 3 : expected + 2 * std::sqrt(expected) + 2;
}

// The calls that one destination received.
struct DestinationRecord {
  struct RecentCall {
    Clock::time_point at;
    bool from_notified_relay = false;
  };
  std::set<std::size_t> notified_relays;  // that observed a failed or rejected call during the outage
  std::deque<RecentCall> recent_calls;    // of the last kOverloadDuration, since the outage
  double max_budget_use =
      0;  // of the windows in which over two thirds of the calls came from notified relays
};

// The relay processes, each with endpoints and a platform of its own.
class RelayFleet {
 public:
  explicit RelayFleet(const Scenario& scenario) : scenario_(scenario), random_(scenario.seed) {
    for (std::size_t i = 0; i < kRelayCount; i++) {
      endpoints_.push_back(std::make_unique<FakeServer>(
          io_, [this, i](const ReceivedRequest& incoming) { handle_call(i, incoming); }));
      platforms_.push_back(std::make_unique<FakeServer>(
          io_, [this, i](const ReceivedRequest& incoming) { handle_platform_request(i, incoming); }));
      ports_.push_back(free_port());
      directories_.push_back(std::make_unique<scale_tool::TemporaryDirectory>());
      relays_.push_back(start_relay(i));
    }
  }
  // Plays the scenario and returns the highest use of a budget by notified relays.
  double run() {
    for (std::size_t i = 0; i < kRelayCount; i++)
      while (!try_connect(i)) run_for(Seconds(0.02));
    run_traffic(kWarmUp);
    is_out_ = true;
    outage_end_ = Clock::now() + std::chrono::duration_cast<Clock::duration>(kOutageDuration);
    run_traffic(kOutageDuration - kRestartDuration);
    if (scenario_.restarts_relays)
      for (std::size_t i = 0; i < kRelayCount; i += 2) relays_[i].reset();
    run_traffic(kRestartDuration);
    if (scenario_.restarts_relays)
      for (std::size_t i = 0; i < kRelayCount; i += 2) relays_[i] = start_relay(i);
    is_out_ = false;
    has_returned_ = true;
    outage_end_ = Clock::now();
    run_traffic(kSlowStartDuration);
    double use = 0;
    for (const DestinationRecord& destination : destinations_)
      use = std::max(use, destination.max_budget_use);
    return use;
  }
  // Calls that were served in slow start, as a fraction of what the destinations could serve of the traffic.
  double served_fraction() const {
    double servable = 0;
    constexpr double step = 0.1;
    for (double at = 0; at < kSlowStartDuration.count(); at += step)
      servable += step * kDestinationCount * std::min(kMessagesPerSecond, capacity(Seconds(at)));
    return served_ / servable;
  }

 private:
  static constexpr Seconds kRestartDuration{0.6};

  std::uint16_t free_port() {
    port_reservations_.push_back(reserve_port(io_));
    return port_reservations_.back().local_endpoint().port();
  }
  std::string endpoint_list(std::size_t relay) const {
    std::string entries;
    for (std::size_t i = 0; i < kDestinationCount; i++)
      entries += (i > 0 ? "," : "") + std::string(R"({"name":"s-)") + std::to_string(i) + R"(","address":")" +
                 endpoints_[relay]->address() + R"(","zone":"a","type":"small","group":)" +
                 std::to_string(i) + R"(,"status":"ready","weight":5,"since_ms":0})";
    return R"({"index":41,"snapshot":true,"endpoints":[)" + entries + "]}";
  }
  std::string config(std::size_t relay) const {
    return R"({"name":"n)" + std::to_string(relay) + R"(","listen":")" + loopback_address() + ":" +
           std::to_string(ports_[relay]) + R"(","discovery":")" + platforms_[relay]->address() +
           R"(","seed":")" + std::to_string(kRelaysPerSeed * scenario_.seed + relay) +
           R"(","limits":{"cores":1.0,"memory_mb":192,"sockets":256,"disk_mb":3},"known":)" +
           endpoint_list(relay) +
           R"(,"settings":{"Classes":[{"Name":"status","Points":1.0,"Target":1500000,"Deadline":8000000,)"
           R"("LateWorth":0.1,"Idempotency":"read_like"},{"Name":"charge","Points":3.0,"Target":2000000,)"
           R"("Deadline":16000000,"LateWorth":0.5,"Idempotency":"non_idempotent"}],"FamilyInfo":{"Workers":16,"BundleMax":[1],)"
           R"("RoutesApart":[false],"Decay":"line"},"HostTypes":["small"],"FailureDomains":["a"],)"
           R"("Locality":"a","Limits":{"OpenCap":320,"MaxAttempts":6,"Cancelling":true,"ConnIdle":5000000,)"
           R"("ConnectTimeout":1000000,"MaxRetryAfter":3000000},"Discovery":"automatic","WeightKind":"rough",)"
           R"("Report":{"Fields":["x0","x1"],"How":"answers"},"GroupSize":)" +
           std::to_string(kRelayCount) +
           R"(,"Rules":{"AnswerSlack":20000,"DrainGrace":2000000,"MustAskIn":10000000,"FallMultiple":2.0,)"
           R"("OverloadFor":1500000,"ColdFrom":0.19,"Cold":6000000},"Tick":5000}})";
  }
  std::unique_ptr<scale_tool::RelayProcess> start_relay(std::size_t relay) const {
    return std::make_unique<scale_tool::RelayProcess>(MESSAGE_RELAY_PROGRAM, directories_[relay]->path(),
                                                      config(relay));
  }

  void run_for(Seconds duration) {
    io_.restart();
    io_.run_for(std::chrono::duration_cast<std::chrono::microseconds>(duration));
  }
  // Submits messages at random intervals, each for a random destination to a random relay.
  void run_traffic(Seconds duration) {
    const auto until = Clock::now() + duration;
    std::exponential_distribution<double> interval(kMessagesPerSecond * kDestinationCount);
    std::uniform_int_distribution<std::size_t> relay(0, kRelayCount - 1);
    for (auto next = Clock::now() + Seconds(interval(random_)); next < until;
         next += Seconds(interval(random_))) {
      run_for(next - Clock::now());
      submit(relay(random_));
    }
    run_for(until - Clock::now());
  }
  std::shared_ptr<Client> try_connect(std::size_t relay) {
    tcp::socket socket(io_);
    error_code error;
    socket.connect({net::ip::make_address(loopback_address()), ports_[relay]}, error);
    return error ? nullptr : std::make_shared<Client>(std::move(socket));
  }
  // A message for a relay that is down goes to the next one.
  void submit(std::size_t relay) {
    std::uniform_int_distribution<std::size_t> destination(0, kDestinationCount - 1);
    auto client = try_connect(relay);
    for (std::size_t i = 1; !client && i < kRelayCount; i++) client = try_connect((relay + i) % kRelayCount);
    if (!client) return;
    const std::string to = std::to_string(destination(random_));
    const bool is_charge = std::bernoulli_distribution(kChargeFraction)(random_);
    const std::string message_class = is_charge ? "charge" : "status";
    client->write("POST /" + message_class + " HTTP/1.1\r\nHost: x\r\nX-Request-Id: d" + to + "-" +
                  std::to_string(submitted_++) + "\r\nX-Class: " + message_class +
                  "\r\nX-Deadline: " + (is_charge ? "16000m" : "8000m") + "\r\nX-Consignee: dest=" + to +
                  "\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi");
    client->read();
  }

  void handle_platform_request(std::size_t relay, const ReceivedRequest& incoming) {
    if (incoming.request.method() == http::verb::post) return incoming.session->respond(204);
    const std::string line = endpoint_list(relay) + "\n";
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", line.size());
    incoming.session->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                            std::string(size.data()) + line + "\r\n");
  }
  void handle_call(std::size_t relay, const ReceivedRequest& incoming) {
    const std::string id(incoming.request["X-Request-Id"]);
    DestinationRecord& destination = destinations_.at(static_cast<std::size_t>(id.at(1) - '0'));
    if (is_out_) return handle_call_in_outage(relay, destination, incoming);
    if (has_returned_) {
      record_call(relay, destination);
      served_++;
    }
    incoming.session->respond(200, "X-Load: x0=0.6,x1=5\r\n");
  }
  void handle_call_in_outage(std::size_t relay, DestinationRecord& destination,
                             const ReceivedRequest& incoming) {
    destination.notified_relays.insert(relay);
    if (scenario_.symptom == Symptom::hung) return;
    if (scenario_.symptom == Symptom::failing) return incoming.session->respond(500);
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(outage_end_ - Clock::now());
    const auto index = static_cast<double>(&destination - destinations_.data());
    const bool tells_wait = std::bernoulli_distribution((index + 0.5) / kDestinationCount)(random_);
    if (tells_wait)
      incoming.session->respond(
          429, "X-Load: x0=1,x1=5\r\nX-Come-Back-Ms: " + std::to_string(wait.count()) + "\r\n");
    else
      incoming.session->respond(503, "X-Load: x0=1,x1=5\r\n");
  }
  static double capacity(Seconds since_return) {
    const double progress = std::min(1.0, since_return / kSlowStartDuration);
    return kCapacity * (kSlowStartCapacityFraction + (1 - kSlowStartCapacityFraction) * progress);
  }
  void record_call(std::size_t relay, DestinationRecord& destination) {
    const auto now = Clock::now();
    auto& calls = destination.recent_calls;
    calls.push_back({now, destination.notified_relays.contains(relay)});
    while (calls.front().at <= now - kOverloadDuration) calls.pop_front();
    const auto notified =
        std::count_if(calls.begin(), calls.end(), [](const auto& call) { return call.from_notified_relay; });
    if (static_cast<double>(notified) <= static_cast<double>(calls.size()) * 2 / 3) return;
    const double expected = kOverloadMultiple * capacity(now - outage_end_) * kOverloadDuration.count();
    destination.max_budget_use =
        std::max(destination.max_budget_use, static_cast<double>(calls.size()) / slow_start_budget(expected));
  }

  const Scenario scenario_;
  net::io_context io_{1};
  std::mt19937 random_;
  std::vector<std::unique_ptr<FakeServer>> endpoints_;
  std::vector<std::unique_ptr<FakeServer>> platforms_;
  std::vector<tcp::socket> port_reservations_;
  std::vector<std::uint16_t> ports_;
  std::vector<std::unique_ptr<scale_tool::TemporaryDirectory>> directories_;
  std::vector<std::unique_ptr<scale_tool::RelayProcess>> relays_;
  std::array<DestinationRecord, kDestinationCount> destinations_;
  bool is_out_ = false;
  bool has_returned_ = false;
  Clock::time_point outage_end_;
  double served_ = 0;
  int submitted_ = 0;
};

// Set to play other seeds by hand.
unsigned first_seed() {
  const char* const text = std::getenv("MESSAGE_RELAY_TEST_SEED");
  return text == nullptr ? 1 : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
}

void expect_within_budget(Scenario scenario) {
  scenario.seed = first_seed();
  RelayFleet fleet(scenario);
  const double budget_use = fleet.run();
  EXPECT_LE(budget_use, 1) << "of the calls that a destination withstands; seed " << scenario.seed;
  std::cout << "budget use " << budget_use << ", served " << fleet.served_fraction() << "\n";
}

TEST(SlowStartOfProcesses, RelaysRejectedByAShutDestinationDoNotOverloadIt) {
  expect_within_budget({.symptom = Symptom::shut});
}
TEST(SlowStartOfProcesses, RelaysThatObservedErrorsDoNotOverloadTheDestination) {
  expect_within_budget({.symptom = Symptom::failing});
}
TEST(SlowStartOfProcesses, RelaysThatGotNoAnswerDoNotOverloadTheDestination) {
  expect_within_budget({.symptom = Symptom::hung});
}
TEST(SlowStartOfProcesses, RelaysKilledDuringTheOutageDoNotOverloadTheDestination) {
  expect_within_budget({.symptom = Symptom::shut, .restarts_relays = true});
}

}  // namespace
}  // namespace message_relay::testing
