// One run of the relay's program among its peers, whose costs are measured.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "relay_peers.hpp"
#include "relay_process.hpp"
#include "resource_meters.hpp"
#include "slopes.hpp"

namespace scale_tool {

// Held messages are for the draining destination: nobody may be sent them.
constexpr std::int64_t kDrainingDestination = 0;
constexpr std::int64_t kServingDestination = 1;
// Listed where their number is not what is varied.
constexpr std::int64_t kFewEndpoints = 1000;

enum class StartResult { ready, list_too_long };

// A relay and its peers from its start on. What is measured is the processor time of all its threads.
// All throw std::runtime_error with the end of the relay's log where it does not do what is waited for.
class RelayTrial {
 public:
  // The settings must outlive this.
  explicit RelayTrial(const SlopesSettings& settings) : settings_(settings) {}

  // Writes so many messages into the journal that the relay will recover.
  void fill_journal(std::int64_t messages);
  // Starts the relay with a cached list in its configuration; discovery gives it the other one.
  [[nodiscard]] StartResult start(const std::string& cached_list, const std::string& discovery_list);

  // All endpoints in the lists have this address.
  [[nodiscard]] std::string endpoint_address() const { return peers_.endpoint_address(); }
  [[nodiscard]] std::int64_t watch_bytes() const { return peers_.watch_bytes(); }

  // Of the start.
  [[nodiscard]] Costs start_costs() const;
  // Of a change of the list that repeats the entry of one endpoint, and its bytes on the watch.
  [[nodiscard]] Costs list_change_costs(const std::string& entry);
  // Of one message to the serving destination, whose connection is kept.
  [[nodiscard]] double delivery_cost();
  // Of one message as it finds the connections: no other one kept, some, and as many as there may be. The
  // last only where there are destinations enough.
  [[nodiscard]] Costs delivery_costs(std::int64_t destinations);
  // Of one second at this rate of messages.
  [[nodiscard]] double cost_per_second(std::int64_t messages_per_second);

 private:
  using Clock = std::chrono::steady_clock;

  // Messages to a destination, or each to the next one.
  struct Deliveries {
    std::int64_t first_destination = 0;
    std::int64_t step = 0;
    std::int64_t count = 0;
    std::int64_t batch_size = 1;  // so many at once are delivered before the next are submitted
  };
  double delivery_cost(const Deliveries& deliveries);
  void submit(std::int64_t destination);
  void wait_for_deliveries(const std::string& what);

  [[nodiscard]] std::string config(const std::string& cached_list) const;
  [[nodiscard]] bool log_contains(const std::string& text) const;
  [[nodiscard]] bool has_delivered_all() const;
  // Until the condition holds; `what` completes "waited in vain until ...".
  void wait_until(const std::function<bool()>& condition, const std::string& what);
  // Until the relay does nothing: the work on an event goes on a little after its effect is seen.
  void wait_until_idle();
  [[noreturn]] void fail(const std::string& what) const;

  const SlopesSettings& settings_;
  TemporaryDirectory folder_;
  RelayPeers peers_;
  std::optional<RelayProcess> relay_;
  double start_cpu_time_ = 0;   // microseconds
  double start_wall_time_ = 0;  // microseconds
  std::int64_t submitted_ = 0;
};

}  // namespace scale_tool
