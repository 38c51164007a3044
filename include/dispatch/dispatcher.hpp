// dispatch: the decisions of a dispatcher of notifications to outside receivers.
//
// A relay feeds one Dispatcher the events it sees and carries out the actions that come back, one
// handle() a round. The dispatcher never blocks, does no input or output, reads no clock and keeps
// no state outside the instance: equal settings, seed and events give equal actions.
//
// All times and durations are in microseconds. Names (zones, kinds, classes, tenants) do not appear:
// events carry positions in the lists of the settings.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dispatch {

using Time = std::int64_t;
using MessageId = std::uint64_t;
using EndpointId = std::string;
using DestinationId = std::int64_t;

enum class Idempotency { idempotent, by_key, none };  // what a repeat may do
enum class KeyScope { all, zone, cell };              // which endpoints of a destination drop repeats
enum class ValueDecay { linear, exponential };        // how worth falls after the aim
enum class WeightKind { none, nominal, rough };       // what Endpoint::weight holds

struct ClassSettings {
  double priority_weight = 1;          // full worth of a message
  double late_weight_fraction = 0;     // share of it that is left at the deadline
  Time latency_objective = 1'000'000;  // delivered within this time, it earns the full worth
  Time deadline = 5'000'000;           // how long it may be delivered at all
  Idempotency idempotency = Idempotency::idempotent;
  KeyScope key_scope = KeyScope::all;
  Time idempotency_window = 0;  // keyed: how long a destination remembers the key
  bool ordered = false;         // messages with the same order key go one at a time
};

struct KindSettings {               // a kind of destination
  bool independent_routes = false;  // each endpoint has its own limit, pace and outages
  int max_batch_size = 1;           // messages in one call at most
};

struct TenantSettings {
  double quota_per_second = 0;  // messages a second within the share, over all relays
};

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;  // may be empty
  std::vector<double> zone_costs;       // price of a route apart, by zone; may be empty
  ValueDecay decay = ValueDecay::linear;
  WeightKind weights = WeightKind::none;
  double over_quota_weight_fraction = 1;  // worth beyond a tenant's share, as a fraction
  int relay_count = 1;                    // how many relays share the destinations
  int relay_index = 0;                    // which of them this is
  int zone = 0;                           // where this relay stands
  int max_calls_in_flight = 1;            // calls out at once
  int max_open_messages = 1;              // messages held at once
  int max_attempts = 1;                   // attempts for one message
  bool hedged_requests = false;           // two attempts of a message may be out together
  bool cancellation = false;
  bool health_checks = false;
  bool gossip = false;
  bool subscribes_to_list = false;  // list changes come only to those that subscribed
  // What discovery has sent to this relay's machine counts as told, asked for or not; asking there costs
  // nothing.
  bool list_is_pushed = false;
  // Else: so long a call for the list waits for its answer, and a watch for the next word, before either is
  // lost. What was missed counts as told 6 s after it happened or the watch fell silent: the gaps fill what
  // is left.
  Time poll_timeout = 2'000'000, watch_timeout = 3'500'000;
  Time min_round_interval = 1'000;  // least time between rounds
  Time connect_timeout = 1'000'000;
  Time connection_idle_timeout = 10'000'000;  // idle connections close by themselves after this
  Time max_retry_after = 0;                   // longest advised absence that a client obeys
  Time answer_slack = 0;                      // final answers are accepted so long past the deadline
  Time drain_grace = 0;
  Time max_poll_interval = 0;             // 0: no such rule
  Time order_key_quiet_period = 0;        // rest of an order key after an attempt in doubt
  double overload_multiple = 2;           // times present capacity that topples a cold destination
  Time overload_duration = 1'000'000;     // when kept up for so long
  double slow_start_capacity = 0.2;       // share of capacity right after an outage
  Time slow_start_duration = 10'000'000;  // warm after this at the latest
};

// Throws std::invalid_argument naming the setting that makes no sense.
void validate(const Settings& settings);

enum class Outcome { succeeded, error, rejected, timeout, connect_failed, reset, cancelled, not_sent };

// Load report of a destination; a negative value was not reported.
struct LoadReport {
  double remaining_fraction = -1;  // share of the limit that is left
  double rate_limit = -1;          // calls a second that the limit allows; 0 where there is none
};

enum class EndpointStatus { active, draining, removed };

struct Endpoint {
  EndpointId id;
  DestinationId destination = 0;
  int zone = 0;
  int kind = 0;
  EndpointStatus status = EndpointStatus::active;
  double weight = 1;
  Time added_at = 0;  // when it was added; 0: long ago
};

namespace event {
struct EndpointListSnapshot {
  std::vector<Endpoint> endpoints;
  bool cached = false;
};  // cached: as last seen
struct EndpointListUpdate {
  std::vector<Endpoint> endpoints;
};
// The subscription ended or could not be had; it fell silent; discovery is found elsewhere from now on.
enum class ListLossReason { failed, timed_out, relocated };
struct EndpointListLost {
  ListLossReason reason = ListLossReason::failed;
};
struct Arrival {
  MessageId id = 0;
  DestinationId destination = 0;
  int message_class = 0;
  int tenant = -1;  // -1: none
  Time time_to_deadline = 0;
  std::string order_key;     // empty: none
  bool resubmitted = false;  // the client hands it in again
};
// A call that an earlier life of this relay began and that is still out.
struct CallInFlight {
  EndpointId endpoint;
  std::uint64_t call_id = 0;  // the same for messages that share one
  int attempt = 0;
  Time sent_at = 0;
};
// A message that this relay had taken on in an earlier life, with what is known of its attempts.
struct MessageRecovered {
  Arrival message;        // time_left may be below 0
  int attempts_made = 0;  // made so far; further ones count on from there
  // Where one of them may have run (also one whose outcome was never seen): the first such, and when it was
  // sent, by the clock of handle(): a time before this life may be below 0.
  std::optional<int> possible_execution_zone;
  Time possible_execution_sent_at = 0;
  std::optional<CallInFlight> in_flight;  // its end is still to be told
};
// What an earlier life on the same clock had learnt, by its learnt(); after the list. What can't be read is
// left.
struct LearnedStateRestored {
  std::string learned_state;
};
struct AttemptEnded {
  MessageId id = 0;
  int attempt = 0;
  EndpointId endpoint;
  Outcome outcome = Outcome::succeeded;
  Time latency = 0;
  bool message_settled = false;  // the message is over
  Time retry_after = 0;          // nothing to that destination for so long, whatever the outcome
  LoadReport load_report;
};
struct ClientCancelled {
  MessageId id = 0;
};
struct TimerExpired {
  std::uint64_t token = 0;
};
struct HealthCheckEnded {
  EndpointId endpoint;
  Outcome outcome = Outcome::succeeded;
  Time latency = 0;
  LoadReport load_report;
};
struct GossipReceived {
  int sender = 0;
  std::string payload;
};
// OperatorServer leave an endpoint out, whatever the list says of it, or let it serve again. Repeats are
// harmless.
struct EndpointSuspension {
  EndpointId endpoint;
  bool suspended = true;
};
}  // namespace event

using Event = std::variant<event::EndpointListSnapshot, event::EndpointListUpdate, event::EndpointListLost,
                           event::Arrival, event::MessageRecovered, event::AttemptEnded,
                           event::ClientCancelled, event::TimerExpired, event::HealthCheckEnded,
                           event::GossipReceived, event::EndpointSuspension, event::LearnedStateRestored>;

namespace action {
// Attempts of a message count from 0 in the order of their sends.
struct Send {
  MessageId id = 0;
  EndpointId endpoint;
  Time timeout = 0;
  Time start_within = 0;  // its first byte goes out before so long has passed, or it does not go; 0: whenever
};
struct Reject {
  MessageId id = 0;
  Time retry_after = 0;
};  // final; handing it in again is harmless
struct Fail {
  MessageId id = 0;
};  // final; promises nothing
struct Cancel {
  MessageId id = 0;
  int attempt = 0;
};
struct CloseIdleConnections {
  EndpointId endpoint;
};
struct SetTimer {
  Time after = 0;
  std::uint64_t token = 0;
};
struct FetchEndpointList {};
struct Subscribe {
  bool enabled = true;
};
struct HealthCheck {
  EndpointId endpoint;
};
struct SendGossip {
  int recipient = -1;
  std::string payload;
};  // -1: every peer
struct Log {
  std::string text;
};
}  // namespace action

using Action = std::variant<action::Send, action::Reject, action::Fail, action::Cancel,
                            action::CloseIdleConnections, action::SetTimer, action::FetchEndpointList,
                            action::Subscribe, action::HealthCheck, action::SendGossip, action::Log>;

class Dispatcher {
 public:
  // Throws std::invalid_argument where the settings make no sense.
  Dispatcher(const Settings& settings, std::uint64_t seed);
  ~Dispatcher();
  Dispatcher(Dispatcher&&) noexcept;
  Dispatcher& operator=(Dispatcher&&) noexcept;

  // One round: all events happen at `now` (which never goes back); the actions take effect at `now`,
  // in order. `actions` is appended to.
  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions);

  // What is known of endpoints and destinations, told waits too, as text for event::LearnedStateRestored.
  std::string learned_state() const;

  // How many listed endpoints are avoided now: suspended, or taken to be out.
  std::size_t ejected_endpoint_count() const;

  // How many endpoints, destinations, messages, order keys and calls are kept: a gauge of memory.
  std::size_t tracked_object_count() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace dispatch
