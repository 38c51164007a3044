// The text of a gossip message between relays: its version and kind in two characters, then its subject.
#pragma once

#include <optional>
#include <string>

#include "dispatch/types.hpp"

namespace dispatch {

inline const std::string kRejectionGossip = "1r";  // version 1, "rejected"; relays of other builds read it

/// Tells that an endpoint rejected a call.
inline std::string rejection_gossip(const EndpointId& endpoint) { return kRejectionGossip + endpoint; }

/// The endpoint that such a message names; nothing where the message is of another kind.
inline std::optional<EndpointId> rejecting_endpoint(const std::string& payload) {
  if (payload.rfind(kRejectionGossip, 0) != 0) return std::nullopt;
  return payload.substr(kRejectionGossip.size());
}

}  // namespace dispatch
