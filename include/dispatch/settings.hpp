// The settings of a dispatcher, which do not change during its lifetime.
#pragma once

#include <vector>

#include "dispatch/types.hpp"

namespace dispatch {

/// The effect of executing the same message a second time.
enum class Idempotency {
  idempotent,  ///< harmless
  by_key,      ///< the destination drops repeats as long as it remembers the message's idempotency key
  none         ///< harmful: a message that may have been executed is never sent again
};
/// Which endpoints of a destination share their memory of idempotency keys.
enum class KeyScope { all, zone, cell };
/// How the value of a message falls between its latency objective and its deadline.
enum class ValueDecay {
  linear,      ///< from the full value at the objective to the late fraction at the deadline
  exponential  ///< halves with each further latency objective, but not below the late fraction
};
/// The meaning of Endpoint::weight.
enum class WeightKind {
  none,        ///< the weight is ignored
  nominal,     ///< the exact capacity in calls per second
  approximate  ///< an estimate of the capacity in calls per second
};

/// What the messages of one class have in common.
struct ClassSettings {
  double priority_weight = 1;          ///< the value of a message delivered within its latency objective
  double late_weight_fraction = 0;     ///< the fraction of the value that is left at the deadline
  Time latency_objective = 1'000'000;  ///< a message delivered within this time keeps its full value
  Time deadline = 5'000'000;           ///< the longest time from arrival to delivery
  Idempotency idempotency = Idempotency::idempotent;
  KeyScope key_scope = KeyScope::all;
  Time idempotency_window = 0;  ///< with Idempotency::by_key: how long a destination remembers a key
  bool ordered = false;         ///< messages with the same order key are sent one at a time
};

/// What the endpoints of one kind have in common.
struct KindSettings {
  /// Each endpoint has its own rate limit and fails on its own. Otherwise the endpoints of a destination
  /// share one rate limit and mostly fail together.
  bool independent_endpoints = false;
  int max_batch_size = 1;  ///< the largest number of messages in one call
};

/// A tenant's share of the capacity of the relays.
struct TenantSettings {
  double quota_per_second = 0;  ///< messages per second at full weight, over all relays; 0: no quota
};

/// All settings of a dispatcher. Times are in microseconds.
struct Settings {
  std::vector<ClassSettings> classes;   ///< at least one
  std::vector<KindSettings> kinds;      ///< may be empty: all endpoints have the default kind
  std::vector<TenantSettings> tenants;  ///< may be empty: no quotas
  /// By zone, the surcharge on the cost of a call to an independent endpoint, as a fraction of that cost.
  /// Zones beyond the end have none.
  std::vector<double> zone_surcharges;
  ValueDecay value_decay = ValueDecay::linear;
  WeightKind weight_kind = WeightKind::none;
  /// The weight of a message beyond its tenant's quota, as a fraction of its full weight.
  double over_quota_weight_fraction = 1;
  int relay_count = 1;          ///< number of relays that share the destinations
  int relay_index = 0;          ///< index of this relay among them
  int zone = 0;                 ///< zone of this relay
  int max_calls_in_flight = 1;  ///< over all endpoints
  int max_open_messages = 1;    ///< messages held at once
  int max_attempts = 1;         ///< attempts per message
  /// The largest body of a call with several messages in bytes; 0: no limit. A message that is larger by
  /// itself gets a call of its own.
  std::int64_t max_batch_bytes = 0;
  bool hedged_requests = false;     ///< two attempts of a message may be in flight at once
  bool cancellation = false;        ///< the relay supports action::Cancel
  bool health_checks = false;       ///< the relay supports action::HealthCheck
  bool gossip = false;              ///< the relay supports action::SendGossip
  bool subscribes_to_list = false;  ///< changes of the endpoint list reach only relays that subscribed
  /// Discovery pushes the endpoint list to an agent on this relay's host. A change counts as known once the
  /// agent has it, whether or not the relay has fetched it; fetching it from the agent costs nothing.
  bool list_is_pushed = false;
  /// Without list_is_pushed: how long a request for the endpoint list waits for its answer. From 6 s after a
  /// change the relay is expected to know it; the polling intervals take what the timeouts leave of this
  /// time.
  Time poll_timeout = 2'000'000;
  /// Without list_is_pushed: how long a subscription may stay silent before it counts as lost. From 6 s after
  /// it fell silent the relay is expected to know the changes that it missed.
  Time subscription_timeout = 3'500'000;
  Time min_round_interval = 1'000;            ///< the shortest time between rounds
  Time connect_timeout = 1'000'000;           ///< the longest time to establish a connection
  Time connection_idle_timeout = 10'000'000;  ///< connections close after being idle for this time
  Time max_retry_after = 0;                   ///< the longest Retry-After that a client follows
  Time final_answer_grace = 0;                ///< how long past the deadline a final answer is accepted
  Time drain_grace = 0;                       ///< how long a draining endpoint still accepts calls
  Time max_poll_interval = 0;                 ///< the longest time between polls of the list; 0: no limit
  /// After an attempt that may still be running, no new message with its order key is sent for this time.
  Time order_key_quiet_period = 0;
  /// A destination in slow start is overloaded by this multiple of its current capacity, if it is kept up for
  /// overload_duration.
  double overload_multiple = 2;
  Time overload_duration = 1'000'000;  ///< how long the overload must last
  /// The fraction of its full capacity that a destination has right after an outage, when its slow start
  /// begins.
  double slow_start_capacity_fraction = 0.2;
  Time slow_start_duration = 10'000'000;  ///< the longest time until the full capacity is back
};

/// Throws std::invalid_argument, naming the setting, on a missing value or one out of its range.
void validate(const Settings& settings);

}  // namespace dispatch
