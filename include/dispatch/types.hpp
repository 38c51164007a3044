// Units and identifiers that settings, events and actions share.
#pragma once

#include <cstdint>
#include <string>

namespace dispatch {

/// A point in time or a duration, in microseconds, on the caller's monotonic clock.
using Time = std::int64_t;
/// Chosen by the caller; unique among the messages that are not over yet.
using MessageId = std::uint64_t;
/// The name of an endpoint in the endpoint list; opaque to the dispatcher.
using EndpointId = std::string;
/// What a message is addressed to; one destination has one or several endpoints.
using DestinationId = std::int64_t;

}  // namespace dispatch
