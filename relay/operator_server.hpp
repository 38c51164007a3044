// The operators' entry: each connection brings one line, a call, and gets its reply. Holds no state of the
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
  std::string endpoint;  // of an endpoint, where the call names one
};

// What a line asks for; else why it can't be understood.
struct ParsedCommand {
  OperatorCommand command;
  std::string problem;  // empty: none
};
ParsedCommand parse_command(std::string line);

class OperatorServer {
 public:
  // The whole reply to a call, each line with its end.
  using Handler = std::function<std::string(const OperatorCommand&)>;

  // For `most` callers at a time; listens as soon as the address can be had. Guards against a relay that does
  // not start, or not take over, for want of its operators' address.
  OperatorServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, std::size_t most,
                 Handler handler);
  ~OperatorServer();

 private:
  class Session;
  void listen();
  void accept();
  void make_room();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint address_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  std::size_t most_;
  Handler handler_;
  std::list<std::shared_ptr<Session>> sessions_;  // oldest first
};

}  // namespace message_relay
