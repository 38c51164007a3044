// The text format of gossip messages between relays: two characters for the version and the kind of the
// message, followed by its subject.
#pragma once

#include <optional>
#include <string>

#include "dispatch/types.hpp"

namespace dispatch {

/// Version 1, kind "r": an endpoint rejected a call. Other versions of the relay parse this prefix.
inline const std::string kRejectionGossipPrefix = "1r";

/// Formats the message that reports a call rejected by the endpoint.
inline std::string rejection_gossip(const EndpointId& endpoint) { return kRejectionGossipPrefix + endpoint; }

/// Returns the endpoint that a rejection message names, or std::nullopt for a message of another kind.
inline std::optional<EndpointId> parse_rejection_gossip(const std::string& payload) {
  if (payload.rfind(kRejectionGossipPrefix, 0) != 0) return std::nullopt;
  return payload.substr(kRejectionGossipPrefix.size());
}

}  // namespace dispatch
