// The responses to a client that hands in a message.
#pragma once

#include "ingress_server.hpp"

namespace message_relay {

// The message stands in the journal: the relay owes its delivery or a final notice.
inline constexpr ClientResponse kAccepted{202, 0};
// Nothing was taken on: no capacity, or the journal can't be written. Retry-After is 0.5 s.
inline constexpr ClientResponse kTemporarilyRejected{503, 500'000};
// No endpoint list has named the destination.
inline constexpr ClientResponse kUnknownDestination{404, 0, "unknown destination"};
// The message was given up, and may have been delivered.
inline constexpr ClientResponse kFailed{504, 0};

}  // namespace message_relay
