#include "ingress_response.hpp"

#include <boost/beast/http.hpp>
#include <cstdio>
#include <sstream>

#include "http_status.hpp"

namespace message_relay {

namespace http = boost::beast::http;

namespace {

constexpr unsigned kHttpVersion = 11;

std::string format_seconds(Time microseconds) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", static_cast<double>(microseconds) * 1e-6);
  return text;
}

}  // namespace

ReadError error_of(RequestReader::State state) {
  switch (state) {
    case RequestReader::State::body_too_large:
      return {kStatusPayloadTooLarge, "body too large"};
    case RequestReader::State::too_many_fields:
      return {kStatusHeaderTooLarge, "too many header fields"};
    case RequestReader::State::ambiguous_framing:
      return {kStatusBadRequest, "ambiguous framing"};
    default:
      return {kStatusBadRequest, "malformed request"};
  }
}

std::string format_response(unsigned status, Time retry_after, bool keep_alive) {
  http::response<http::empty_body> response(static_cast<http::status>(status), kHttpVersion);
  if (retry_after > 0) response.set(http::field::retry_after, format_seconds(retry_after));
  if (status == kStatusMethodNotAllowed) response.set(http::field::allow, "POST");
  response.keep_alive(keep_alive);
  response.prepare_payload();
  std::ostringstream text;
  text << response.base();
  return text.str();
}

}  // namespace message_relay
