#include "discovery_client.hpp"

#include <rapidjson/document.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "byte_buffer.hpp"
#include "json_stream_splitter.hpp"
#include "log.hpp"

namespace message_relay {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using dispatch::event::SubscriptionLossReason;
using tcp = net::ip::tcp;

namespace {

constexpr std::size_t kMaxListBytes = std::size_t{4} << 20;
constexpr unsigned kHttpVersion = 11;
// What has arrived and is not parsed as HTTP yet, in bytes.
constexpr std::size_t kReadBufferBytes = std::size_t{64} * 1024;
// The memory in bytes that the parser takes for each JSON value, on its stack and in the document.
constexpr std::size_t kJsonValueBytes = 48;

// A list that takes less than this fraction, a half, of the memory is parsed in any case.
constexpr std::size_t kOwedListDivisor = 2;

// Returns the memory in bytes that parsing the text may take, whatever it contains. The strings of the
// document stay in the text.
std::size_t parsing_bytes(const std::string& text) {
  const auto starts_value = [](char c) { return c == ',' || c == ':' || c == '{' || c == '['; };
  const auto values = std::count_if(text.begin(), text.end(), starts_value);
  return heap_bytes(text) + kJsonValueBytes * static_cast<std::size_t>(values);
}

const char* describe(DiscoveryClient::ListError error) {
  return error == DiscoveryClient::ListError::malformed ? "malformed list" : "no memory for the list";
}

}  // namespace

// One request to discovery and its response.
struct DiscoveryClient::Request {
  Request(net::io_context& io, MemoryAccount& account, RequestKind request_kind)
      : kind(request_kind), socket(io), timer(io), memory(account, MemoryUse::endpoint_list) {
    // The response to a watch has no end, so it has no limit. boost::none is needed for that: Beast 1.74
    // applies no limit to a body whose length is announced if the limit is 0.
    if (kind == RequestKind::watch)
      parser.body_limit(boost::none);
    else
      parser.body_limit(kMaxListBytes);
  }

  RequestKind kind;
  bool finished = false;  // completed, failed or cancelled; handlers that run afterwards do nothing
  tcp::socket socket;
  net::steady_timer timer;
  beast::flat_buffer buffer{kReadBufferBytes};
  http::request<http::empty_body> message;
  http::response_parser<http::string_body> parser;
  JsonStreamSplitter list_splitter;
  MemoryCharge memory;            // of the part of a list that has arrived
  bool response_started = false;  // whether the header has arrived
  bool list_received = false;     // whether a complete list has arrived
};

DiscoveryClient::DiscoveryClient(net::io_context& io, tcp::endpoint address,
                                 const configuration::SettingNames& names, const DiscoveryTimeouts& timeouts,
                                 std::int64_t list_version, MemoryAccount& memory, ListHandler on_list,
                                 LossHandler on_loss)
    : io_(io),
      address_(std::move(address)),
      names_(names),
      timeouts_(timeouts),
      list_version_(list_version),
      memory_(memory),
      on_list_(std::move(on_list)),
      on_loss_(std::move(on_loss)) {}
DiscoveryClient::~DiscoveryClient() = default;

void DiscoveryClient::watch() {
  cancel(watch_);
  start(RequestKind::watch);
}

void DiscoveryClient::cancel_watch() { cancel(watch_); }

void DiscoveryClient::fetch() {
  if (!fetch_) start(RequestKind::fetch);
}

void DiscoveryClient::relocate(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  // The service at the new address may count versions anew, so the complete list is requested.
  list_version_ = 0;
  needs_snapshot_ = true;
  // The watch that is started at the new address delivers what these would have delivered.
  cancel(fetch_);
  cancel(watch_);
  on_loss_(SubscriptionLossReason::relocated);
}

void DiscoveryClient::cancel(std::shared_ptr<Request>& request) {
  if (!request) return;
  request->finished = true;
  error_code ignored;
  request->socket.close(ignored);
  request->timer.cancel();
  request.reset();
}

void DiscoveryClient::start(RequestKind kind) {
  const auto request = std::make_shared<Request>(io_, memory_, kind);
  (kind == RequestKind::watch ? watch_ : fetch_) = request;
  restart_timeout(request);
  request->socket.async_connect(address_, [this, request](error_code error) {
    if (request->finished) return;
    if (error) return fail(request, error.message());
    send_request(request);
  });
}

void DiscoveryClient::send_request(const std::shared_ptr<Request>& request) {
  auto& message = request->message;
  message.method(http::verb::get);
  message.version(kHttpVersion);
  if (request->kind == RequestKind::watch)
    message.target("/catalog/members?follow=1&since=" + std::to_string(list_version_));
  else
    message.target("/catalog/members");
  message.set(http::field::host, "discovery.svc");
  http::async_write(request->socket, message, [this, request](error_code error, std::size_t) {
    if (request->finished) return;
    if (error) return fail(request, error.message());
    read_response(request);
  });
}

void DiscoveryClient::restart_timeout(const std::shared_ptr<Request>& request) {
  request->timer.expires_after(request->response_started ? timeouts_.watch_silence : timeouts_.list_response);
  request->timer.async_wait([this, request](error_code error) {
    if (error || request->finished) return;
    if (request->response_started)
      fail(request, "no data within the timeout", SubscriptionLossReason::timed_out);
    else
      fail(request, "no response within the timeout");
  });
}

void DiscoveryClient::read_response(const std::shared_ptr<Request>& request) {
  http::async_read_some(request->socket, request->buffer, request->parser,
                        [this, request](error_code error, std::size_t) {
                          if (request->finished) return;
                          if (error) return fail(request, error.message());
                          process_data(request);
                        });
}

void DiscoveryClient::process_data(const std::shared_ptr<Request>& request) {
  if (request->parser.is_header_done()) {
    auto& response = request->parser.get();
    if (response.result() != http::status::ok)
      return fail(request, "status " + std::to_string(response.result_int()));
    request->response_started = true;
    request->list_splitter.append(std::exchange(response.body(), {}));
    restart_timeout(request);
    if (request->list_splitter.buffered_bytes() > kMaxListBytes) return fail(request, "a list too long");
    if (!request->memory.try_resize(request->list_splitter.memory_bytes()))
      return fail(request, describe(ListError::no_memory));
    if (const auto list_error = process_lists(*request)) return fail(request, describe(*list_error));
    if (request->finished) return;
    request->memory.resize(request->list_splitter.memory_bytes());
  }
  if (!request->parser.is_done()) return read_response(request);
  if (request->kind == RequestKind::watch || !request->list_received)
    return fail(request, "response ended unexpectedly");
  complete_fetch(request);
}

void DiscoveryClient::complete_fetch(const std::shared_ptr<Request>& request) {
  request->finished = true;
  request->timer.cancel();
  fetch_.reset();
}

// Processes the lists that have arrived completely. The handler of a list may cancel the request.
std::optional<DiscoveryClient::ListError> DiscoveryClient::process_lists(Request& request) {
  while (auto text = request.list_splitter.next()) {
    request.list_received = true;
    if (const auto error = process_list(std::move(*text), request.kind)) return error;
    if (request.finished) return std::nullopt;
  }
  return request.list_splitter.malformed() ? std::optional(ListError::malformed) : std::nullopt;
}

std::optional<DiscoveryClient::ListError> DiscoveryClient::process_list(std::string text, RequestKind kind) {
  MemoryCharge parsing(memory_, MemoryUse::endpoint_list);
  const std::size_t bytes = parsing_bytes(text);
  // Messages that were taken on must not keep the relay from learning which endpoints are draining.
  if (bytes <= memory_.capacity() / kOwedListDivisor)
    parsing.resize(bytes);
  else if (!parsing.try_resize(bytes))
    return ListError::no_memory;
  EndpointList list;
  {
    rapidjson::Document document;
    // The recursive parser would exhaust the stack on input with thousands of opening brackets.
    document.ParseInsitu<rapidjson::kParseIterativeFlag>(text.data());
    if (document.HasParseError()) return ListError::malformed;
    try {
      list = read_endpoint_list(document, "members", names_);
    } catch (const configuration::FieldError& error) {
      log(std::string("discovery: invalid list: ") + error.what());
      return ListError::malformed;
    }
  }
  release_buffer(text);
  parsing.resize(0);
  if (!deliver(std::move(list), kind)) return ListError::no_memory;
  if (needs_snapshot_) fetch();
  return std::nullopt;
}

bool DiscoveryClient::deliver(EndpointList list, RequestKind kind) {
  // A fetched list is dropped if the watch has delivered a newer one in the meantime.
  if (kind == RequestKind::fetch && watch_ && list.version < list_version_) return true;
  const std::int64_t version = list.version;
  const bool is_snapshot = list.is_snapshot;
  if (!on_list_(std::move(list))) return false;
  list_version_ = version;
  // After the service was relocated, only a snapshot replaces the endpoints that the previous address listed.
  // Changes alone would leave them in place.
  if (is_snapshot) needs_snapshot_ = false;
  return true;
}

void DiscoveryClient::fail(const std::shared_ptr<Request>& request, const std::string& cause,
                           SubscriptionLossReason reason) {
  const char* subject = request->kind == RequestKind::watch ? "watch" : "query";
  log(std::string("discovery: ") + subject + " failed: " + cause);
  request->finished = true;
  request->timer.cancel();
  error_code ignored;
  request->socket.close(ignored);
  if (watch_ == request) watch_.reset();
  if (fetch_ == request) {
    fetch_.reset();
    // The snapshot that is needed after relocate() is then as overdue as the changes that a timed-out watch
    // has missed.
    reason = SubscriptionLossReason::timed_out;
  }
  if (needs_snapshot_) list_version_ = 0;  // the next watch requests the complete list again
  on_loss_(reason);
}

}  // namespace message_relay
