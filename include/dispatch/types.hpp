// Units and identifiers shared by settings, events and actions.
#pragma once

#include <cstdint>
#include <map>
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

/// What a relay remembers of a destination to which it limits its calls, as it may be returning from an
/// outage.
struct DestinationLimit {
  double demand = 0;  ///< messages per second of this relay when the limit began; 0: unknown

  bool operator==(const DestinationLimit&) const = default;
};
/// The destinations to which a relay limits its calls.
using DestinationLimits = std::map<DestinationId, DestinationLimit>;

}  // namespace dispatch
