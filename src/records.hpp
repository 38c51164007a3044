// The records that the dispatcher keeps of a message and of a call.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "dispatch/settings.hpp"
#include "dispatch/types.hpp"

namespace dispatch {

struct EndpointState;

/// Identifies a call. Counts from 1; 0 means no call.
using CallId = std::uint64_t;

/// The role of a call in judging its endpoint.
enum class CallKind {
  ordinary,
  slow_start,  ///< tests how much an endpoint in slow start can serve
  probe        ///< tests whether an ejected endpoint serves again
};
/// How this relay learned of a rejection.
enum class RejectionSource { own_call, gossip };

/// A call in flight: one request that carries one or more messages.
struct Call {
  EndpointState* endpoint = nullptr;
  Time sent_at = 0;
  int message_count = 0;          // messages sent with the call
  int pending_count = 0;          // those of them whose outcome is still unknown
  bool outcome_recorded = false;  // the outcome has been counted for the endpoint, once for all messages
  std::int64_t batch_bytes = 0;   // of its messages together
};

/// A message that this relay accepted and still stores.
struct Message {
  MessageId id = 0;
  const ClassSettings* message_class = nullptr;
  DestinationId destination = 0;
  double weight = 0;             // value of a delivery by full_value_until
  Time full_value_until = 0;     // the end of the latency objective
  Time deadline = 0;             // a delivery after this time has no value
  Time not_before = 0;           // earliest time of the next attempt
  std::string order_key;         // empty: none
  std::int64_t batch_bytes = 0;  // what it adds to a call with several messages
  int attempts_made = 0;
  int cancelled_attempt = -1;       // the last attempt that this relay cancelled; -1: none
  std::map<int, CallId> in_flight;  // the calls in flight by the numbers of their attempts
  // The zone to which the first attempt that may have been executed was sent; not set: there was none.
  std::optional<int> possible_execution_zone;
  Time possible_execution_sent_at = 0;  // when that attempt was sent
  bool settled = false;                 // the final answer was given, or none is expected any more
};

}  // namespace dispatch
