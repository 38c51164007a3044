// Validates a client's request and extracts the message that it submits. Beast has parsed the HTTP before. No
// input or output is performed here.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "dispatch/dispatcher.hpp"
#include "message.hpp"
#include "settings_reader.hpp"

namespace message_relay {

using Request = boost::beast::http::request<boost::beast::http::string_body>;

// The message, or the reason for which the request is rejected.
struct ParsedRequest {
  Message message;
  unsigned rejection_status = 0;      // HTTP status of the response; 0 if the request is valid
  const char* rejection_reason = "";  // string literal for the log
};

// Checks the request against the configured classes and tenants. Moves the body from a valid request into the
// message.
[[nodiscard]] ParsedRequest parse_request(Request& request, const dispatch::Settings& settings,
                                          const configuration::SettingNames& names);

}  // namespace message_relay
