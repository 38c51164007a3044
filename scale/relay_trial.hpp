// One run of the relay process with simulated peers, during which its costs are measured.
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

// The only endpoint of this destination is draining, so that messages to it stay held.
constexpr std::int64_t kDrainingDestination = 0;
// The destination of measured deliveries; its endpoint is ready.
constexpr std::int64_t kServingDestination = 1;
// Number of listed endpoints in measurements that don't vary it.
constexpr std::int64_t kDefaultEndpointCount = 1000;

// How the start of a relay ended: it reported that it is ready, or logged that the endpoint list exceeds its
// size limit.
enum class StartResult { ready, list_too_long };

// A relay process and its peers. Unless stated otherwise, times are the processor time of all threads of the
// relay, in microseconds. Functions that wait for the relay throw std::runtime_error with the end of the
// relay's log if it exits or does not respond in time.
class RelayTrial {
 public:
  // The settings must outlive this.
  explicit RelayTrial(const SlopesSettings& settings) : settings_(settings) {}

  // Writes this many messages to the draining destination into the journal. The relay recovers them when it
  // starts, so call this before start().
  void fill_journal(std::int64_t messages);
  // Starts the relay with a cached endpoint list in its configuration and waits until it is ready or rejects
  // the list from discovery as too long.
  [[nodiscard]] StartResult start(const std::string& cached_list, const std::string& discovery_list);

  // The address that all endpoints in the lists must have.
  [[nodiscard]] std::string endpoint_address() const { return peers_.endpoint_address(); }
  [[nodiscard]] std::int64_t watch_bytes_sent() const { return peers_.watch_bytes_sent(); }

  // Processor time and wall-clock time of the start, and the resident memory in bytes.
  [[nodiscard]] Costs start_costs() const;
  // Mean cost of an endpoint list update that repeats the entry of one endpoint, and the length of the update
  // in bytes.
  [[nodiscard]] Costs list_change_costs(const std::string& entry);
  // Mean cost of delivering one message to the serving destination, over a connection that is kept alive.
  [[nodiscard]] double cpu_time_per_delivery();
  // Mean cost of delivering one message while no other connection is kept alive, while some are, and while as
  // many are as the socket limit allows. The last cost is left out if there are too few destinations to reach
  // the limit.
  [[nodiscard]] Costs delivery_costs(std::int64_t destinations);
  // Processor time for each second at this rate of messages.
  [[nodiscard]] double cpu_time_per_second(std::int64_t messages_per_second);

 private:
  using Clock = std::chrono::steady_clock;

  // Messages to submit: all to one destination if `step` is 0, otherwise each to a destination that is `step`
  // further on.
  struct Deliveries {
    std::int64_t first_destination = 0;
    std::int64_t step = 0;
    std::int64_t count = 0;
    std::int64_t batch_size = 1;  // this many messages are delivered before the next is submitted
  };
  double cpu_time_per_delivery(const Deliveries& deliveries);
  void submit(std::int64_t destination);
  // Waits until all submitted messages are delivered and accepted; fails if one is rejected.
  void wait_for_deliveries(const std::string& expectation);

  [[nodiscard]] std::string relay_configuration(const std::string& cached_list) const;
  [[nodiscard]] bool log_contains(const std::string& text) const;
  [[nodiscard]] bool are_all_delivered() const;
  // Runs the peers until the condition holds. `expectation` names the condition in the error message.
  void wait_until(const std::function<bool()>& condition, const std::string& expectation);
  // Runs the peers until the relay uses hardly any processor time. The relay continues to work on an event
  // for a short time after its effect is visible, and that work has to be part of the measurement.
  void wait_until_idle();
  [[noreturn]] void fail(const std::string& problem) const;

  const SlopesSettings& settings_;
  TemporaryDirectory directory_;
  RelayPeers peers_;
  std::optional<RelayProcess> relay_;
  double start_cpu_time_ = 0;   // microseconds
  double start_wall_time_ = 0;  // microseconds
  std::int64_t submitted_count_ = 0;
};

}  // namespace scale_tool
