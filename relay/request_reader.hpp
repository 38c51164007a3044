// Incremental reader of the requests that arrive on one connection. It performs no input or output.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "http_framing.hpp"
#include "request_parser.hpp"

namespace message_relay {

// Invariant: every byte of a request that is not complete is in received(), so that another process can
// continue with it.
class RequestReader {
 public:
  enum class State {
    incomplete,  // more bytes are needed
    complete,
    malformed,
    body_too_large,
    too_many_fields,
    ambiguous_framing,  // the end of the request is unclear
  };

  // Begins to read a request. The bytes that followed the previous one belong to it.
  void begin();
  void append(std::string_view bytes);
  // Parses what has arrived.
  [[nodiscard]] State parse();
  // Whether the client waits for "100 Continue" before it sends the body. Returns true once at most.
  [[nodiscard]] bool take_expect_continue();
  // The request. Only once parse() has returned State::complete.
  [[nodiscard]] Request& request() { return parser_->get(); }
  // Whether bytes have been read that follow the request. Only once parse() has returned State::complete.
  [[nodiscard]] bool has_more_than_request() const { return received_.size() > parsed_; }
  // Drops the current request, and keeps the bytes that follow it.
  void finish_request();
  // Drops everything.
  void reset();

  // The bytes that have arrived, from the beginning of the current request.
  [[nodiscard]] const std::string& received() const { return received_; }
  [[nodiscard]] std::string take_received();
  // Replaces the bytes that have arrived. begin() must follow.
  void restore(std::string received) { received_ = std::move(received); }
  // The memory in bytes that the reader holds.
  [[nodiscard]] std::size_t memory_bytes() const;

 private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  [[nodiscard]] State parse_header();
  [[nodiscard]] State parse_body();
  std::size_t put_in_parser(boost::system::error_code& error);

  std::string received_;
  std::size_t parsed_ = 0;   // bytes of received_ that the parser has taken
  std::size_t counted_ = 0;  // bytes of received_ that header_fields_ has been told
  HeaderFieldCounter header_fields_;
  std::optional<Parser> parser_;
  std::size_t header_memory_ = 0;  // of the parsed header, once it is complete
  bool header_complete_ = false;
  bool expect_continue_ = false;
};

}  // namespace message_relay
