#include "ingress_session.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <sstream>
#include <utility>

#include "request_parser.hpp"
#include "socket_io.hpp"

namespace message_relay {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = net::ip::tcp;

namespace {

// Time limit for a complete request: counted from accepting the connection for the first request, and from
// the first byte for each later one. Guards against incomplete requests and silent clients, which would hold
// file descriptors.
constexpr std::chrono::microseconds kRequestTimeout = std::chrono::milliseconds(2500);
constexpr std::chrono::microseconds kResponseTimeout = std::chrono::seconds(2);  // to write a response
constexpr std::chrono::microseconds kIdleTimeout = std::chrono::seconds(60);
// Time in microseconds for which a connection must have been idle to be closed when the server is near
// capacity.
constexpr Time kMinIdleTime = 2'000'000;
constexpr std::chrono::microseconds kLingerTimeout = std::chrono::seconds(1);
constexpr std::size_t kMaxLingerBytes = 1 << 20;
// Microseconds. Ranks connections without a complete request before all that have had one.
constexpr Time kUnservedRankOffset = 3'600'000'000;
constexpr Time kOverloadRetryAfter = 500'000;  // microseconds, for requests rejected for lack of memory

constexpr unsigned kHttpVersion = 11;
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusBadRequest = 400;
constexpr unsigned kStatusMethodNotAllowed = 405;
constexpr unsigned kStatusRequestTimeout = 408;
constexpr unsigned kStatusPayloadTooLarge = 413;
constexpr unsigned kStatusUnavailable = 503;

std::string format_seconds(Time microseconds) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", static_cast<double>(microseconds) * 1e-6);
  return text;
}

// The size of the reads, in bytes.
constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
// The longest chunked request with its header and framing, in bytes.
constexpr std::size_t kMaxChunkedRequestBytes = kMaxHeaderBytes + 3 * kMaxBodyBytes;

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

}  // namespace

IngressServer::Session::Session(IngressServer& server, tcp::socket socket)
    : server_(server), socket_(std::move(socket)), timer_(server.io_) {}

// ---- Connection. ----

void IngressServer::Session::start(const ClientConnection& connection) {
  served_before_ = connection.served_before;
  stage_since_ = connection.idle_since;
  received_ = connection.received_bytes;
  error_code error;
  socket_.non_blocking(true, error);
  if (error) return close();
  const Time longest = std::chrono::microseconds(served_before_ ? kIdleTimeout : kRequestTimeout).count();
  set_timeout_at(connection.timeout_at > 0 ? connection.timeout_at : connection.idle_since + longest);
  if (received_.empty()) return wait_for_request();
  begin_received_request();
}

bool IngressServer::Session::is_active() const { return !is_idle() || has_unread_bytes(socket_); }

ClientConnection IngressServer::Session::handover_state() {
  return {.socket = socket_.native_handle(),
          .served_before = served_before_,
          .idle_since = stage_since_,
          .timeout_at = timeout_at_,
          .received_bytes = received_};
}

Time IngressServer::Session::eviction_rank() const {
  if (stage_ == Stage::lingering) return -kNotEvictable;
  if (stage_ == Stage::responding) return kNotEvictable;
  return served_before_ ? stage_since_ : stage_since_ - kUnservedRankOffset;
}

bool IngressServer::Session::is_evictable_early(Time now) const {
  return is_idle() && served_before_ && now >= stage_since_ + kMinIdleTime;
}

bool IngressServer::Session::evict() {
  if (has_unread_bytes(socket_) && stage_ != Stage::lingering) return false;
  if (stage_ == Stage::reading) write_rejection();
  close();
  return true;
}

void IngressServer::Session::drain() {
  if (is_idle() && !has_unread_bytes(socket_)) close();
}

void IngressServer::Session::reject_and_close() {
  if (closed_) return;
  const bool may_have_request = can_be_handed_over();
  // A close over unread bytes would reset the connection, and the client would lose the rejection.
  while (may_have_request && received_.size() < kMaxLingerBytes)
    if (read_arrived_bytes() != ReadResult::some) break;
  if (may_have_request && !received_.empty()) write_rejection();
  close();
}

// Tells the client that its request was not accepted, as far as the kernel takes the response at once.
void IngressServer::Session::write_rejection() {
  const std::string response = format_response(kStatusUnavailable, kOverloadRetryAfter, false);
  static_cast<void>(write_available(socket_, net::buffer(response)));
}

void IngressServer::Session::close() {
  if (closed_) return;
  closed_ = true;
  error_code ignored;
  timer_.cancel();
  socket_.shutdown(tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  release_body_memory();
  server_.sessions_.erase(shared_from_this());
}

void IngressServer::Session::set_timeout(std::chrono::microseconds timeout) {
  set_timeout_at(steady_now() + timeout.count());
}

void IngressServer::Session::set_timeout_at(Time when) {
  timeout_at_ = when;
  timer_.expires_after(std::chrono::microseconds(std::max<Time>(when - steady_now(), 0)));
  timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error && !self->closed_) self->on_timeout();
  });
}

// The handler that reads what has arrived may not have run yet, for example after a stall of the process. So
// that is read first.
void IngressServer::Session::on_timeout() {
  if (steady_now() < timeout_at_) return;  // the timeout was set anew after this handler was queued
  const bool has_input = has_unread_bytes(socket_);
  if (is_idle() && has_input) return set_timeout(kRequestTimeout);
  if (is_idle()) return close();
  if (stage_ == Stage::reading && has_input) {
    read_request();
    if (closed_ || stage_ != Stage::reading) return;
  }
  server_.rejections_.count("request timed out");
  if (stage_ != Stage::reading) return close();
  reject(kStatusRequestTimeout, "request incomplete");
}

// ---- Reading. ----

// The first request of a new connection is waited for even while draining, because it may already be on its
// way.
void IngressServer::Session::wait_for_request() {
  stage_ = Stage::idle;
  wait_until_readable();
}

void IngressServer::Session::wait_until_readable() {
  if (waits_for_input_) return;
  waits_for_input_ = true;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
    self->waits_for_input_ = false;
    if (self->closed_) return;
    if (error) return self->close();
    if (self->is_idle()) {
      // The timeout of the first request has been running since the connection was accepted.
      if (self->served_before_) self->set_timeout(kRequestTimeout);
      self->stage_since_ = steady_now();
      self->prepare_parser();
      self->read_request();
    } else if (self->stage_ == Stage::reading) {
      self->read_request();
    }
  });
}

void IngressServer::Session::begin_next_request() {
  served_before_ = true;
  stage_since_ = steady_now();
  parser_.reset();
  release_body_memory();
  received_.erase(0, parsed_);
  parsed_ = 0;
  if (!received_.empty()) {
    set_timeout(kRequestTimeout);
    return begin_received_request();
  }
  received_ = std::string();  // frees its memory while the connection is idle
  if (server_.draining_) return close();
  set_timeout(kIdleTimeout);
  wait_for_request();
}

// Continues with a request of which a part has been read already. It is not parsed at once: many requests
// that arrived together would be nested in each other.
void IngressServer::Session::begin_received_request() {
  prepare_parser();
  net::post(server_.io_, [self = shared_from_this()] {
    if (!self->closed_ && self->stage_ == Stage::reading) self->read_request();
  });
}

void IngressServer::Session::prepare_parser() {
  stage_ = Stage::reading;
  parsed_ = 0;
  header_processed_ = false;
  parser_.emplace();
  parser_->header_limit(kMaxHeaderBytes);
  parser_->body_limit(kMaxBodyBytes);
  // Makes Beast parse header and body in separate calls, so that the header is checked first.
  parser_->eager(false);
}

// Reads and parses until the request is complete or nothing more has arrived.
void IngressServer::Session::read_request() {
  while (parse() == ParseResult::incomplete) {
    const ReadResult result = read_arrived_bytes();
    if (result == ReadResult::disconnected) return close();
    if (result == ReadResult::nothing) return wait_until_readable();
  }
}

IngressServer::Session::ReadResult IngressServer::Session::read_arrived_bytes() {
  std::array<char, kReadBytes> buffer;
  const IoResult result = read_available(socket_, net::buffer(buffer));
  if (result.would_block()) return ReadResult::nothing;
  if (result.error) return ReadResult::disconnected;
  received_.append(buffer.data(), result.bytes);
  return ReadResult::some;
}

IngressServer::Session::ParseResult IngressServer::Session::parse() {
  if (!header_processed_ && parse_header() == ParseResult::handled) return ParseResult::handled;
  return header_processed_ ? parse_body() : ParseResult::incomplete;
}

// Passes the bytes that have not been parsed to the parser. Returns how many it has taken.
std::size_t IngressServer::Session::put_in_parser(error_code& error) {
  const auto unparsed = net::buffer(received_) + parsed_;
  if (unparsed.size() == 0) return 0;
  const std::size_t taken = parser_->put(unparsed, error);
  parsed_ += taken;
  if (error == http::error::need_more) error.clear();
  return taken;
}

IngressServer::Session::ParseResult IngressServer::Session::parse_header() {
  error_code error;
  put_in_parser(error);
  if (error) {
    reject_unparsable(error);
    return ParseResult::handled;
  }
  if (!parser_->is_header_done()) return ParseResult::incomplete;
  header_processed_ = true;
  const auto& header = parser_->get();
  if (!has_unambiguous_framing(header, header.version())) {
    reject(kStatusBadRequest, "ambiguous framing");
    return ParseResult::handled;
  }
  // A chunked body is in memory twice: as received and as parsed.
  const std::uint64_t chunked_bytes = kMaxChunkedRequestBytes + kMaxBodyBytes;
  const std::uint64_t body_bytes = parser_->content_length().value_or(parser_->chunked() ? chunked_bytes : 0);
  if (!reserve_body_memory(static_cast<std::size_t>(body_bytes))) {
    reject(kStatusUnavailable, "no memory for the body");
    return ParseResult::handled;
  }
  const bool body_has_arrived = received_.size() > parsed_;
  if (beast::iequals(header[http::field::expect], "100-continue") && !body_has_arrived) send_continue();
  return ParseResult::incomplete;
}

// Before the whole body has arrived, only a chunked one is parsed. Otherwise it would be in memory twice.
IngressServer::Session::ParseResult IngressServer::Session::parse_body() {
  const auto length = parser_->content_length();
  if (length && received_.size() - parsed_ < *length) return ParseResult::incomplete;
  error_code error;
  while (!parser_->is_done() && !error)
    if (put_in_parser(error) == 0) break;
  if (!error && !parser_->is_done() && received_.size() > kMaxChunkedRequestBytes)
    error = http::error::body_limit;
  if (error) {
    reject_unparsable(error);
    return ParseResult::handled;
  }
  if (!parser_->is_done()) return ParseResult::incomplete;
  process_request();
  return ParseResult::handled;
}

void IngressServer::Session::reject_unparsable(error_code error) {
  const bool too_large = error == http::error::body_limit;
  reject(too_large ? kStatusPayloadTooLarge : kStatusBadRequest, "malformed request");
}

// The response is short, and nothing has been written to the connection that the client has not read.
void IngressServer::Session::send_continue() {
  const std::string response = "HTTP/1.1 100 Continue\r\n\r\n";
  static_cast<void>(write_available(socket_, net::buffer(response)));
}

// Reserves memory for the body. Returns false if all bodies together would exceed the limit. Guards against
// many clients that send large bodies slowly.
bool IngressServer::Session::reserve_body_memory(std::size_t bytes) {
  if (server_.body_bytes_ + bytes > server_.limits_.max_body_bytes) return false;
  server_.body_bytes_ += bytes;
  reserved_body_bytes_ += bytes;
  return true;
}

void IngressServer::Session::release_body_memory() {
  server_.body_bytes_ -= std::exchange(reserved_body_bytes_, 0);
}

// ---- Responses. ----

void IngressServer::Session::process_request() {
  stage_ = Stage::responding;
  timer_.cancel();
  auto& request = parser_->get();
  close_after_response_ = !request.keep_alive();
  if (request.target() == "/_health") return answer_health_check();
  ParsedRequest parsed = parse_request(request, server_.settings_, server_.names_);
  if (parsed.rejection_status > 0) return reject(parsed.rejection_status, parsed.rejection_reason);
  server_.on_message_(std::move(parsed.message), [self = shared_from_this()](const ClientResponse& response) {
    if (response.rejection_reason.empty())
      self->respond(response);
    else
      self->reject(response.status, response.rejection_reason.data());
  });
}

void IngressServer::Session::answer_health_check() {
  const auto method = parser_->get().method();
  if (method != http::verb::get && method != http::verb::head)
    return reject(kStatusMethodNotAllowed, "method not allowed");
  respond({server_.is_ready_() ? kStatusOk : kStatusUnavailable, 0});
}

// Rejects the request and closes the connection: the bytes that follow are not read as another request.
void IngressServer::Session::reject(unsigned status, const char* reason) {
  server_.rejections_.count(reason);
  stage_ = Stage::responding;
  close_after_response_ = true;
  linger_after_response_ = true;
  respond({status, status == kStatusUnavailable ? kOverloadRetryAfter : 0});
}

void IngressServer::Session::respond(const ClientResponse& response) {
  if (closed_) return;
  // Near capacity, connections are closed after the response. Guards against clients that send one request
  // and keep the connection open, so that none is left for other clients.
  close_after_response_ = close_after_response_ || server_.draining_ || server_.is_near_capacity();
  unwritten_response_ = format_response(response.status, response.retry_after, !close_after_response_);
  set_timeout(kResponseTimeout);
  write_response();
}

void IngressServer::Session::write_response() {
  while (!unwritten_response_.empty()) {
    const IoResult result = write_available(socket_, net::buffer(unwritten_response_));
    if (result.would_block()) {
      socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code error) {
        if (self->closed_) return;
        if (error) return self->close();
        self->write_response();
      });
      return;
    }
    if (result.error) return close();
    unwritten_response_.erase(0, result.bytes);
  }
  finish_response();
}

void IngressServer::Session::finish_response() {
  if (!close_after_response_) return begin_next_request();
  if (!linger_after_response_) return close();
  begin_lingering();
}

// Guards against a reset: closing the connection before the remaining request is read would reset it, and the
// client would lose the response.
void IngressServer::Session::begin_lingering() {
  release_body_memory();
  parser_.reset();
  received_ = std::string();
  stage_ = Stage::lingering;
  set_timeout(kLingerTimeout);
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  discard_input();
}

void IngressServer::Session::discard_input() {
  const ReadResult result = read_arrived_bytes();
  discarded_bytes_ += received_.size();
  received_.clear();
  if (result == ReadResult::disconnected || discarded_bytes_ > kMaxLingerBytes) return close();
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
    if (self->closed_) return;
    if (error) return self->close();
    self->discard_input();
  });
}

}  // namespace message_relay
