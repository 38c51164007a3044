// The TCP server for operators: each connection sends one command line and receives the reply. This module
// holds no state of the relay.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "memory_account.hpp"

namespace message_relay {

enum class OperatorVerb { status, metrics, suspend, restore, pause, resume };

struct OperatorCommand {
  OperatorVerb verb = OperatorVerb::status;
  std::string endpoint;  // the endpoint id, for verbs that take one
};

struct ParsedCommand {
  OperatorCommand command;
  std::string problem;  // why the line is malformed; empty if it is valid
};

// Parses one command line. `line` has no line feed; a carriage return at its end is ignored.
[[nodiscard]] ParsedCommand parse_command(std::string line);

// Accepts operators' connections and passes their commands to a handler.
class OperatorServer {
 public:
  // Returns the complete reply to a command, each line with its line feed.
  using Handler = std::function<std::string(const OperatorCommand&)>;

  // Serves up to `max_sessions` connections at a time. If the address can't be bound, it keeps retrying in
  // the background: a relay must not fail to start, or to take over, because its operators' address is not
  // available.
  // `memory` must outlive the server.
  OperatorServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                 std::size_t max_sessions, MemoryAccount& memory, Handler handler);
  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;
  ~OperatorServer();

 private:
  class Session;

  void listen();
  [[nodiscard]] boost::system::error_code open_acceptor();
  void accept();
  void accept_later();
  void start_session(boost::asio::ip::tcp::socket socket);
  void evict_session_if_full();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint address_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_timer_;
  std::size_t max_sessions_;
  MemoryAccount& memory_;
  Handler handler_;
  std::list<std::shared_ptr<Session>> sessions_;  // oldest first
};

}  // namespace message_relay
