// The actions that a dispatcher asks its relay to carry out.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "dispatch/types.hpp"

namespace dispatch {
namespace action {

/// Send a message to an endpoint. The attempts of a message are numbered from 0 in the order of its Send
/// actions. The relay combines the messages that one round sends to one endpoint into a call, as many as
/// KindSettings::max_batch_size allows.
struct Send {
  MessageId id = 0;
  EndpointId endpoint;
  Time timeout = 0;       ///< without an answer within this time the attempt ends as Outcome::timeout
  Time start_within = 0;  ///< nothing is sent unless the first byte leaves within this time; 0: no limit
};
/// Final answer to the client: the message was not delivered and may safely be submitted again.
struct Reject {
  MessageId id = 0;
  Time retry_after = 0;  ///< how long the client should wait before it submits the message again
};
/// Final answer to the client: the message is not known to be delivered. It may have been executed.
struct Fail {
  MessageId id = 0;
};
/// Stop waiting for the answer to an attempt, which then ends as Outcome::cancelled.
struct Cancel {
  MessageId id = 0;
  int attempt = 0;
};
/// Close the idle connections to an endpoint.
struct CloseIdleConnections {
  EndpointId endpoint;
};
/// Raise event::TimerExpired after this time.
struct SetTimer {
  Time after = 0;
  std::uint64_t token = 0;
};
/// Fetch the whole endpoint list once.
struct FetchEndpointList {};
/// Start or end the subscription to the endpoint list.
struct Subscribe {
  bool enabled = true;
};
/// Send a health check to an endpoint.
struct HealthCheck {
  EndpointId endpoint;
};
/// Send a gossip message to other relays. Delivery is not guaranteed.
struct SendGossip {
  int recipient = -1;  ///< index of a relay; -1: all other relays
  std::string payload;
};
/// Write a line of the form `event subject cause=...` to the log.
struct Log {
  std::string text;
};

}  // namespace action

/// Any action.
using Action = std::variant<action::Send, action::Reject, action::Fail, action::Cancel,
                            action::CloseIdleConnections, action::SetTimer, action::FetchEndpointList,
                            action::Subscribe, action::HealthCheck, action::SendGossip, action::Log>;

}  // namespace dispatch
