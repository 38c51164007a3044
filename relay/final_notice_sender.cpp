#include "final_notice_sender.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "log.hpp"

namespace message_relay {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = net::ip::tcp;

namespace {

constexpr std::chrono::microseconds kMaxTimeout = std::chrono::seconds(1);
constexpr auto kInitialBackoff = std::chrono::milliseconds(50);
constexpr auto kMaxBackoff = std::chrono::milliseconds(1000);
constexpr std::size_t kMaxResponseBytes = std::size_t{64} * 1024;
constexpr unsigned kHttpVersion = 11;
constexpr unsigned kStatusNoContent = 204;
constexpr unsigned kStatusBadRequest = 400;
constexpr Time kMicrosecondsPerMillisecond = 1000;

// Returns the notice as one line of the request's body.
std::string to_json_line(const std::string& client_id, const FinalAnswer& final_answer) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.StartObject();
  writer.Key("id");
  writer.String(client_id.data(), static_cast<rapidjson::SizeType>(client_id.size()));
  writer.Key("status");
  writer.String(final_answer.retryable ? "deferred" : "undeliverable");
  if (final_answer.retryable && final_answer.retry_after > 0) {
    writer.Key("again_ms");
    writer.Int64((final_answer.retry_after + kMicrosecondsPerMillisecond - 1) / kMicrosecondsPerMillisecond);
  }
  writer.EndObject();
  return std::string(buffer.GetString(), buffer.GetSize()) + "\n";
}

}  // namespace

struct FinalNoticeSender::Request {
  explicit Request(net::io_context& io) : timer(io) { response.body_limit(kMaxResponseBytes); }

  std::shared_ptr<tcp::socket> socket;
  net::steady_timer timer;
  std::vector<MessageId> message_ids;  // of the messages whose notices the request carries
  bool on_new_connection = false;
  bool finished = false;  // completed, failed or cancelled; handlers that run afterwards do nothing
  beast::flat_buffer buffer{kMaxResponseBytes};
  http::request<http::string_body> message;
  http::response_parser<http::string_body> response;
};

FinalNoticeSender::FinalNoticeSender(net::io_context& io, tcp::endpoint address,
                                     std::chrono::microseconds response_timeout,
                                     AcknowledgementHandler on_acknowledged)
    : io_(io),
      address_(std::move(address)),
      initial_timeout_(response_timeout),
      timeout_(response_timeout),
      backoff_(kInitialBackoff),
      on_acknowledged_(std::move(on_acknowledged)),
      retry_timer_(io) {}
FinalNoticeSender::~FinalNoticeSender() = default;

void FinalNoticeSender::send(MessageId id, const std::string& client_id, const FinalAnswer& final_answer) {
  pending_[id] = to_json_line(client_id, final_answer);
  if (!request_ && !waiting_for_retry_) send_batch();
}

void FinalNoticeSender::relocate(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  idle_connection_.reset();
  if (request_) {
    request_->finished = true;
    request_->timer.cancel();
    error_code ignored;
    request_->socket->close(ignored);
    request_.reset();
  }
  retry_timer_.cancel();
  backoff_ = kInitialBackoff;
  if (!pending_.empty()) send_batch();
}

std::shared_ptr<FinalNoticeSender::Request> FinalNoticeSender::make_request() {
  auto request = std::make_shared<Request>(io_);
  auto& message = request->message;
  for (const auto& [id, line] : pending_) {
    if (request->message_ids.size() >= max_batch_size_) break;
    request->message_ids.push_back(id);
    message.body() += line;
  }
  message.method(http::verb::post);
  message.version(kHttpVersion);
  message.target("/v2/finals");
  message.set(http::field::host, "discovery.svc");
  message.set(http::field::content_type, "application/x-ndjson");
  message.prepare_payload();
  return request;
}

void FinalNoticeSender::send_batch() {
  request_ = make_request();
  const auto request = request_;
  // Guards against a connection on which nothing arrives any more without an error: the request would wait
  // for ever while the deadlines of the messages pass.
  request->timer.expires_after(timeout_);
  request->timer.async_wait([this, request](error_code error) {
    if (!error && !request->finished) fail(request, "no response within the timeout");
  });
  if (idle_connection_) {
    request->socket = std::exchange(idle_connection_, nullptr);
    transmit(request);
  } else {
    connect(request);
  }
}

void FinalNoticeSender::connect(const std::shared_ptr<Request>& request) {
  request->on_new_connection = true;
  request->socket = std::make_shared<tcp::socket>(io_);
  request->socket->async_connect(address_, [this, request](error_code error) {
    if (request->finished) return;
    if (error) return fail(request, error.message());
    transmit(request);
  });
}

void FinalNoticeSender::transmit(const std::shared_ptr<Request>& request) {
  http::async_write(*request->socket, request->message, [this, request](error_code write_error, std::size_t) {
    if (request->finished) return;
    if (write_error) return fail(request, write_error.message());
    read_response(request);
  });
}

// Beast 1.74 applies no limit to an announced length if it parses header and body in one call.
void FinalNoticeSender::read_response(const std::shared_ptr<Request>& request) {
  http::async_read_header(*request->socket, request->buffer, request->response,
                          [this, request](error_code error, std::size_t) {
                            if (request->finished) return;
                            if (error) return fail(request, error.message());
                            if (request->response.content_length().value_or(0) > kMaxResponseBytes)
                              return fail(request, "response too long");
                            read_response_body(request);
                          });
}

void FinalNoticeSender::read_response_body(const std::shared_ptr<Request>& request) {
  http::async_read(*request->socket, request->buffer, request->response,
                   [this, request](error_code error, std::size_t) {
                     if (request->finished) return;
                     if (error) return fail(request, error.message());
                     const unsigned status = request->response.get().result_int();
                     if (status == kStatusNoContent) return complete(request);
                     fail(request, "status " + std::to_string(status));
                   });
}

void FinalNoticeSender::complete(const std::shared_ptr<Request>& request) {
  request->finished = true;
  request->timer.cancel();
  request_.reset();
  backoff_ = kInitialBackoff;
  timeout_ = initial_timeout_;
  if (request->response.get().keep_alive()) idle_connection_ = request->socket;
  acknowledge(request->message_ids);
}

void FinalNoticeSender::acknowledge(const std::vector<MessageId>& message_ids) {
  for (const MessageId id : message_ids) pending_.erase(id);
  if (pending_.empty()) max_batch_size_ = kMaxBatchSize;
  on_acknowledged_(message_ids);
  if (!pending_.empty() && !request_) send_batch();
}

void FinalNoticeSender::fail(const std::shared_ptr<Request>& request, const std::string& cause) {
  request->finished = true;
  request->timer.cancel();
  request_.reset();
  error_code ignored;
  request->socket->close(ignored);
  if (request->response.get().result_int() == kStatusBadRequest) return handle_rejection(*request);
  log("final notices: request failed: " + cause +
      (request->on_new_connection ? "" : " (on a reused connection)"));
  // A reused connection may only have been closed while idle, so a new one is tried at once.
  if (!request->on_new_connection) return send_batch();
  schedule_retry();
}

// Handles a response that rejects the request as malformed. Guards against one malformed notice that would
// block all others for ever: notices are sent one by one until it is found, and it is dropped.
void FinalNoticeSender::handle_rejection(const Request& request) {
  if (request.message_ids.size() > 1) {
    max_batch_size_ = 1;
    return send_batch();
  }
  log("final notices: dropped, rejected by the platform as malformed: " + pending_[request.message_ids[0]]);
  max_batch_size_ = kMaxBatchSize;
  acknowledge(request.message_ids);
}

void FinalNoticeSender::schedule_retry() {
  timeout_ = std::min(2 * timeout_, kMaxTimeout);
  waiting_for_retry_ = true;
  retry_timer_.expires_after(backoff_);
  backoff_ = std::min(2 * backoff_, kMaxBackoff);
  retry_timer_.async_wait([this](error_code error) {
    waiting_for_retry_ = false;
    if (!error && !pending_.empty() && !request_) send_batch();
  });
}

}  // namespace message_relay
