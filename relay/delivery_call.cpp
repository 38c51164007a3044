#include "delivery_call.hpp"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <map>
#include <utility>

namespace message_relay {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = net::ip::tcp;

namespace {

// A response that has begun must be complete within this time (microseconds). Guards against calls held until
// their timeout by headers and bodies that never end.
constexpr Time kResponseTimeout = 400'000;
constexpr Time kNever = 3'600'000'000;  // microseconds; longer than any timeout
constexpr unsigned kHttpVersion = 11;

std::chrono::microseconds time_until(Time when) {
  return std::chrono::microseconds(std::max<Time>(when - steady_now(), 0));
}

std::string base64(const std::string& bytes) {
  std::string text(beast::detail::base64::encoded_size(bytes.size()), '\0');
  text.resize(beast::detail::base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

void write_member(JsonWriter& writer, const char* key, const std::string& value) {
  writer.Key(key);
  writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

void write_batch_entry(JsonWriter& writer, const OutgoingMessage& message) {
  writer.StartObject();
  write_member(writer, "id", message.client_id);
  if (!message.idempotency_key.empty()) write_member(writer, "key", message.idempotency_key);
  write_member(writer, "body", base64(message.body));
  writer.EndObject();
}

// The state of each message by its client's id; nothing where the body is no array.
std::optional<std::map<std::string, std::string>> read_batch_states(const std::string& body) {
  rapidjson::Document document;
  // The recursive parser would exhaust the stack on thousands of opening brackets.
  document.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
  if (document.HasParseError() || !document.IsArray()) return std::nullopt;
  std::map<std::string, std::string> states;
  for (const auto& entry : document.GetArray()) {
    if (!entry.IsObject()) continue;
    const auto id = entry.FindMember("id");
    const auto state = entry.FindMember("state");
    if (id == entry.MemberEnd() || state == entry.MemberEnd()) continue;
    if (id->value.IsString() && state->value.IsString())
      states[id->value.GetString()] = state->value.GetString();
  }
  return states;
}

// Whether the outcome leaves open what the endpoint did.
bool is_unanswered(Outcome outcome) {
  return outcome == Outcome::reset || outcome == Outcome::timeout || outcome == Outcome::cancelled;
}

}  // namespace

DeliveryCall::DeliveryCall(const Environment& environment, EndpointId endpoint,
                           std::vector<OutgoingMessage> messages)
    : environment_(environment),
      endpoint_(std::move(endpoint)),
      pending_count_(messages.size()),
      sent_at_(steady_now()),
      timer_(environment.io) {
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
    if (error) return self->end_all({Outcome::connect_failed});
    self->connection_->socket.set_option(tcp::no_delay(true), error);
    self->connection_->socket.non_blocking(true, error);
    self->send_request();
  });
}

void DeliveryCall::send_request() {
  end_late_messages();
  if (is_finished()) return;
  // Those that ended while the connection was opened are not part of the request.
  std::erase_if(messages_, [](const PendingMessage& pending) { return pending.ended; });
  prepare_request();
  stage_ = Stage::writing;
  http::async_write(connection_->socket, request_,
                    [self = shared_from_this()](error_code error, std::size_t) {
                      if (self->is_finished()) return;
                      // The last byte was not written, so the endpoint can't have begun to process the
                      // request.
                      if (error) return self->end_all({Outcome::connect_failed});
                      self->environment_.owner.on_request_written(self->messages_.size());
                      self->stage_ = Stage::awaiting_response;
                      self->read_response();
                    });
}

void DeliveryCall::prepare_request() {
  Time longest_timeout = 0;
  for (const auto& pending : messages_) longest_timeout = std::max(longest_timeout, pending.message.timeout);
  const bool is_batch = messages_.size() > 1;
  request_.method(http::verb::post);
  request_.version(kHttpVersion);
  request_.target(is_batch ? "/events/bundle" : "/events");
  request_.set(http::field::host, "origin.svc");
  request_.set("X-Deadline", std::to_string(longest_timeout) + "u");
  if (is_batch) {
    request_.set(http::field::content_type, "application/json");
    rapidjson::StringBuffer buffer;
    JsonWriter writer(buffer);
    writer.StartArray();
    for (auto& pending : messages_) {
      write_batch_entry(writer, pending.message);
      pending.message.body.clear();
    }
    writer.EndArray();
    request_.body().assign(buffer.GetString(), buffer.GetSize());
  } else {
    OutgoingMessage& message = messages_.front().message;
    request_.set("X-Request-Id", message.client_id);
    if (!message.idempotency_key.empty()) request_.set("Idempotency-Key", message.idempotency_key);
    request_.body() = std::move(message.body);
  }
  request_.prepare_payload();
}

// ---- Response. ----

void DeliveryCall::read_response() {
  connection_->socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
    if (!self->is_finished()) self->receive(error);
  });
}

void DeliveryCall::receive(error_code error) {
  using State = ResponseReader::State;
  if (error) return process(State::malformed);
  auto& buffer = environment_.read_buffer;
  const std::size_t size = connection_->socket.read_some(net::buffer(buffer), error);
  if (error == net::error::would_block) return read_response();
  if (error == net::error::eof) return process(response_.finish());
  if (error) return process(State::malformed);
  const State state = response_.append(buffer.data(), size);
  response_bytes_.append(buffer.data(), size);
  process(state);
}

void DeliveryCall::process(ResponseReader::State state) {
  using State = ResponseReader::State;
  if (state == State::complete) return process_response();
  if (state == State::malformed) return fail_response();
  const bool has_started = response_.has_started();
  if (has_started != (response_due_ > 0)) {
    response_due_ = has_started ? steady_now() + kResponseTimeout : 0;
    restart_timer();
  }
  read_response();
}

// Nothing that follows on the connection can be trusted. The endpoint may have processed the request,
// whatever the status line said, unless it said 200.
void DeliveryCall::fail_response() {
  if (response_.has_head()) retry_after_ = response_.retry_after();
  environment_.unexpected_responses.count("malformed or incomplete");
  end_all({Outcome::reset});
}

void DeliveryCall::process_response() {
  retry_after_ = response_.retry_after();
  if (environment_.limits.load_reports_in_responses) load_report_ = response_.load_report();
  connection_reusable_ = response_.reusable();
  const auto connection = connection_;
  if (http::int_to_status(response_.status()) == http::status::ok && messages_.size() > 1)
    end_batch();
  else
    end_all(result_of_status());
  if (connection_reusable_) environment_.owner.on_connection_idle(endpoint_, connection);
}

DeliveryCall::AttemptResult DeliveryCall::result_of_status() {
  switch (http::int_to_status(response_.status())) {
    case http::status::ok:
      return {.outcome = Outcome::succeeded, .message_settled = true};
    case http::status::too_many_requests:
      return {Outcome::rejected};
    case http::status::service_unavailable:
      return {response_.line_busy() ? Outcome::not_sent : Outcome::rejected};
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

void DeliveryCall::end_batch() {
  auto states = read_batch_states(response_.body());
  if (!states) {
    environment_.unexpected_responses.count("malformed batch response");
    connection_reusable_ = false;
    return end_all({Outcome::reset});
  }
  for (auto& pending : messages_) end(pending, result_of_batch_state((*states)[pending.message.client_id]));
}

DeliveryCall::AttemptResult DeliveryCall::result_of_batch_state(const std::string& state) {
  if (state == "done") return {.outcome = Outcome::succeeded, .message_settled = true};
  if (state == "busy") return {Outcome::rejected};
  if (state == "void") return {.outcome = Outcome::not_sent, .message_settled = true};
  if (state == "used_up") return {Outcome::not_sent};
  // "failed", or not named in the response: the endpoint may have processed it.
  return {Outcome::error};
}

// ---- Timeouts. ----

void DeliveryCall::restart_timer() {
  if (is_finished()) return;
  timer_.expires_after(time_until(next_due()));
  timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error && !self->is_finished()) self->on_timer();
  });
}

// When the first of the timeouts that apply now expires.
Time DeliveryCall::next_due() const {
  Time due = steady_now() + kNever;
  for (const auto& pending : messages_) {
    if (pending.ended) continue;
    if (!pending.abandoned_as) due = std::min(due, sent_at_ + pending.message.timeout);
    if (is_connecting()) due = std::min(due, pending.message.start_by);
  }
  if (is_connecting()) due = std::min(due, connect_due());
  if (response_due_ > 0) due = std::min(due, response_due_);
  return due;
}

void DeliveryCall::on_timer() {
  const Time now = steady_now();
  const bool was_connecting = is_connecting();
  if (was_connecting && now >= connect_due()) return end_all({Outcome::connect_failed});
  if (was_connecting) end_late_messages();
  if (response_due_ > 0 && now >= response_due_) return fail_response();
  // The endpoint may have processed a request whose first byte was sent.
  const Outcome outcome = was_connecting ? Outcome::connect_failed : Outcome::timeout;
  for (auto& pending : messages_)
    if (!pending.ended && now >= sent_at_ + pending.message.timeout) abandon(pending, outcome);
  restart_timer();
}

// ---- Outcomes. ----

// One message is delivered by the status line of the response, several only by all of it.
bool DeliveryCall::is_delivered() const { return messages_.size() == 1 && response_.status_line_ok(); }

void DeliveryCall::end(PendingMessage& pending, AttemptResult result) {
  if (pending.ended) return;
  pending.ended = true;
  if (is_unanswered(result.outcome) && is_delivered())
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
  // Where no complete response came, a late one must not be taken for the next call's.
  error_code ignored;
  if (connection_ && !connection_reusable_) connection_->socket.close(ignored);
  connection_.reset();
}

void DeliveryCall::end_all(AttemptResult result) {
  for (auto& pending : messages_) end(pending, result);
}

void DeliveryCall::abort() { end_all({Outcome::not_sent}); }

// Of a request that was not begun, the messages that may no longer be begun are not sent.
void DeliveryCall::end_late_messages() {
  const Time now = steady_now();
  for (auto& pending : messages_)
    if (now >= pending.message.start_by) end(pending, {Outcome::not_sent});
}

// Stops waiting for a message. Where its request was begun, it ends with the call, when none of its messages
// is waited for any more: reported before, it could be sent again while this copy is still in flight.
void DeliveryCall::abandon(PendingMessage& pending, Outcome outcome) {
  if (is_connecting()) return end(pending, {outcome});
  if (pending.ended || pending.abandoned_as) return;
  pending.abandoned_as = outcome;
  const bool others_awaited = std::any_of(messages_.begin(), messages_.end(), [](const auto& other) {
    return !other.ended && !other.abandoned_as;
  });
  if (others_awaited) return;
  for (auto& other : messages_)
    if (!other.ended) end(other, {*other.abandoned_as});
}

bool DeliveryCall::cancel(MessageId id, int attempt) {
  const auto found = std::find_if(messages_.begin(), messages_.end(), [&](const auto& pending) {
    return !pending.ended && pending.message.id == id && pending.message.attempt == attempt;
  });
  if (found == messages_.end()) return false;
  abandon(*found, is_connecting() ? Outcome::connect_failed : Outcome::cancelled);
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
    state.given_up.push_back(pending.abandoned_as);
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
  for (std::size_t i = 0; i < messages_.size(); i++) messages_[i].abandoned_as = handed_over.given_up[i];
  stage_ = Stage::awaiting_response;
  const auto read_state = response_.append(response_bytes_.data(), response_bytes_.size());
  const auto state = error ? ResponseReader::State::malformed : read_state;
  restart_timer();
  net::post(environment_.io, [self = shared_from_this(), state] {
    if (!self->is_finished()) self->process(state);
  });
}

}  // namespace message_relay
