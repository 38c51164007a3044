// The events that a relay reports to its dispatcher.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "dispatch/endpoint.hpp"
#include "dispatch/types.hpp"

namespace dispatch {

/// How an attempt ended.
enum class Outcome {
  succeeded,
  error,           ///< the endpoint answered with an error; the message may have been executed
  rejected,        ///< the endpoint refused the call because of its load; the message was not executed
  timeout,         ///< no answer within action::Send::timeout; the message may have been executed
  connect_failed,  ///< no connection was established; the message was not executed
  reset,           ///< the connection broke; the message may have been executed
  cancelled,       ///< ended by action::Cancel; the message may have been executed
  not_sent         ///< the message never left this relay
};

/// What an answer reports about the load of its destination. A negative value was not reported.
struct LoadReport {
  double remaining_fraction = -1;  ///< the fraction of the rate limit that is left, 0 to 1
  double rate_limit = -1;          ///< calls per second over all relays; 0: there is no limit
};

namespace event {

/// The whole endpoint list. Endpoints that it does not contain are removed.
struct EndpointListSnapshot {
  std::vector<Endpoint> endpoints;
  bool cached = false;  ///< the list of an earlier snapshot, not a current answer from discovery
};
/// Entries of the endpoint list that are new or changed.
struct EndpointListUpdate {
  std::vector<Endpoint> endpoints;
};
/// Why the subscription to the endpoint list was lost.
enum class SubscriptionLossReason {
  failed,     ///< the subscription ended or could not be established
  timed_out,  ///< no data arrived within the timeout
  relocated   ///< discovery has moved to another address
};
/// The subscription to the endpoint list was lost. The endpoints that are known stay in use.
struct EndpointListSubscriptionLost {
  SubscriptionLossReason reason = SubscriptionLossReason::failed;
};
/// The relay accepted a message.
struct Arrival {
  MessageId id = 0;
  DestinationId destination = 0;
  int message_class = 0;         ///< index into Settings::classes
  int tenant = -1;               ///< index into Settings::tenants; -1: no tenant
  Time time_to_deadline = 0;     ///< counted from the round's time
  std::string order_key;         ///< empty: no order key
  bool resubmitted = false;      ///< the client submits the message again after action::Reject
  std::int64_t batch_bytes = 0;  ///< what it adds to the body of a call with several messages; 0: not known
};
/// A call that an earlier process of this relay began and that is still in flight.
struct CallInFlight {
  EndpointId endpoint;
  std::uint64_t call_id = 0;  ///< equal for the messages that share one call
  int attempt = 0;            ///< number of the message's attempt
  Time sent_at = 0;
};
/// A message that an earlier process of this relay accepted, with what is known of its attempts.
struct MessageRecovered {
  Arrival message;        ///< time_to_deadline may be negative
  int attempts_made = 0;  ///< the next attempt gets this number
  /// The zone to which the first attempt that may have been executed was sent. This includes an attempt whose
  /// outcome was never observed. Not set: no attempt can have been executed.
  std::optional<int> possible_execution_zone;
  /// When that attempt was sent, on the clock of Dispatcher::handle(). May be negative, as the earlier
  /// process may have sent it before the clock of this one started.
  Time possible_execution_sent_at = 0;
  std::optional<CallInFlight> in_flight;  ///< its AttemptEnded event is still to come
};
/// An earlier process of this relay limited the calls to the destination because of failed or rejected calls:
/// the destination was in Dispatcher::limited_destinations(). Must come after the endpoint list.
struct DestinationLimitRecovered {
  DestinationId destination = 0;
  DestinationLimit limit = {};
};
/// Restores what Dispatcher::learned_state() returned in an earlier process with the same clock. Must come
/// after the endpoint list. Lines that cannot be parsed are ignored.
struct LearnedStateRestored {
  std::string learned_state;
};
/// An attempt of a message ended.
struct AttemptEnded {
  MessageId id = 0;
  int attempt = 0;  ///< counts from 0 in the order of the message's action::Send
  EndpointId endpoint;
  Outcome outcome = Outcome::succeeded;
  Time latency = 0;              ///< from the send to the end of the attempt
  bool message_settled = false;  ///< the message needs no further attempt
  Time retry_after = 0;          ///< no call to the destination for this time, whatever the outcome; 0: none
  LoadReport load_report;
};
/// The client cancelled its message and expects no final answer.
struct ClientCancelled {
  MessageId id = 0;
};
/// A timer of action::SetTimer expired.
struct TimerExpired {
  std::uint64_t token = 0;
};
/// The answer to action::HealthCheck.
struct HealthCheckEnded {
  EndpointId endpoint;
  Outcome outcome = Outcome::succeeded;
  Time latency = 0;
  LoadReport load_report;
};
/// A gossip message that another relay sent with action::SendGossip.
struct GossipReceived {
  int sender = 0;  ///< index of the relay
  std::string payload;
};
/// Operators suspended an endpoint, whatever its status in the endpoint list, or resumed it. Repeating the
/// event has no effect.
struct EndpointSuspension {
  EndpointId endpoint;
  bool suspended = true;
};

}  // namespace event

/// Any event.
using Event =
    std::variant<event::EndpointListSnapshot, event::EndpointListUpdate, event::EndpointListSubscriptionLost,
                 event::Arrival, event::MessageRecovered, event::AttemptEnded, event::ClientCancelled,
                 event::TimerExpired, event::HealthCheckEnded, event::GossipReceived,
                 event::EndpointSuspension, event::DestinationLimitRecovered, event::LearnedStateRestored>;

}  // namespace dispatch
