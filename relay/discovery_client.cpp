#include "discovery_client.hpp"

#include <rapidjson/document.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <utility>

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

}  // namespace

// One request and its response.
struct DiscoveryClient::Query {
  Query(net::io_context& io, QueryKind query_kind) : kind(query_kind), socket(io), timer(io) {
    // A watch has no end. Beast 1.74 takes no limit for a limit of 0 where the response announces its length.
    if (kind == QueryKind::watch)
      parser.body_limit(boost::none);
    else
      parser.body_limit(kMaxListBytes);
  }

  QueryKind kind;
  bool finished = false;  // completed, failed or cancelled: handlers still to come do nothing
  tcp::socket socket;
  net::steady_timer timer;
  beast::flat_buffer buffer{kMaxListBytes};
  http::request<http::empty_body> request;
  http::response_parser<http::string_body> parser;
  JsonStreamSplitter lists;
  bool response_begun = false;  // its header has come
  bool list_received = false;
};

DiscoveryClient::DiscoveryClient(net::io_context& io, tcp::endpoint address,
                                 const configuration::SettingNames& names, const DiscoveryTimeouts& timeouts,
                                 std::int64_t list_version, ListHandler on_list, LossHandler on_loss)
    : io_(io),
      address_(std::move(address)),
      names_(names),
      timeouts_(timeouts),
      list_version_(list_version),
      on_list_(std::move(on_list)),
      on_loss_(std::move(on_loss)) {}
DiscoveryClient::~DiscoveryClient() = default;

void DiscoveryClient::watch() {
  cancel(watch_);
  start(QueryKind::watch);
}

void DiscoveryClient::unwatch() { cancel(watch_); }

void DiscoveryClient::fetch() {
  if (!poll_) start(QueryKind::poll);
}

void DiscoveryClient::relocate(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  // The service at the new address may number versions anew: everything is queried.
  list_version_ = 0;
  needs_snapshot_ = true;
  // The watch that is begun at the new address brings what these would have.
  cancel(poll_);
  cancel(watch_);
  on_loss_(SubscriptionLossReason::relocated);
}

void DiscoveryClient::cancel(std::shared_ptr<Query>& query) {
  if (!query) return;
  query->finished = true;
  error_code ignored;
  query->socket.close(ignored);
  query->timer.cancel();
  query.reset();
}

void DiscoveryClient::start(QueryKind kind) {
  const auto query = std::make_shared<Query>(io_, kind);
  (kind == QueryKind::watch ? watch_ : poll_) = query;
  restart_timeout(query);
  query->socket.async_connect(address_, [this, query](error_code error) {
    if (query->finished) return;
    if (error) return fail(query, error.message());
    send_request(query);
  });
}

void DiscoveryClient::send_request(const std::shared_ptr<Query>& query) {
  auto& request = query->request;
  request.method(http::verb::get);
  request.version(kHttpVersion);
  if (query->kind == QueryKind::watch)
    request.target("/catalog/members?follow=1&since=" + std::to_string(list_version_));
  else
    request.target("/catalog/members");
  request.set(http::field::host, "discovery.svc");
  http::async_write(query->socket, request, [this, query](error_code error, std::size_t) {
    if (query->finished) return;
    if (error) return fail(query, error.message());
    read_response(query);
  });
}

void DiscoveryClient::restart_timeout(const std::shared_ptr<Query>& query) {
  query->timer.expires_after(query->response_begun ? timeouts_.watch_silence : timeouts_.list_response);
  query->timer.async_wait([this, query](error_code error) {
    if (error || query->finished) return;
    if (query->response_begun)
      fail(query, "no data within the timeout", SubscriptionLossReason::timed_out);
    else
      fail(query, "no response within the timeout");
  });
}

void DiscoveryClient::read_response(const std::shared_ptr<Query>& query) {
  http::async_read_some(query->socket, query->buffer, query->parser,
                        [this, query](error_code error, std::size_t) {
                          if (query->finished) return;
                          if (error) return fail(query, error.message());
                          process_data(query);
                        });
}

void DiscoveryClient::process_data(const std::shared_ptr<Query>& query) {
  if (query->parser.is_header_done()) {
    auto& response = query->parser.get();
    if (response.result() != http::status::ok)
      return fail(query, "status " + std::to_string(response.result_int()));
    query->response_begun = true;
    query->lists.append(std::exchange(response.body(), {}));
    restart_timeout(query);
    if (query->lists.buffered_bytes() > kMaxListBytes) return fail(query, "a list too long");
    if (!process_lists(*query)) return fail(query, "malformed list");
    if (query->finished) return;
  }
  if (!query->parser.is_done()) return read_response(query);
  if (query->kind == QueryKind::watch || !query->list_received) return fail(query, "response ended");
  complete_poll(query);
}

void DiscoveryClient::complete_poll(const std::shared_ptr<Query>& query) {
  query->finished = true;
  query->timer.cancel();
  poll_.reset();
}

// Processes the lists that have come completely; false where one is malformed. A handler of a list may cancel
// the query.
bool DiscoveryClient::process_lists(Query& query) {
  while (const auto text = query.lists.next()) {
    query.list_received = true;
    if (!process_list(*text, query.kind)) return false;
    if (query.finished) return true;
  }
  return !query.lists.malformed();
}

bool DiscoveryClient::process_list(const std::string& text, QueryKind kind) {
  rapidjson::Document document;
  // The recursive parser would exhaust the stack on thousands of opening brackets.
  document.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (document.HasParseError()) return false;
  try {
    EndpointList list = read_endpoint_list(document, "members", names_);
    // A response to a query that the watch has overtaken is dropped.
    const bool outdated = kind == QueryKind::poll && watch_ && list.version < list_version_;
    // After a move only a snapshot replaces what the former address had; changes alone leave it in place.
    if (list.is_snapshot && !outdated) needs_snapshot_ = false;
    if (!outdated) {
      list_version_ = list.version;
      on_list_(std::move(list));
    }
    if (needs_snapshot_) fetch();
    return true;
  } catch (const configuration::FieldError& error) {
    log(std::string("discovery: invalid list: ") + error.what());
    return false;
  }
}

void DiscoveryClient::fail(const std::shared_ptr<Query>& query, const std::string& cause,
                           SubscriptionLossReason reason) {
  const char* subject = query->kind == QueryKind::watch ? "watch" : "query";
  log(std::string("discovery: ") + subject + " failed: " + cause);
  query->finished = true;
  query->timer.cancel();
  error_code ignored;
  query->socket.close(ignored);
  if (watch_ == query) watch_.reset();
  if (poll_ == query) {
    poll_.reset();
    // A snapshot that is due after a move is as overdue as what a watch without data has missed.
    reason = SubscriptionLossReason::timed_out;
  }
  if (needs_snapshot_) list_version_ = 0;  // the next watch queries everything again
  on_loss_(reason);
}

}  // namespace message_relay
