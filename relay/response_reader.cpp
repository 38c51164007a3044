#include "response_reader.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "http_framing.hpp"

namespace message_relay {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr int kMaxInformationalResponses = 16;
constexpr Time kMaxRetryAfter = 3'600'000'000;  // microseconds; a longer one is an endpoint's mistake
constexpr double kMicrosecondsPerMillisecond = 1000;

constexpr std::size_t kStatusOffset = 8;  // in "HTTP/1.1 200 "
constexpr std::size_t kStatusLineStartBytes = 13;

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

// Takes over one field of a load report, "x0=0.4"; others are ignored.
void read_load_field(beast::string_view field, dispatch::LoadReport& report) {
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
  if (text.size() < kStatusLineStartBytes) return std::nullopt;
  const char after_status = text[kStatusLineStartBytes - 1];
  return text.compare(kStatusOffset, 4, " 200") == 0 && (after_status == ' ' || after_status == '\r');
}

void ResponseReader::begin_response() {
  parser_.emplace();
  parser_->header_limit(kMaxHeaderBytes);
  parser_->body_limit(kMaxBodyBytes);
  // Head and body are parsed in separate calls: in one call, Beast 1.74 forgets that the announced length is
  // over the limit and reserves it.
  parser_->eager(false);
  status_line_ok_.reset();
  started_ = false;
  framing_checked_ = false;
}

ResponseReader::State ResponseReader::append(const char* bytes, std::size_t size) {
  pending_.append(bytes, size);
  while (!pending_.empty()) {
    const State state = parse_pending();
    if (state != State::complete) return state;
    if (!is_informational()) {
      complete_ = true;
      has_excess_bytes_ = !pending_.empty();
      return State::complete;
    }
    // No request asks for a switch of protocols.
    informational_count_++;
    if (status() == kSwitchingProtocols || informational_count_ > kMaxInformationalResponses)
      return State::malformed;
    begin_response();
  }
  return State::incomplete;
}

// Parses up to the end of one response, informational ones included.
ResponseReader::State ResponseReader::parse_pending() {
  while (!pending_.empty()) {
    started_ = true;
    // Nothing is parsed before the status line has arrived, so it is at the front until it is known.
    if (!status_line_ok_) status_line_ok_ = status_line_is_ok(pending_);
    beast::error_code error;
    const std::size_t parsed = parser_->put(boost::asio::buffer(pending_), error);
    pending_.erase(0, parsed);
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

// From a header such as "x0=0.4,x1=25".
dispatch::LoadReport ResponseReader::load_report() const {
  dispatch::LoadReport report;
  const auto text = parser_->get()["X-Load"];
  for (std::size_t start = 0; start < text.size();) {
    const auto end = std::min(text.find(',', start), text.size());
    read_load_field(text.substr(start, end - start), report);
    start = end + 1;
  }
  return report;
}

}  // namespace message_relay
