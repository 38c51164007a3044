#include "response_reader.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "byte_buffer.hpp"
#include "http_framing.hpp"

namespace message_relay {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr int kMaxInformationalResponses = 16;
// Microseconds. A longer time is taken for an error of the endpoint.
constexpr Time kMaxRetryAfter = 3'600'000'000;
constexpr double kMicrosecondsPerMillisecond = 1000;

constexpr std::size_t kStatusOffset = 8;             // of " 200" in "HTTP/1.1 200 "
constexpr std::size_t kStatusLineCheckedBytes = 13;  // length of "HTTP/1.1 200 "

constexpr unsigned kFirstInformationalStatus = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kLastInformationalStatus = 199;

std::optional<double> parse_finite_number(beast::string_view text) {
  const char* const text_end = text.data() + text.size();
  double number = 0;
  const auto [end, error] = std::from_chars(text.data(), text_end, number);
  if (error != std::errc() || end != text_end || !std::isfinite(number)) return std::nullopt;
  return number;
}

// Adds one field such as "x0=0.4" to the report. Fields that are unknown or invalid are ignored.
void parse_load_field(beast::string_view field, dispatch::LoadReport& report) {
  const auto separator = field.find('=');
  if (separator == beast::string_view::npos) return;
  const auto name = field.substr(0, separator);
  const auto value = parse_finite_number(field.substr(separator + 1));
  if (!value || *value < 0) return;
  if (name == "x0") report.remaining_fraction = *value;
  if (name == "x1") report.rate_limit = *value;
}

}  // namespace

std::optional<bool> status_line_is_ok(const std::string& text) {
  const std::string version = "HTTP/1.";
  const auto compared = std::min(text.size(), version.size());
  if (text.compare(0, compared, version, 0, compared) != 0) return false;
  if (text.size() < kStatusLineCheckedBytes) return std::nullopt;
  const char after_status = text[kStatusLineCheckedBytes - 1];
  return text.compare(kStatusOffset, 4, " 200") == 0 && (after_status == ' ' || after_status == '\r');
}

void ResponseReader::begin_response() {
  parser_.emplace();
  parser_->header_limit(kMaxHeaderBytes);
  parser_->body_limit(kMaxBodyBytes);
  // Makes Beast parse header and body in separate calls. In a single call, Beast 1.74 loses the error for an
  // announced length over the limit and reserves memory for that length.
  parser_->eager(false);
  status_line_ok_.reset();
  started_ = false;
  framing_checked_ = false;
  header_fields_ = {};
  counted_ = 0;
}

std::size_t ResponseReader::memory_bytes() const {
  return heap_bytes(pending_) + parsed_bytes(parser_->get()) + heap_bytes(parser_->get().body());
}

void ResponseReader::drop_pending(std::size_t size) {
  erase_front(pending_, size);
  counted_ -= std::min(size, counted_);
}

ResponseReader::State ResponseReader::append(const char* bytes, std::size_t size) {
  append_exactly(pending_, {bytes, size});
  while (!pending_.empty()) {
    const State state = parse_pending();
    if (state != State::complete) return state;
    if (!is_informational()) {
      complete_ = true;
      has_excess_bytes_ = !pending_.empty();
      return State::complete;
    }
    // No request asks the endpoint to switch protocols, so status 101 is malformed.
    informational_count_++;
    if (status() == kSwitchingProtocols || informational_count_ > kMaxInformationalResponses)
      return State::malformed;
    begin_response();
  }
  return State::incomplete;
}

// Parses up to the end of one response, which may be an informational one.
ResponseReader::State ResponseReader::parse_pending() {
  while (!pending_.empty()) {
    started_ = true;
    // Nothing is parsed before the complete status line has arrived, so until its status is known the line is
    // at the front of the pending bytes.
    if (!status_line_ok_) status_line_ok_ = status_line_is_ok(pending_);
    if (!header_fields_.add(std::string_view(pending_).substr(counted_))) return State::malformed;
    counted_ = pending_.size();
    beast::error_code error;
    const std::size_t parsed = parser_->put(boost::asio::buffer(pending_), error);
    drop_pending(parsed);
    if (parser_->is_header_done() && !framing_checked_) {
      framing_checked_ = true;
      if (!has_unambiguous_framing(parser_->get(), parser_->get().version())) return State::malformed;
    }
    if (error == http::error::need_more)
      return pending_.size() > kMaxHeaderBytes ? State::malformed : State::incomplete;
    if (error) return State::malformed;
    if (parser_->is_done()) return State::complete;
    if (parsed == 0) return State::incomplete;
  }
  return State::incomplete;
}

bool ResponseReader::is_informational() const {
  return status() >= kFirstInformationalStatus && status() <= kLastInformationalStatus;
}

ResponseReader::State ResponseReader::finish() {
  if (!parser_->is_header_done()) return State::malformed;
  beast::error_code error;
  parser_->put_eof(error);
  return !error && parser_->is_done() ? State::complete : State::malformed;
}

Time ResponseReader::retry_after() const {
  const auto milliseconds = parse_finite_number(parser_->get()["X-Come-Back-Ms"]);
  if (!milliseconds || *milliseconds <= 0) return 0;
  return static_cast<Time>(
      std::min(*milliseconds * kMicrosecondsPerMillisecond, static_cast<double>(kMaxRetryAfter)));
}

// Parses a header such as "x0=0.4,x1=25".
dispatch::LoadReport ResponseReader::load_report() const {
  dispatch::LoadReport report;
  const auto text = parser_->get()["X-Load"];
  for (std::size_t start = 0; start < text.size();) {
    const auto end = std::min(text.find(',', start), text.size());
    parse_load_field(text.substr(start, end - start), report);
    start = end + 1;
  }
  return report;
}

}  // namespace message_relay
