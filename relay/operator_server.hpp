// The operators' entry: each connection sends one line, a command, and gets its reply. Holds no state of the
// relay.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace message_relay {

enum class OperatorVerb { status, metrics, suspend, restore, pause, resume };

struct OperatorCommand {
  OperatorVerb verb = OperatorVerb::status;
  std::string endpoint;  // the id, where the verb takes one
};

struct ParsedCommand {
  OperatorCommand command;
  std::string problem;  // why the line is not understood; empty: it is
};

// `line` comes without its line feed; a carriage return at its end is ignored.
[[nodiscard]] ParsedCommand parse_command(std::string line);

class OperatorServer {
 public:
  // The whole reply to a command, each line with its end.
  using Handler = std::function<std::string(const OperatorCommand&)>;

  // Serves up to `max_sessions` callers at a time. Listens as soon as the address can be had: a relay must
  // not fail to start, or to take over, for want of its operators' address.
  OperatorServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                 std::size_t max_sessions, Handler handler);
  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;
  ~OperatorServer();

 private:
  class Session;

  void listen();
  [[nodiscard]] boost::system::error_code open_acceptor();
  void accept();
  void accept_later();
  void begin_session(boost::asio::ip::tcp::socket socket);
  void close_one_if_full();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint address_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_timer_;
  std::size_t max_sessions_;
  Handler handler_;
  std::list<std::shared_ptr<Session>> sessions_;  // oldest first
};

}  // namespace message_relay
