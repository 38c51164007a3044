// HTTP server through which clients submit messages.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string_view>
#include <vector>

#include "clock.hpp"
#include "log.hpp"
#include "message.hpp"
#include "settings_reader.hpp"

namespace message_relay {

// The response to one request of a client.
struct ClientResponse {
  unsigned status = 202;  // HTTP status
  Time retry_after = 0;   // microseconds; 0 for no Retry-After header
  std::string_view rejection_reason =
      {};  // string literal for the log if the request is invalid; otherwise empty
};
using ResponseCallback = std::function<void(const ClientResponse&)>;

// A client connection without a request, as one process hands it over to the next.
struct IdleClient {
  int socket = -1;             // file descriptor
  bool served_before = false;  // whether a complete request has been read from it
  Time idle_since = 0;         // steady time, microseconds
};

// Limits of the ingress server.
struct IngressLimits {
  std::size_t max_connections = 1;
  std::size_t max_body_bytes = 0;  // total of the bodies of requests that are being read or answered
};

// Accepts client connections and passes the message of each valid request to a handler.
class IngressServer {
 public:
  // Receives each message. It must call the callback exactly once, during the call or later.
  using MessageHandler = std::function<void(Message, ResponseCallback)>;
  // Returns whether the health check succeeds.
  using ReadinessCheck = std::function<bool()>;

  // Starts accepting connections. `settings` and `names` must outlive the server.
  IngressServer(boost::asio::io_context& io, boost::asio::ip::tcp::acceptor acceptor,
                const dispatch::Settings& settings, const configuration::SettingNames& names,
                const IngressLimits& limits, MessageHandler on_message, ReadinessCheck is_ready);
  ~IngressServer();
  IngressServer(const IngressServer&) = delete;
  IngressServer& operator=(const IngressServer&) = delete;

  // Starts or stops draining. While draining, a connection is closed as soon as it is between requests. New
  // connections are still accepted and their requests answered.
  void drain(bool enabled);
  // Whether any connection is not idle.
  bool has_active_connections() const;
  // Whether no request is being read or answered. A rejected request whose remaining input is being discarded
  // does not count.
  bool all_between_requests() const;

  // Returns the file descriptor of the listening socket, for handover to another process.
  int listener_descriptor() { return acceptor_.native_handle(); }
  // Returns the idle connections, for handover to another process.
  std::vector<IdleClient> idle_clients() const;
  // Continues to serve a connection that another process accepted.
  void adopt(const IdleClient& client);

  boost::asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }

 private:
  class Session;

  void accept();
  void schedule_accept_retry();
  void start_session(boost::asio::ip::tcp::socket socket, bool served_before, Time idle_since);
  void evict_session_if_needed();
  bool is_near_capacity() const;

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  const dispatch::Settings& settings_;
  const configuration::SettingNames& names_;
  IngressLimits limits_;
  MessageHandler on_message_;
  ReadinessCheck is_ready_;
  bool draining_ = false;
  std::size_t body_bytes_ = 0;  // memory reserved for request bodies
  CountingLog rejections_;
  std::set<std::shared_ptr<Session>> sessions_;
};

}  // namespace message_relay
