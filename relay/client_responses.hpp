// The responses to a client that submits a message.
#pragma once

#include "ingress_server.hpp"

namespace message_relay {

// The message is stored in the journal. The relay will deliver it or send a final notice.
inline constexpr ClientResponse kAccepted{202, 0};
// The message was not accepted, because there is no capacity or the journal cannot be written. Retry-After is
// 0.5 s.
inline constexpr ClientResponse kTemporarilyRejected{503, 500'000};
// No endpoint list has contained the destination.
inline constexpr ClientResponse kUnknownDestination{404, 0, "unknown destination"};
// The message was given up. It may have been delivered.
inline constexpr ClientResponse kFailed{504, 0};

}  // namespace message_relay
