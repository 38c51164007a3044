// The responses of the ingress server as they are written to its clients.
#pragma once

#include <string>

#include "clock.hpp"
#include "request_reader.hpp"

namespace message_relay {

// The response to a request that cannot be read.
struct ReadError {
  unsigned status = 0;
  const char* reason = "";
};

// `state` is a state of the reader in which the request cannot be read.
[[nodiscard]] ReadError error_of(RequestReader::State state);

// Returns the bytes of a response without a body. `retry_after` is in microseconds; 0: no Retry-After header.
[[nodiscard]] std::string format_response(unsigned status, Time retry_after, bool keep_alive);

}  // namespace message_relay
