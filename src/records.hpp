// What is kept of a message and of a call: plain records without logic.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "dispatch/settings.hpp"
#include "dispatch/types.hpp"

namespace dispatch {

struct EndpointState;

using CallId = std::uint64_t;  // counts from 1; 0: none

/// What a call finds out: ordinary traffic, the capacity of an endpoint in slow start, or, as a probe
/// request, whether an ejected one is back.
enum class CallKind { ordinary, slow_start, probe };
/// Who met a rejection.
enum class RejectionSource { own_call, gossip };

/// A call in flight: one request with one or several messages.
struct Call {
  EndpointState* endpoint = nullptr;
  Time sent_at = 0;
  int message_count = 0;          // messages that went with it
  int unsettled_count = 0;        // those of them whose outcome is still to come
  bool outcome_recorded = false;  // its outcome was counted once for the endpoint
};

/// A message that this relay has taken on and not forgotten yet.
struct Message {
  MessageId id = 0;
  const ClassSettings* message_class = nullptr;
  DestinationId destination = 0;
  double weight = 0;      // its value until the objective
  Time objective = 0;     // delivered by then, it has its full value
  Time deadline = 0;      // delivered after it, it has none
  Time not_before = 0;    // the next attempt waits until then
  std::string order_key;  // empty: none
  int attempts_made = 0;
  int cancelled_attempt = -1;                  // the last attempt that this relay cancelled
  std::map<int, CallId> in_flight;             // number of the attempt, and its call
  std::optional<int> possible_execution_zone;  // where the first attempt that may have run was sent
  Time possible_execution_sent_at = 0;         // when that was
  bool settled = false;                        // its final answer is given, or none is wanted any more
};

}  // namespace dispatch
