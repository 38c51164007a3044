#include "delivery_call.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <utility>

#include "byte_buffer.hpp"
#include "dispatch/response_silence.hpp"
#include "socket_io.hpp"

namespace message_relay {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = net::ip::tcp;

namespace {

constexpr Time kMaxTimerDelay = 3'600'000'000;  // microseconds, longer than any timeout
std::chrono::microseconds time_until(Time when) {
  return std::chrono::microseconds(std::max<Time>(when - steady_now(), 0));
}

// Whether the outcome does not tell if the endpoint processed the message.
bool leaves_result_unknown(Outcome outcome) {
  return outcome == Outcome::reset || outcome == Outcome::timeout || outcome == Outcome::cancelled;
}

}  // namespace

DeliveryCall::DeliveryCall(const Environment& environment, EndpointId endpoint,
                           std::vector<OutgoingMessage> messages)
    : environment_(environment),
      endpoint_(std::move(endpoint)),
      pending_count_(messages.size()),
      sent_at_(steady_now()),
      timer_(environment.io),
      memory_(environment.memory, MemoryUse::calls) {
  messages_.reserve(messages.size());
  for (auto& message : messages) messages_.push_back({std::move(message), false, std::nullopt});
}

// ---- Connection and request. ----

void DeliveryCall::start() {
  const auto address = environment_.pool.address_of(endpoint_);
  if (!address) return abort();
  auto [connection, available_at] = environment_.pool.acquire(endpoint_);
  if (available_at) return start_at(*available_at);
  if (!connection) return connect(*address);
  connection_ = std::move(connection);
  restart_timer();
  send_request();
}

void DeliveryCall::start_at(Time when) {
  timer_.expires_after(time_until(when));
  timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error && !self->is_finished()) self->start();
  });
}

void DeliveryCall::connect(const tcp::endpoint& address) {
  environment_.owner.make_room_for_connection();
  connection_ = std::make_shared<Connection>(environment_.io);
  connection_->address = address;
  restart_timer();
  connection_->socket.async_connect(address, [self = shared_from_this()](error_code error) {
    if (self->is_finished()) return;
    if (error) return self->end_all_attempts({Outcome::connect_failed});
    self->connection_->socket.set_option(tcp::no_delay(true), error);
    self->connection_->socket.non_blocking(true, error);
    self->send_request();
  });
}

void DeliveryCall::send_request() {
  end_overdue_attempts();
  if (is_finished()) return;
  // Messages that ended while the connection was being opened are left out of the request.
  std::erase_if(messages_, [](const PendingMessage& pending) { return pending.ended; });
  prepare_request();
  stage_ = Stage::writing;
  write_request();
}

void DeliveryCall::prepare_request() {
  std::vector<OutgoingMessage*> messages;
  messages.reserve(messages_.size());
  for (auto& pending : messages_) messages.push_back(&pending.message);
  unwritten_request_ = encode_delivery_request(messages);
}

void DeliveryCall::write_request() {
  while (!unwritten_request_.empty()) {
    const IoResult result = write_available(connection_->socket, net::buffer(unwritten_request_));
    if (result.would_block()) return wait_until_writable();
    // The request was not written completely, so the endpoint cannot have started to process it.
    if (result.error) return end_all_attempts({Outcome::connect_failed});
    unwritten_request_.erase(0, result.bytes);
  }
  release_buffer(unwritten_request_);
  environment_.owner.on_request_written(messages_.size());
  stage_ = Stage::awaiting_response;
  read_response();
}

void DeliveryCall::wait_until_writable() {
  connection_->socket.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code error) {
    if (self->is_finished()) return;
    if (error) return self->end_all_attempts({Outcome::connect_failed});
    self->write_request();
  });
}

// ---- Response. ----

void DeliveryCall::read_response() {
  connection_->socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
    if (!self->is_finished()) self->receive(error);
  });
}

void DeliveryCall::receive(error_code error) {
  process(error ? ResponseReader::State::malformed : read_arrived_bytes());
}

// Reads until the response is complete or malformed or nothing more has arrived.
ResponseReader::State DeliveryCall::read_arrived_bytes() {
  using State = ResponseReader::State;
  auto& buffer = environment_.read_buffer;
  while (true) {
    const IoResult result = read_available(connection_->socket, net::buffer(buffer));
    if (result.would_block()) return State::incomplete;
    if (result.error == net::error::eof) return response_.finish();
    if (result.error) return State::malformed;
    append_exactly(response_bytes_, {buffer.data(), result.bytes});
    const State state = response_.append(buffer.data(), result.bytes);
    on_response_bytes();
    if (!memory_.try_resize(heap_bytes(response_bytes_) + response_.memory_bytes())) {
      environment_.unexpected_responses.count("no memory for the response");
      return State::malformed;
    }
    if (state != State::incomplete) return state;
  }
}

// The endpoint gets more time for its response as long as it goes on writing it.
void DeliveryCall::on_response_bytes() {
  response_due_ = response_.has_started() ? steady_now() + dispatch::kMaxResponseSilence : 0;
}

void DeliveryCall::on_response_silent() {
  const bool repeatable = std::all_of(messages_.begin(), messages_.end(),
                                      [](const auto& pending) { return pending.message.repeatable; });
  const dispatch::SilentCall call{.delivered = is_delivered(),
                                  .repeatable = repeatable,
                                  .slots_free = environment_.owner.has_free_slot()};
  if (dispatch::decide_on_silence(call) == dispatch::SilenceDecision::give_up) return fail_response();
  response_due_ = steady_now() + dispatch::kMaxResponseSilence;
}

// Ends the call if the kernel holds the rest of its response already. Called before the call is given up for
// lack of a response: the handler that reads it may not have run yet.
bool DeliveryCall::end_if_response_arrived() {
  if (!awaits_response()) return false;
  const ResponseReader::State state = read_arrived_bytes();
  if (state == ResponseReader::State::incomplete) return false;
  process(state);
  return true;
}

void DeliveryCall::process(ResponseReader::State state) {
  using State = ResponseReader::State;
  if (state == State::complete) return process_response();
  if (state == State::malformed) return fail_response();
  restart_timer();
  read_response();
}

// Ends the call after a malformed, incomplete or overdue response. No further data on the connection can be
// trusted. The endpoint may have processed the request, whatever status it sent; a status line with 200 means
// that a single message was delivered.
void DeliveryCall::fail_response() {
  if (response_.has_header()) retry_after_ = response_.retry_after();
  environment_.unexpected_responses.count("malformed or incomplete");
  end_all_attempts({Outcome::reset});
}

void DeliveryCall::process_response() {
  retry_after_ = response_.retry_after();
  if (environment_.limits.load_reports_in_responses) load_report_ = response_.load_report();
  connection_reusable_ = response_.reusable();
  const auto connection = connection_;
  if (http::int_to_status(response_.status()) == http::status::ok && messages_.size() > 1)
    process_batch_response();
  else
    end_all_attempts(result_of_status());
  if (connection_reusable_) environment_.owner.on_connection_idle(endpoint_, connection);
}

AttemptResult DeliveryCall::result_of_status() {
  switch (http::int_to_status(response_.status())) {
    case http::status::ok:
      return {.outcome = Outcome::succeeded, .message_settled = true};
    case http::status::too_many_requests:
      return {Outcome::rejected};
    case http::status::service_unavailable:
      return {response_.has_line_busy_header() ? Outcome::not_sent : Outcome::rejected};
    case http::status::gateway_timeout:
      return {Outcome::not_sent};
    case http::status::gone:
      return {.outcome = Outcome::not_sent, .message_settled = true};
    case http::status::bad_request:
    case http::status::payload_too_large:
      environment_.unexpected_responses.count("request rejected as invalid");
      return {Outcome::not_sent};
    case http::status::internal_server_error:
      return {Outcome::error};
    default:
      environment_.unexpected_responses.count("unknown status");
      connection_reusable_ = false;
      return {Outcome::error};
  }
}

void DeliveryCall::process_batch_response() {
  auto states = read_batch_states(response_.body());
  if (!states) {
    environment_.unexpected_responses.count("malformed batch response");
    connection_reusable_ = false;
    return end_all_attempts({Outcome::reset});
  }
  for (auto& pending : messages_)
    end_attempt(pending, result_of_batch_state((*states)[pending.message.client_id]));
}

// ---- Timeouts. ----

void DeliveryCall::restart_timer() {
  if (is_finished()) return;
  timer_.expires_after(time_until(next_due()));
  timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error && !self->is_finished()) self->on_timer();
  });
}

// Returns the steady time at which the first of the currently applicable timeouts expires.
Time DeliveryCall::next_due() const {
  Time due = steady_now() + kMaxTimerDelay;
  for (const auto& pending : messages_) {
    if (pending.ended) continue;
    if (!pending.provisional_outcome) due = std::min(due, sent_at_ + pending.message.timeout);
    if (is_connecting()) due = std::min(due, pending.message.start_by);
  }
  if (is_connecting()) due = std::min(due, connect_due());
  if (response_due_ > 0) due = std::min(due, response_due_);
  return due;
}

void DeliveryCall::on_timer() {
  if (end_if_response_arrived()) return;
  const Time now = steady_now();
  const bool was_connecting = is_connecting();
  if (was_connecting && now >= connect_due()) return end_all_attempts({Outcome::connect_failed});
  if (was_connecting) end_overdue_attempts();
  if (response_due_ > 0 && now >= response_due_) on_response_silent();
  if (is_finished()) return;
  const Outcome outcome = was_connecting ? Outcome::connect_failed : Outcome::timeout;
  for (auto& pending : messages_)
    if (!pending.ended && now >= sent_at_ + pending.message.timeout) stop_waiting_for(pending, outcome);
  restart_timer();
}

// ---- Outcomes. ----

// A status line with 200 is enough to deliver a single message. A batch needs the complete response.
bool DeliveryCall::is_delivered() const { return messages_.size() == 1 && response_.status_line_ok(); }

void DeliveryCall::end_attempt(PendingMessage& pending, AttemptResult result) {
  if (pending.ended) return;
  pending.ended = true;
  if (leaves_result_unknown(result.outcome) && is_delivered())
    result = {.outcome = Outcome::succeeded, .message_settled = true};
  dispatch::event::AttemptEnded ended;
  ended.id = pending.message.id;
  ended.attempt = pending.message.attempt;
  ended.endpoint = endpoint_;
  ended.outcome = result.outcome;
  ended.latency = steady_now() - sent_at_;
  ended.message_settled = result.message_settled;
  ended.retry_after = retry_after_;
  ended.load_report = load_report_;
  pending_count_--;
  if (pending_count_ == 0) finish();
  environment_.owner.on_attempt_ended(ended);
}

void DeliveryCall::finish() {
  stage_ = Stage::finished;
  timer_.cancel();
  environment_.owner.on_call_finished(shared_from_this());
  // Guards against reuse of a connection on which a late response could be taken for that to the next call.
  error_code ignored;
  if (connection_ && !connection_reusable_) connection_->socket.close(ignored);
  connection_.reset();
}

void DeliveryCall::end_all_attempts(AttemptResult result) {
  for (auto& pending : messages_) end_attempt(pending, result);
}

void DeliveryCall::abort() { end_all_attempts({Outcome::not_sent}); }

// Ends, as not sent, the messages whose latest start has passed. Called before the request is written.
void DeliveryCall::end_overdue_attempts() {
  const Time now = steady_now();
  for (auto& pending : messages_)
    if (now >= pending.message.start_by) end_attempt(pending, {Outcome::not_sent});
}

// Stops waiting for a message. Before writing starts, the message ends at once. Afterwards it ends with the
// call, when no message of the call is waited for any longer: if its outcome were reported earlier, the
// message could be sent again while this copy is still in flight.
void DeliveryCall::stop_waiting_for(PendingMessage& pending, Outcome outcome) {
  if (is_connecting()) return end_attempt(pending, {outcome});
  if (pending.ended || pending.provisional_outcome) return;
  pending.provisional_outcome = outcome;
  const bool others_awaited = std::any_of(messages_.begin(), messages_.end(), [](const auto& other) {
    return !other.ended && !other.provisional_outcome;
  });
  if (others_awaited) return;
  for (auto& other : messages_)
    if (!other.ended) end_attempt(other, {outcome_without_response(other)});
}

// An endpoint starts to process a request once its last byte has arrived.
Outcome DeliveryCall::outcome_without_response(const PendingMessage& pending) const {
  return is_writing() ? Outcome::connect_failed : *pending.provisional_outcome;
}

bool DeliveryCall::cancel(MessageId id, int attempt) {
  const auto found = std::find_if(messages_.begin(), messages_.end(), [&](const auto& pending) {
    return !pending.ended && pending.message.id == id && pending.message.attempt == attempt;
  });
  if (found == messages_.end()) return false;
  if (end_if_response_arrived()) return true;
  stop_waiting_for(*found, is_connecting() ? Outcome::connect_failed : Outcome::cancelled);
  return true;
}

// ---- Handover. ----

InFlightCall DeliveryCall::state() const {
  InFlightCall state;
  state.socket = connection_->socket.native_handle();
  state.endpoint = endpoint_;
  state.address = connection_->address;
  state.sent_at = sent_at_;
  state.response_due = response_due_;
  state.response_bytes = response_bytes_;
  for (const auto& pending : messages_) {
    state.messages.push_back(pending.message);
    state.provisional_outcomes.push_back(pending.provisional_outcome);
  }
  return state;
}

void DeliveryCall::resume(const InFlightCall& handed_over) {
  connection_ = std::make_shared<Connection>(environment_.io);
  connection_->address = handed_over.address;
  error_code error;
  connection_->socket.assign(handed_over.address.protocol(), handed_over.socket, error);
  if (!error) connection_->socket.non_blocking(true, error);
  sent_at_ = handed_over.sent_at;
  response_due_ = handed_over.response_due;
  response_bytes_ = handed_over.response_bytes;
  for (std::size_t i = 0; i < messages_.size(); i++)
    messages_[i].provisional_outcome = handed_over.provisional_outcomes[i];
  stage_ = Stage::awaiting_response;
  const auto read_state = response_.append(response_bytes_.data(), response_bytes_.size());
  const auto state = error ? ResponseReader::State::malformed : read_state;
  restart_timer();
  net::post(environment_.io, [self = shared_from_this(), state] {
    if (!self->is_finished()) self->process(state);
  });
}

}  // namespace message_relay
