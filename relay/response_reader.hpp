// Parses one response of an endpoint as it arrives. The one place that decides whether a response is
// malformed. No input or output here.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>

#include "clock.hpp"
#include "dispatch/dispatcher.hpp"

namespace message_relay {

// Whether the status line at the start of this text says 200; nothing where too little has come to tell.
std::optional<bool> status_line_is_ok(const std::string& text);

class ResponseReader {
 public:
  enum class State {
    incomplete,  // more is to come
    complete,
    malformed,  // it can't be parsed, or exceeds the size limits
  };

  ResponseReader() { begin_response(); }

  // Adds what has arrived.
  [[nodiscard]] State append(const char* bytes, std::size_t size);
  // The endpoint has closed the connection.
  [[nodiscard]] State finish();

  // Whether a part of the response has arrived; informational (1xx) responses before it don't count.
  bool has_started() const { return started_; }
  bool status_line_ok() const { return status_line_ok_.value_or(false); }
  // Whether the next response on the connection is that to the next request: this one is complete, and
  // nothing came behind it.
  bool reusable() const { return complete_ && !has_excess_bytes_ && parser_->keep_alive(); }

  bool has_head() const { return parser_->is_header_done(); }
  // The members below need the head.
  unsigned status() const { return parser_->get().result_int(); }
  bool line_busy() const { return parser_->get()["X-Line-Busy"] == "1"; }
  const std::string& body() const { return parser_->get().body(); }
  // How long the endpoint asks not to be called, in microseconds; 0: not at all, or no usable value.
  Time retry_after() const;
  dispatch::LoadReport load_report() const;

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void begin_response();
  State parse_pending();
  bool is_informational() const;

  std::optional<Parser> parser_;
  std::string pending_;  // arrived but not parsed yet
  std::optional<bool> status_line_ok_;
  int informational_count_ = 0;  // 1xx responses
  bool started_ = false;
  bool framing_checked_ = false;
  bool complete_ = false;
  bool has_excess_bytes_ = false;
};

}  // namespace message_relay
