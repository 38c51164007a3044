// HTTP server through which clients submit messages.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "clock.hpp"
#include "log.hpp"
#include "memory_account.hpp"
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

// Accepts client connections and passes the message of each valid request to a handler.
class IngressServer {
 public:
  // Receives each message. It must call the callback exactly once, during the call or later.
  using MessageHandler = std::function<void(Message, ResponseCallback)>;
  // Returns whether the health check succeeds.
  using ReadinessCheck = std::function<bool()>;

  // Starts accepting connections, up to `max_connections` at a time. `settings`, `names` and `memory` must
  // outlive the server.
  IngressServer(boost::asio::io_context& io, boost::asio::ip::tcp::acceptor acceptor,
                const dispatch::Settings& settings, const configuration::SettingNames& names,
                std::size_t max_connections, MemoryAccount& memory, MessageHandler on_message,
                ReadinessCheck is_ready);
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
  // Ends all connections at the end of the process, and stops listening. Requests that have arrived are
  // rejected, also those on connections that have not been accepted.
  void reject_and_close_all();

  // Returns the file descriptor of the listening socket, for handover to another process.
  int listener_descriptor() { return acceptor_.native_handle(); }
  // Returns up to `max_count` connections on which no request is being answered, for handover to another
  // process, with the bytes that have been read from them. Connections on which a request is being read are
  // preferred, then those that have served none, on which the first may already be on its way, then those
  // that became idle last; those on which a request has been read for longer than clients wait come last.
  // Requests on the others are rejected and their connections closed.
  std::vector<ClientConnection> take_connections(std::size_t max_count);
  // Continues with the connections after a handover that has failed.
  void restore(std::vector<ClientConnection> connections);
  // Continues to serve a connection that another process accepted.
  void adopt(ClientConnection connection);

  // Why requests were rejected and connections were closed.
  [[nodiscard]] const CountingLog& rejections() const { return rejections_; }
  [[nodiscard]] const CountingLog& closes() const { return closes_; }

  boost::asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }

 private:
  class Session;

  void accept_when_ready();
  void schedule_accept_retry();
  // Lets the connection take a turn after those that were added before. All turns together take a short time
  // in each pass of the event loop, so that long requests and requests sent in a row don't hold up others.
  void add_turn(std::shared_ptr<Session> session);
  void schedule_turns();
  void run_turns();
  enum class AcceptResult { accepted, peer_gone, none_waiting, failed };
  AcceptResult accept_one();
  // Whether another connection may be waiting.
  static bool can_accept_more(AcceptResult result);
  void admit(boost::asio::ip::tcp::socket socket);
  void start_session(boost::asio::ip::tcp::socket socket, ClientConnection connection);
  // A copy, because sessions are erased from the set when they close.
  std::vector<std::shared_ptr<Session>> sessions() const { return {sessions_.begin(), sessions_.end()}; }
  void evict_session_if_needed();
  bool is_near_capacity() const;

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  const dispatch::Settings& settings_;
  const configuration::SettingNames& names_;
  std::size_t max_connections_;
  MemoryAccount& memory_;
  MessageHandler on_message_;
  ReadinessCheck is_ready_;
  bool draining_ = false;
  CountingLog rejections_;
  CountingLog closes_;
  ConnectionId next_connection_id_ = kUnknownConnection + 1;
  std::set<std::shared_ptr<Session>> sessions_;
  bool turns_scheduled_ = false;
  std::deque<std::shared_ptr<Session>> turns_;  // the connections that wait for their turn, the first first
};

}  // namespace message_relay
