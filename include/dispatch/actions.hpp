// What a dispatcher asks its relay to do.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "dispatch/types.hpp"

namespace dispatch {
namespace action {

/// Send a message to an endpoint. Attempts of a message count from 0 in the order of their sends. Sends of
/// one round to one endpoint share a call where the kind's max_batch_size allows.
struct Send {
  MessageId id = 0;
  EndpointId endpoint;
  Time timeout = 0;       ///< without an answer in this time the attempt ends as Outcome::timeout
  Time start_within = 0;  ///< the first byte goes out within this time, or none does; 0: no such bound
};
/// Final answer to the client: not delivered; submitting the message again is harmless.
struct Reject {
  MessageId id = 0;
  Time retry_after = 0;  ///< when to submit it again
};
/// Final answer to the client: not known to be delivered; promises nothing.
struct Fail {
  MessageId id = 0;
};
/// Stop waiting for an attempt; it ends as Outcome::cancelled.
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
/// Begin or end the subscription to the endpoint list.
struct Subscribe {
  bool enabled = true;
};
/// Send an endpoint a health check.
struct HealthCheck {
  EndpointId endpoint;
};
/// Send other relays a text; it may be lost.
struct SendGossip {
  int recipient = -1;  ///< index of a relay; -1: every one
  std::string payload;
};
/// A line for the log: `event subject cause=...`.
struct Log {
  std::string text;
};

}  // namespace action

/// Any action.
using Action = std::variant<action::Send, action::Reject, action::Fail, action::Cancel,
                            action::CloseIdleConnections, action::SetTimer, action::FetchEndpointList,
                            action::Subscribe, action::HealthCheck, action::SendGossip, action::Log>;

}  // namespace dispatch
