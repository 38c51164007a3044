// The settings of a dispatcher, fixed for its life.
#pragma once

#include <vector>

#include "dispatch/types.hpp"

namespace dispatch {

/// What a second execution of the same message does.
enum class Idempotency {
  idempotent,  ///< no harm
  by_key,      ///< the destination drops repeats while it remembers the message's idempotency key
  none         ///< harm: a message that may have run is never sent again
};
/// Which endpoints of a destination share the memory of idempotency keys.
enum class KeyScope { all, zone, cell };
/// How a message's priority weight falls between its latency objective and its deadline.
enum class ValueDecay { linear, exponential };
/// What Endpoint::weight holds: nothing, or the capacity in calls a second, exactly or as a hint.
enum class WeightKind { none, nominal, rough };

/// What the messages of one class have in common.
struct ClassSettings {
  double priority_weight = 1;          ///< the full value of a message
  double late_weight_fraction = 0;     ///< the part of it that is left at the deadline
  Time latency_objective = 1'000'000;  ///< delivered within this time, a message has its full value
  Time deadline = 5'000'000;           ///< how long after its arrival a message may be delivered at all
  Idempotency idempotency = Idempotency::idempotent;
  KeyScope key_scope = KeyScope::all;
  Time idempotency_window = 0;  ///< with Idempotency::by_key: how long a destination remembers a key
  bool ordered = false;         ///< messages with the same order key are sent one at a time
};

/// What the endpoints of one kind have in common.
struct KindSettings {
  bool independent_routes = false;  ///< each endpoint has a rate limit and outages of its own
  int max_batch_size = 1;           ///< the most messages in one call
};

/// A tenant's part of the relays' capacity.
struct TenantSettings {
  double quota_per_second = 0;  ///< messages a second at full weight, over all relays; 0: no quota
};

/// All settings of a dispatcher. Times are in microseconds.
struct Settings {
  std::vector<ClassSettings> classes;   ///< at least one
  std::vector<KindSettings> kinds;      ///< may be empty: all endpoints have the default kind
  std::vector<TenantSettings> tenants;  ///< may be empty: no quotas
  std::vector<double> zone_costs;       ///< fee of an independent route, by zone; may be empty
  ValueDecay decay = ValueDecay::linear;
  WeightKind weights = WeightKind::none;
  double over_quota_weight_fraction = 1;  ///< weight of a message beyond its tenant's quota, as a fraction
  int relay_count = 1;                    ///< how many relays share the destinations
  int relay_index = 0;                    ///< which of them this is
  int zone = 0;                           ///< where this relay stands
  int max_calls_in_flight = 1;            ///< calls at all endpoints together
  int max_open_messages = 1;              ///< messages held at once
  int max_attempts = 1;                   ///< attempts for one message
  bool hedged_requests = false;           ///< two attempts of a message may be in flight together
  bool cancellation = false;              ///< action::Cancel is understood
  bool health_checks = false;             ///< action::HealthCheck is understood
  bool gossip = false;                    ///< action::SendGossip is understood
  bool subscribes_to_list = false;        ///< list changes come only to relays that subscribed
  /// What discovery has sent to this relay's machine counts as known, fetched or not; fetching it there costs
  /// nothing.
  bool list_is_pushed = false;
  /// Without list_is_pushed: how long a call for the list waits for its answer, and a watch for its next
  /// event, before either is lost. What was missed counts as known 6 s after it happened or the watch fell
  /// silent; the polling intervals fill what is left of that.
  Time poll_timeout = 2'000'000, watch_timeout = 3'500'000;
  Time min_round_interval = 1'000;            ///< the least time between rounds
  Time connect_timeout = 1'000'000;           ///< how long a connection may take to be established
  Time connection_idle_timeout = 10'000'000;  ///< idle connections close by themselves after this
  Time max_retry_after = 0;                   ///< the longest Retry-After that a client obeys
  Time answer_slack = 0;                      ///< final answers are accepted so long past the deadline
  Time drain_grace = 0;                       ///< how long a draining endpoint still takes calls
  Time max_poll_interval = 0;                 ///< 0: no such rule
  Time order_key_quiet_period = 0;  ///< no new call for an order key so long after an attempt that may run on
  double overload_multiple = 2;     ///< times its capacity that overloads a destination in slow start
  Time overload_duration = 1'000'000;     ///< when kept up for so long
  double slow_start_capacity = 0.2;       ///< part of its capacity that a destination has after an outage
  Time slow_start_duration = 10'000'000;  ///< the capacity is whole again after this at the latest
};

/// Throws std::invalid_argument, naming the setting, where the settings make no sense.
void validate(const Settings& settings);

}  // namespace dispatch
