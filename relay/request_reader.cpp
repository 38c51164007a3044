#include "request_reader.hpp"

#include <boost/asio/buffer.hpp>
#include <utility>

#include "byte_buffer.hpp"

namespace message_relay {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace {

// The longest chunked request with its header and framing, in bytes.
constexpr std::size_t kMaxChunkedRequestBytes = kMaxHeaderBytes + 3 * kMaxBodyBytes;

}  // namespace

void RequestReader::begin() {
  parsed_ = 0;
  counted_ = 0;
  header_memory_ = 0;
  header_complete_ = false;
  expect_continue_ = false;
  header_fields_ = {};
  parser_.emplace();
  parser_->header_limit(kMaxHeaderBytes);
  parser_->body_limit(kMaxBodyBytes);
  // Makes Beast parse header and body in separate calls, so that the header is checked first.
  parser_->eager(false);
}

void RequestReader::append(std::string_view bytes) { append_exactly(received_, bytes); }

RequestReader::State RequestReader::parse() {
  if (!header_complete_) {
    const State state = parse_header();
    if (!header_complete_ || state != State::complete) return state;
  }
  return parse_body();
}

// Passes the bytes that have not been parsed to the parser. Returns how many it has taken.
std::size_t RequestReader::put_in_parser(error_code& error) {
  const auto unparsed = net::buffer(received_) + parsed_;
  if (unparsed.size() == 0) return 0;
  const std::size_t taken = parser_->put(unparsed, error);
  parsed_ += taken;
  if (error == http::error::need_more) error.clear();
  return taken;
}

// Returns State::complete once the header is complete and sound.
RequestReader::State RequestReader::parse_header() {
  const std::string_view uncounted = std::string_view(received_).substr(counted_);
  counted_ = received_.size();
  if (!header_fields_.add(uncounted)) return State::too_many_fields;
  error_code error;
  put_in_parser(error);
  if (error == http::error::body_limit) return State::body_too_large;
  if (error) return State::malformed;
  if (!parser_->is_header_done()) return State::incomplete;
  header_complete_ = true;
  const auto& header = parser_->get();
  header_memory_ = parsed_bytes(header);
  if (!has_unambiguous_framing(header, header.version())) return State::ambiguous_framing;
  const bool body_has_arrived = received_.size() > parsed_;
  expect_continue_ = beast::iequals(header[http::field::expect], "100-continue") && !body_has_arrived;
  return State::complete;
}

// Before the whole body has arrived, only a chunked one is parsed. Otherwise it would be in memory twice.
RequestReader::State RequestReader::parse_body() {
  const auto length = parser_->content_length();
  if (length && received_.size() - parsed_ < *length) return State::incomplete;
  error_code error;
  while (!parser_->is_done() && !error)
    if (put_in_parser(error) == 0) break;
  if (error == http::error::body_limit) return State::body_too_large;
  if (error) return State::malformed;
  if (parser_->is_done()) return State::complete;
  return received_.size() > kMaxChunkedRequestBytes ? State::body_too_large : State::incomplete;
}

bool RequestReader::take_expect_continue() { return std::exchange(expect_continue_, false); }

void RequestReader::finish_request() {
  parser_.reset();
  header_memory_ = 0;
  erase_front(received_, std::exchange(parsed_, 0));
}

void RequestReader::reset() {
  parser_.reset();
  header_memory_ = 0;
  parsed_ = 0;
  release_buffer(received_);
}

std::string RequestReader::take_received() { return std::exchange(received_, {}); }

std::size_t RequestReader::memory_bytes() const {
  std::size_t bytes = heap_bytes(received_);
  if (!parser_) return bytes;
  // Until the header is complete, its fields hold at most what has been parsed and their own overhead.
  const std::size_t header = header_complete_ ? header_memory_ : parsed_bytes(parser_->get());
  return bytes + header + heap_bytes(parser_->get().body());
}

}  // namespace message_relay
