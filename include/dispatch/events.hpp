// What a relay tells its dispatcher.
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
  error,           ///< the endpoint answered with an error; the message may have run
  rejected,        ///< the endpoint refused the call for its load; the message did not run
  timeout,         ///< no answer in the time that action::Send allowed; the message may have run
  connect_failed,  ///< no connection; the message did not run
  reset,           ///< the connection broke; the message may have run
  cancelled,       ///< action::Cancel ended it; the message may have run
  not_sent         ///< it never left this relay
};

/// What an answer says of the load of its destination; a negative value was not reported.
struct LoadReport {
  double remaining_fraction = -1;  ///< the part of the rate limit that is left, 0 to 1
  double rate_limit = -1;          ///< calls a second that the limit allows; 0 where there is none
};

namespace event {

/// The whole endpoint list: what it leaves out is removed.
struct EndpointListSnapshot {
  std::vector<Endpoint> endpoints;
  bool cached = false;  ///< not from discovery now, but as last seen
};
/// Entries of the endpoint list that are new or changed.
struct EndpointListUpdate {
  std::vector<Endpoint> endpoints;
};
/// Why the subscription to the endpoint list is lost.
enum class ListLossReason {
  failed,     ///< it ended or could not be had
  timed_out,  ///< it fell silent
  relocated   ///< discovery is found elsewhere from now on
};
/// The subscription to the endpoint list is lost; what is known goes on to hold.
struct EndpointListLost {
  ListLossReason reason = ListLossReason::failed;
};
/// A message was taken on.
struct Arrival {
  MessageId id = 0;
  DestinationId destination = 0;
  int message_class = 0;      ///< position in Settings::classes
  int tenant = -1;            ///< position in Settings::tenants; -1: none
  Time time_to_deadline = 0;  ///< from the round's time on
  std::string order_key;      ///< empty: none
  bool resubmitted = false;   ///< the client hands it in again after action::Reject
};
/// A call that an earlier incarnation of this relay began and that is still in flight.
struct CallInFlight {
  EndpointId endpoint;
  std::uint64_t call_id = 0;  ///< the same for messages that share one call
  int attempt = 0;            ///< number of the message's attempt
  Time sent_at = 0;
};
/// A message that an earlier incarnation of this relay took on, with what is known of its attempts.
struct MessageRecovered {
  Arrival message;        ///< time_to_deadline may be below 0
  int attempts_made = 0;  ///< further attempts count on from there
  /// Where the first attempt that may have run was sent (also one whose outcome was never seen), and when, on
  /// the clock of Dispatcher::handle(): a time before this incarnation may be below 0.
  std::optional<int> possible_execution_zone;
  Time possible_execution_sent_at = 0;
  std::optional<CallInFlight> in_flight;  ///< its AttemptEnded is still to come
};
/// Dispatcher::learned_state() of an earlier incarnation on the same clock. Comes after the endpoint list.
/// Lines that can't be read are passed over.
struct LearnedStateRestored {
  std::string learned_state;
};
/// An attempt of a message ended.
struct AttemptEnded {
  MessageId id = 0;
  int attempt = 0;  ///< counts from 0 in the order of the message's action::Send
  EndpointId endpoint;
  Outcome outcome = Outcome::succeeded;
  Time latency = 0;              ///< from the send to the end
  bool message_settled = false;  ///< the message is over
  Time retry_after = 0;          ///< no call to that destination for so long, whatever the outcome; 0: none
  LoadReport load_report;
};
/// The client withdrew its message; no final answer is expected.
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
/// Another relay's action::SendGossip.
struct GossipReceived {
  int sender = 0;
  std::string payload;
};
/// Operators take an endpoint out of service, whatever the list says of it, or let it serve again. Repeats
/// are harmless.
struct EndpointSuspension {
  EndpointId endpoint;
  bool suspended = true;
};

}  // namespace event

/// Any event.
using Event = std::variant<event::EndpointListSnapshot, event::EndpointListUpdate, event::EndpointListLost,
                           event::Arrival, event::MessageRecovered, event::AttemptEnded,
                           event::ClientCancelled, event::TimerExpired, event::HealthCheckEnded,
                           event::GossipReceived, event::EndpointSuspension, event::LearnedStateRestored>;

}  // namespace dispatch
