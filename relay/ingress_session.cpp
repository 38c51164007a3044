#include "ingress_session.hpp"

#include <algorithm>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <string>
#include <utility>

#include "request_parser.hpp"

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
constexpr unsigned kStatusPayloadTooLarge = 413;
constexpr unsigned kStatusUnavailable = 503;

std::string format_seconds(Time microseconds) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", static_cast<double>(microseconds) * 1e-6);
  return text;
}

// Whether the error means that the connection was closed or lost, not that the request cannot be parsed.
bool is_disconnection(error_code error) {
  return error == http::error::end_of_stream || error == http::error::partial_message ||
         error.category() == net::error::get_system_category() ||
         error.category() == net::error::get_misc_category();
}

}  // namespace

IngressServer::Session::Session(IngressServer& server, tcp::socket socket)
    : server_(server), socket_(std::move(socket)), timer_(server.io_) {}

// ---- Connection. ----

void IngressServer::Session::start(bool served_before, Time idle_since) {
  served_before_ = served_before;
  stage_since_ = idle_since;
  const auto elapsed = std::chrono::microseconds(steady_now() - idle_since);
  set_timeout((served_before ? kIdleTimeout : kRequestTimeout) - elapsed);
  wait_for_request();
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
  if (has_unread_bytes() && stage_ != Stage::lingering) return false;
  close();
  return true;
}

void IngressServer::Session::drain() {
  if (is_idle() && !has_unread_bytes()) close();
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

bool IngressServer::Session::has_unread_bytes() const {
  error_code error;
  return socket_.available(error) > 0;
}

void IngressServer::Session::set_timeout(std::chrono::microseconds timeout) {
  timer_.expires_after(timeout);
  timer_.async_wait([self = shared_from_this()](error_code error) {
    if (error || self->closed_) return;
    if (!self->is_idle()) self->server_.rejections_.count("request timed out");
    self->close();
  });
}

// ---- Reading. ----

// The first request of a new connection is waited for even while draining, because it may already be on its
// way.
void IngressServer::Session::wait_for_request() {
  stage_ = Stage::idle;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
    if (error || self->closed_) return self->close();
    // The timeout of the first request has been running since the connection was accepted.
    if (self->served_before_) self->set_timeout(kRequestTimeout);
    self->stage_since_ = steady_now();
    self->read_header();
  });
}

void IngressServer::Session::begin_next_request() {
  served_before_ = true;
  stage_since_ = steady_now();
  parser_.reset();
  release_body_memory();
  if (buffer_.size() > 0) {
    set_timeout(kRequestTimeout);
    return read_header();
  }
  buffer_ = Buffer(kMaxBufferBytes);  // frees the memory of the buffer while the connection is idle
  if (server_.draining_) return close();
  set_timeout(kIdleTimeout);
  wait_for_request();
}

void IngressServer::Session::read_header() {
  stage_ = Stage::reading;
  parser_.emplace();
  parser_->header_limit(kMaxHeaderBytes);
  parser_->body_limit(kMaxBodyBytes);
  http::async_read_header(socket_, buffer_, *parser_,
                          [self = shared_from_this()](error_code error, std::size_t) {
                            if (self->closed_) return;
                            if (error) return self->handle_read_error(error);
                            self->process_header();
                          });
}

void IngressServer::Session::process_header() {
  const auto& header = parser_->get();
  if (!has_unambiguous_framing(header, header.version()))
    return reject(kStatusBadRequest, "ambiguous framing");
  if (!reserve_body_memory()) return reject(kStatusUnavailable, "no memory for the body");
  if (beast::iequals(header[http::field::expect], "100-continue"))
    send_continue();
  else
    read_body();
}

void IngressServer::Session::send_continue() {
  const auto response =
      std::make_shared<http::response<http::empty_body>>(http::status::continue_, kHttpVersion);
  http::async_write(socket_, *response, [self = shared_from_this(), response](error_code error, std::size_t) {
    if (self->closed_) return;
    if (error) return self->close();
    self->read_body();
  });
}

void IngressServer::Session::read_body() {
  http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code error, std::size_t) {
    if (self->closed_) return;
    if (error) return self->handle_read_error(error);
    self->process_request();
  });
}

// Reserves memory for the body. Returns false if all bodies together would exceed the limit. Guards against
// many clients that send large bodies slowly.
bool IngressServer::Session::reserve_body_memory() {
  std::size_t needed = 0;
  if (const auto length = parser_->content_length())
    needed = static_cast<std::size_t>(*length);
  else if (parser_->chunked())
    needed = kMaxBodyBytes;
  if (server_.body_bytes_ + needed > server_.limits_.max_body_bytes) return false;
  server_.body_bytes_ += needed;
  reserved_body_bytes_ += needed;
  return true;
}

void IngressServer::Session::release_body_memory() {
  server_.body_bytes_ -= std::exchange(reserved_body_bytes_, 0);
}

// Answers a request that cannot be parsed, but not an incomplete one whose client has disconnected.
void IngressServer::Session::handle_read_error(error_code error) {
  if (is_disconnection(error)) return close();
  const bool too_large = error == http::error::body_limit;
  reject(too_large ? kStatusPayloadTooLarge : kStatusBadRequest, "malformed request");
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
  response_ = {};
  response_.version(kHttpVersion);
  response_.result(response.status);
  if (response.retry_after > 0) response_.set(http::field::retry_after, format_seconds(response.retry_after));
  if (response.status == kStatusMethodNotAllowed) response_.set(http::field::allow, "POST");
  // Near capacity, connections are closed after the response. Guards against clients that send one request
  // and keep the connection open, so that none is left for other clients.
  close_after_response_ = close_after_response_ || server_.draining_ || server_.is_near_capacity();
  response_.keep_alive(!close_after_response_);
  response_.prepare_payload();
  set_timeout(kResponseTimeout);
  http::async_write(socket_, response_, [self = shared_from_this()](error_code error, std::size_t) {
    if (self->closed_) return;
    if (error) return self->close();
    self->finish_response();
  });
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
  stage_ = Stage::lingering;
  set_timeout(kLingerTimeout);
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  discard_input();
}

void IngressServer::Session::discard_input() {
  buffer_.clear();
  socket_.async_read_some(buffer_.prepare(kMaxHeaderBytes),
                          [self = shared_from_this()](error_code error, std::size_t size) {
                            if (self->closed_) return;
                            self->discarded_bytes_ += size;
                            if (error || self->discarded_bytes_ > kMaxLingerBytes) return self->close();
                            self->discard_input();
                          });
}

}  // namespace message_relay
