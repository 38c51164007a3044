// HTTP server through which clients submit messages.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>
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

// A client connection on which no request is being answered, as one process hands it over to the next. Times
// are steady times in microseconds.
struct ClientConnection {
  int socket = -1;                  // file descriptor
  bool served_before = false;       // whether a complete request has been read from it
  Time idle_since = 0;              // or, with received bytes, since when the request is being read
  Time timeout_at = 0;              // when the request must be complete; 0: the usual time after idle_since
  std::string received_bytes = {};  // the part of the next request that has been read; often empty
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
  // Whether any request is being read or answered or has arrived and not been read, or any connection has not
  // been accepted.
  bool has_active_connections();
  // Whether any request is being answered.
  bool is_responding() const;
  // Ends all connections at the end of the process. Requests that have arrived are rejected, also those on
  // connections that have not been accepted.
  void reject_and_close_all();

  // Returns the file descriptor of the listening socket, for handover to another process.
  int listener_descriptor() { return acceptor_.native_handle(); }
  // Returns the connections on which no request is being answered, for handover to another process.
  std::vector<ClientConnection> connections() const;
  // Continues to serve a connection that another process accepted.
  void adopt(const ClientConnection& connection);

  boost::asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }

 private:
  class Session;

  void accept_when_ready();
  void schedule_accept_retry();
  enum class AcceptResult { accepted, peer_gone, none_waiting, failed };
  AcceptResult accept_one();
  void admit(boost::asio::ip::tcp::socket socket);
  void start_session(boost::asio::ip::tcp::socket socket, const ClientConnection& connection);
  // A copy, because sessions are erased from the set when they close.
  std::vector<std::shared_ptr<Session>> sessions() const { return {sessions_.begin(), sessions_.end()}; }
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
