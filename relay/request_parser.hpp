// Validates a client's request and reads the message it submits. Beast has parsed the HTTP; no input or
// output here.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "dispatch/dispatcher.hpp"
#include "message.hpp"
#include "settings_reader.hpp"

namespace message_relay {

using Request = boost::beast::http::request<boost::beast::http::string_body>;

// The message, or why the request is rejected.
struct ParsedRequest {
  Message message;
  unsigned rejection_status = 0;      // the HTTP status to answer; 0: the request is valid
  const char* rejection_reason = "";  // for the log; a literal
};

// Moves the body from the request into the message.
[[nodiscard]] ParsedRequest parse_request(Request& request, const dispatch::Settings& settings,
                                          const configuration::SettingNames& names);

}  // namespace message_relay
