// The messages that the relay delivers and what it knows of their delivery, as the journal holds them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "clock.hpp"
#include "dispatch/dispatcher.hpp"

namespace message_relay {

using dispatch::MessageId;
using dispatch::Outcome;

// A message as a client submitted it.
struct Message {
  std::string id;  // the client's X-Request-Id
  std::string message_class;
  std::string tenant;  // empty: none
  std::int64_t destination = 0;
  Time deadline = 0;         // wall time, microseconds
  bool resubmitted = false;  // the client has submitted it before
  std::string body;
  std::string idempotency_key;  // by which its endpoint recognizes retries; empty: none
  std::string order_key;        // messages with the same key are delivered one at a time; empty: none
};

// One attempt to deliver a message.
struct Attempt {
  Time sent_at = 0;                // wall time, microseconds
  int zone = -1;                   // of the endpoint; -1: unknown
  std::optional<Outcome> outcome;  // none: not known, for instance since the process ended meanwhile

  // Whether the endpoint may have processed the message; false only where the outcome rules it out.
  bool may_have_executed() const {
    if (!outcome) return true;
    return *outcome != Outcome::rejected && *outcome != Outcome::connect_failed &&
           *outcome != Outcome::not_sent;
  }
};

// The answer to a message that is not delivered. The platform must be notified of it.
struct FinalAnswer {
  bool retryable = false;  // submitting the message again is harmless
  Time retry_after = 0;    // microseconds; 0: any time
};

// Everything that is known of a message whose delivery is not completed.
struct JournaledMessage {
  Message message;
  std::vector<Attempt> attempts;
  std::optional<FinalAnswer> final_answer;
};

}  // namespace message_relay
