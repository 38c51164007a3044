// Incremental parser for one response of an endpoint. This is the only place that decides whether a response
// is malformed. It performs no input or output.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <optional>
#include <string>

#include "clock.hpp"
#include "dispatch/dispatcher.hpp"
#include "http_framing.hpp"

namespace message_relay {

// Whether the text starts with a status line with status 200. Returns nothing if the text is too short to
// tell.
std::optional<bool> status_line_is_ok(const std::string& text);

// Parses informational (1xx) responses and the final response that follows them.
class ResponseReader {
 public:
  enum class State {
    incomplete,  // more bytes are needed
    complete,
    malformed,  // the response cannot be parsed or exceeds a limit on its size
  };

  ResponseReader() { begin_response(); }

  // Parses further bytes that have arrived.
  [[nodiscard]] State append(const char* bytes, std::size_t size);
  // Tells the parser that the endpoint has closed the connection.
  [[nodiscard]] State finish();

  // The memory in bytes that the reader holds.
  [[nodiscard]] std::size_t memory_bytes() const;

  // Whether a part of the response has arrived. Informational responses that precede it do not count once
  // they are complete.
  bool has_started() const { return started_; }
  // Whether the status line has arrived with status 200.
  bool status_line_ok() const { return status_line_ok_.value_or(false); }
  // Whether the connection can be reused: the response is complete, no further bytes have followed it, and
  // the endpoint keeps the connection open.
  bool reusable() const { return complete_ && !has_excess_bytes_ && parser_->keep_alive(); }

  bool has_header() const { return parser_->is_header_done(); }
  // The members below require that has_header() is true.
  unsigned status() const { return parser_->get().result_int(); }
  // Whether the endpoint reports `X-Line-Busy: 1`.
  bool has_line_busy_header() const { return parser_->get()["X-Line-Busy"] == "1"; }
  const std::string& body() const { return parser_->get().body(); }
  // Returns the time in microseconds for which the endpoint asks not to be called; 0 if the header is missing
  // or its value is invalid or not positive.
  Time retry_after() const;
  // Returns the fields of the load report that the response carries; invalid ones are ignored.
  dispatch::LoadReport load_report() const;

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void begin_response();
  State parse_pending();
  void drop_pending(std::size_t size);
  bool is_informational() const;

  std::optional<Parser> parser_;
  std::string pending_;      // bytes that have arrived and are not parsed yet
  std::size_t counted_ = 0;  // bytes of pending_ that header_fields_ has been told
  HeaderFieldCounter header_fields_;
  std::optional<bool> status_line_ok_;
  int informational_count_ = 0;
  bool started_ = false;
  bool framing_checked_ = false;
  bool complete_ = false;
  bool has_excess_bytes_ = false;
};

}  // namespace message_relay
