// Units and identifiers shared by settings, events and actions.
#pragma once

#include <cstdint>
#include <string>

namespace dispatch {

/// A point in time or a duration, in microseconds, on the caller's monotonic clock.
using Time = std::int64_t;
/// Identifies a message. Assigned by the caller; unique among the messages that are not finished yet.
using MessageId = std::uint64_t;
/// The name of an endpoint in the endpoint list. The dispatcher does not interpret it.
using EndpointId = std::string;
/// Identifies the destination that a message is addressed to. A destination has one or more endpoints.
using DestinationId = std::int64_t;

}  // namespace dispatch
