#include "ingress_session.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/http/verb.hpp>
#include <string_view>
#include <utility>

#include "byte_buffer.hpp"
#include "http_status.hpp"
#include "ingress_response.hpp"
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

// The largest read, and what a connection may read in one turn, in bytes.
constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
// This many bytes of a request are read as soon as they arrive, enough for a short request. What follows them
// is read in turns, which all such connections share.
constexpr std::size_t kFirstReadBytes = std::size_t{4} * 1024;
// The number of turns that the longest request takes.
constexpr int kMaxTurnsOfRequest = 16;
// The time in microseconds for which clients wait for a response.
constexpr Time kClientPatience = 400'000;

}  // namespace

IngressServer::Session::Session(IngressServer& server, tcp::socket socket)
    : server_(server),
      socket_(std::move(socket)),
      timer_(server.io_),
      memory_(server.memory_, MemoryUse::requests),
      id_(server.next_connection_id_++) {
  server_.memory_.add_holder(*this);
}

// ---- Connection. ----

void IngressServer::Session::start(ClientConnection connection) {
  served_before_ = connection.served_before;
  stage_since_ = connection.idle_since;
  error_code error;
  socket_.non_blocking(true, error);
  if (error) return close("error");
  const Time longest = std::chrono::microseconds(served_before_ ? kIdleTimeout : kRequestTimeout).count();
  set_timeout_at(connection.timeout_at > 0 ? connection.timeout_at : connection.idle_since + longest);
  restore(std::move(connection));
}

bool IngressServer::Session::is_active() const { return !is_idle() || has_unread_bytes(socket_); }

std::tuple<bool, bool, bool, Time> IngressServer::Session::handover_rank() const {
  const bool stalled = stage_ == Stage::reading && steady_now() >= stage_since_ + kClientPatience;
  return {stalled, reader_.received().empty(), served_before_, -stage_since_};
}

ClientConnection IngressServer::Session::take_handover_state() {
  return {.socket = socket_.native_handle(),
          .served_before = served_before_,
          .idle_since = stage_since_,
          .timeout_at = timeout_at_,
          .received_bytes = reader_.take_received()};
}

void IngressServer::Session::restore(ClientConnection connection) {
  if (connection.received_bytes.empty()) return wait_for_request();
  reader_.restore(std::move(connection.received_bytes));
  begin_received_request();
}

Time IngressServer::Session::eviction_rank() const {
  if (stage_ == Stage::lingering) return -kNotEvictable;
  if (is_response_blocked() && steady_now() >= stage_since_ + kClientPatience) return -kNotEvictable + 1;
  if (stage_ == Stage::responding) return kNotEvictable;
  return served_before_ ? stage_since_ : stage_since_ - kUnservedRankOffset;
}

bool IngressServer::Session::is_evictable_early(Time now) const {
  return is_idle() && served_before_ && now >= stage_since_ + kMinIdleTime;
}

void IngressServer::Session::evict() {
  if (can_be_handed_over() && discard_arrived_bytes() > 0) write_rejection();
  close("evicted for another connection");
}

void IngressServer::Session::drain() {
  if (is_idle() && !has_unread_bytes(socket_)) close("drained");
}

void IngressServer::Session::reject_and_close() {
  if (closed_) return;
  if (can_be_handed_over() && discard_arrived_bytes() > 0) write_rejection();
  close("shutdown");
}

// A close over unread bytes would reset the connection, and the client would lose the rejection. Returns the
// number of bytes that have arrived, with those that had been read.
std::size_t IngressServer::Session::discard_arrived_bytes() {
  std::size_t bytes = reader_.received().size();
  reader_.reset();
  ReadResult result = ReadResult::some;
  while (result == ReadResult::some && bytes < kMaxLingerBytes) {
    result = read_arrived_bytes(kReadBytes);
    bytes += reader_.received().size();
    reader_.reset();
  }
  return bytes;
}

std::size_t IngressServer::Session::releasable_bytes() const {
  return stage_ == Stage::reading || is_response_blocked() ? memory_.bytes() : 0;
}

void IngressServer::Session::give_up_memory() {
  const auto self = shared_from_this();
  if (stage_ == Stage::reading) return reject(kStatusUnavailable, "no memory for the request");
  close("no memory for unread responses");
}

// Tells the client that its request was not accepted, as far as the kernel takes the response at once.
void IngressServer::Session::write_rejection() {
  const std::string response = format_response(kStatusUnavailable, kOverloadRetryAfter, false);
  static_cast<void>(write_available(socket_, net::buffer(response)));
}

void IngressServer::Session::close(const char* reason) {
  if (closed_) return;
  closed_ = true;
  server_.closes_.count(reason);
  error_code ignored;
  timer_.cancel();
  socket_.shutdown(tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  reader_.reset();
  release_buffer(unwritten_response_);
  memory_.resize(0);
  server_.memory_.remove_holder(*this);
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
  if (is_idle()) return close("idle");
  for (int i = 0; i < kMaxTurnsOfRequest && stage_ == Stage::reading && has_unread_bytes(socket_); i++) {
    read_request(kReadBytes);
    if (closed_ || stage_ != Stage::reading) return;
  }
  if (stage_ == Stage::lingering) return close("rejected");
  if (stage_ != Stage::reading) return close("response not read");
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
    if (error) return self->close("error");
    if (self->is_idle()) {
      // The timeout of the first request has been running since the connection was accepted.
      if (self->served_before_) self->set_timeout(kRequestTimeout);
      self->stage_since_ = steady_now();
      self->begin_reading();
      self->read_request(kFirstReadBytes);
    } else if (self->stage_ == Stage::reading && self->reader_.received().size() >= kFirstReadBytes) {
      self->request_turn();
    } else if (self->stage_ == Stage::reading) {
      self->read_request(kFirstReadBytes);
    }
  });
}

void IngressServer::Session::begin_next_request() {
  served_before_ = true;
  stage_since_ = steady_now();
  pipelined_ = !reader_.received().empty();
  if (pipelined_) {
    set_timeout(kRequestTimeout);
    return begin_received_request();
  }
  if (server_.draining_) return close("drained");
  set_timeout(kIdleTimeout);
  wait_for_request();
}

// Continues with a request of which a part has been read already. It is not parsed at once: many requests
// that arrived together would be nested in each other.
void IngressServer::Session::begin_received_request() {
  begin_reading();
  if (!charge_memory()) return reject(kStatusUnavailable, "no memory for the request");
  request_turn();
}

void IngressServer::Session::begin_reading() {
  stage_ = Stage::reading;
  reader_.begin();
}

void IngressServer::Session::request_turn() {
  if (std::exchange(waits_for_turn_, true)) return;
  server_.add_turn(shared_from_this());
}

void IngressServer::Session::take_turn() {
  waits_for_turn_ = false;
  if (closed_) return;
  if (stage_ == Stage::reading) read_request(kReadBytes);
  if (stage_ == Stage::lingering) discard_input();
}

// Reads and parses until the request is complete, nothing more has arrived or `max_bytes` have been read.
void IngressServer::Session::read_request(std::size_t max_bytes) {
  std::size_t bytes = 0;
  while (parse() == ParseResult::incomplete) {
    if (bytes >= max_bytes) return request_turn();
    const std::size_t before = reader_.received().size();
    const ReadResult result = read_arrived_bytes(max_bytes - bytes);
    bytes += reader_.received().size() - before;
    if (result == ReadResult::disconnected) return close("by the client");
    if (result == ReadResult::nothing) return wait_until_readable();
  }
}

IngressServer::Session::ReadResult IngressServer::Session::read_arrived_bytes(std::size_t max_bytes) {
  std::array<char, kReadBytes> buffer;
  const IoResult result = read_available(socket_, net::buffer(buffer, max_bytes));
  if (result.would_block()) return ReadResult::nothing;
  if (result.error) return ReadResult::disconnected;
  reader_.append({buffer.data(), result.bytes});
  return ReadResult::some;
}

IngressServer::Session::ParseResult IngressServer::Session::parse() {
  const RequestReader::State state = reader_.parse();
  if (state != RequestReader::State::incomplete && state != RequestReader::State::complete) {
    const ReadError error = error_of(state);
    reject(error.status, error.reason);
    return ParseResult::handled;
  }
  if (!charge_memory()) {
    reject(kStatusUnavailable, "no memory for the request");
    return ParseResult::handled;
  }
  if (state == RequestReader::State::complete) {
    process_request();
    return ParseResult::handled;
  }
  if (reader_.take_expect_continue()) send_continue();
  return ParseResult::incomplete;
}

// Charges the account what the connection holds. Returns false if that is too much.
bool IngressServer::Session::charge_memory() {
  return memory_.try_resize(reader_.memory_bytes() + heap_bytes(unwritten_response_), this);
}

// The response is short, and nothing has been written to the connection that the client has not read.
void IngressServer::Session::send_continue() {
  const std::string response = "HTTP/1.1 100 Continue\r\n\r\n";
  static_cast<void>(write_available(socket_, net::buffer(response)));
}

// ---- Responses. ----

// A client that has finished sending may wait for the response to its request. One that has sent several
// requests at once and has left will not learn what became of them.
bool IngressServer::Session::client_has_left() {
  const PeerState state = peer_state(socket_);
  return state == PeerState::gone || (state == PeerState::finished_sending && pipelined_);
}

void IngressServer::Session::process_request() {
  pipelined_ = pipelined_ || reader_.has_more_than_request() || has_unread_bytes(socket_);
  if (client_has_left()) return reject(kStatusUnavailable, "the client has left");
  stage_ = Stage::responding;
  timer_.cancel();
  auto& request = reader_.request();
  close_after_response_ = !request.keep_alive();
  if (request.target() == "/_health") return answer_health_check();
  ParsedRequest parsed = parse_request(request, server_.settings_, server_.names_);
  if (parsed.rejection_status > 0) return reject(parsed.rejection_status, parsed.rejection_reason);
  parsed.message.pipelined = pipelined_;
  parsed.message.connection = id_;
  reader_.finish_request();
  static_cast<void>(charge_memory());
  server_.on_message_(std::move(parsed.message), [self = shared_from_this()](const ClientResponse& response) {
    if (response.rejection_reason.empty())
      self->respond(response);
    else
      self->reject(response.status, response.rejection_reason.data());
  });
}

void IngressServer::Session::answer_health_check() {
  const auto method = reader_.request().method();
  reader_.finish_request();
  if (method != http::verb::get && method != http::verb::head)
    return reject(kStatusMethodNotAllowed, "method not allowed");
  respond({server_.is_ready_() ? kStatusOk : kStatusUnavailable, 0});
}

// Rejects the request and closes the connection: the bytes that follow are not read as another request.
void IngressServer::Session::reject(unsigned status, const char* reason) {
  server_.rejections_.count(reason);
  stage_ = Stage::responding;
  reader_.reset();
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
  stage_since_ = steady_now();
  set_timeout(kResponseTimeout);
  write_response();
}

void IngressServer::Session::write_response() {
  while (!unwritten_response_.empty()) {
    const IoResult result = write_available(socket_, net::buffer(unwritten_response_));
    if (result.would_block()) {
      static_cast<void>(charge_memory());
      socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code error) {
        if (self->closed_) return;
        if (error) return self->close("error");
        self->write_response();
      });
      return;
    }
    if (result.error) return close("by the client");
    erase_front(unwritten_response_, result.bytes);
  }
  static_cast<void>(charge_memory());
  finish_response();
}

void IngressServer::Session::finish_response() {
  if (!close_after_response_) return begin_next_request();
  if (!linger_after_response_) return close("after the response");
  begin_lingering();
}

// Guards against a reset: closing the connection before the remaining request is read would reset it, and the
// client would lose the response.
void IngressServer::Session::begin_lingering() {
  reader_.reset();
  stage_ = Stage::lingering;
  set_timeout(kLingerTimeout);
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  request_turn();
}

void IngressServer::Session::discard_input() {
  const ReadResult result = read_arrived_bytes(kReadBytes);
  discarded_bytes_ += reader_.received().size();
  reader_.reset();
  if (result == ReadResult::disconnected || discarded_bytes_ > kMaxLingerBytes) return close("rejected");
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
    if (self->closed_) return;
    if (error) return self->close("rejected");
    self->request_turn();
  });
}

}  // namespace message_relay
