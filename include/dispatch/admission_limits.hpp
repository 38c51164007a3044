// Decides whether there is room for another message among those that are open.
#pragma once

#include <cstddef>

namespace dispatch {

/// The open messages at the time when another one arrives. A message is open from its admission until it is
/// delivered or has a final answer.
struct OpenMessages {
  std::size_t limit = 1;          ///< Settings::max_open_messages
  std::size_t total = 0;          ///< all open messages
  std::size_t of_connection = 0;  ///< those that arrived on the connection of the new message
  std::size_t connections = 0;    ///< connections on which open messages arrived
};

/// How a message was submitted on its connection.
enum class Submission {
  single,    ///< as the protocol asks: the client waits for each answer
  pipelined  ///< together with other requests
};

/// Whether a message may be admitted, or why not.
enum class AdmissionDecision {
  admit,
  limit_reached,
  pipelined_limit_reached,  ///< there is still room for messages that were submitted one at a time
  connection_share_reached  ///< there is still room for messages of other connections
};

/// Decides about the next message. While much of the limit is used, the rest is for clients that submit one
/// message at a time, and for connections with less than their equal share of the limit: a client that
/// submits as fast as it can leaves room for others.
[[nodiscard]] AdmissionDecision decide_admission(const OpenMessages& open, Submission submission);

}  // namespace dispatch
