// The messages that the relay delivers, and the state of their delivery that the journal stores.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "clock.hpp"
#include "connection_message_counts.hpp"
#include "dispatch/dispatcher.hpp"

namespace message_relay {

using dispatch::MessageId;
using dispatch::Outcome;

// A message as a client submitted it.
struct Message {
  std::string id;  // the client's X-Request-Id
  std::string message_class;
  std::string tenant;  // empty: no tenant
  std::int64_t destination = 0;
  Time deadline = 0;                             // journal time, microseconds
  bool resubmitted = false;                      // the client has submitted the message before
  bool pipelined = false;                        // submitted together with other requests; not stored
  ConnectionId connection = kUnknownConnection;  // on which it was submitted; not stored
  std::string body;
  std::string idempotency_key;  // lets the endpoint detect retries; empty: no key
  std::string order_key;        // messages with the same key are delivered one at a time; empty: no key
};

// One attempt to deliver a message.
struct Attempt {
  Time sent_at = 0;                // journal time, microseconds
  int zone = -1;                   // zone of the endpoint; -1: unknown
  std::optional<Outcome> outcome;  // empty: not known, for example because the process ended first

  // Whether the endpoint may have executed the message; false only if the outcome rules that out.
  bool may_have_executed() const {
    if (!outcome) return true;
    return *outcome != Outcome::rejected && *outcome != Outcome::connect_failed &&
           *outcome != Outcome::not_sent;
  }
};

// The final answer to a message that was not delivered. The platform must be notified of it.
struct FinalAnswer {
  bool retryable = false;  // the client may safely submit the message again
  Time retry_after = 0;    // microseconds to wait before that; 0: no wait
};

// The state of a message that is not completed, as the journal's records give it.
struct JournaledMessage {
  Message message;
  std::vector<Attempt> attempts;
  std::optional<FinalAnswer> final_answer;
};

}  // namespace message_relay
