// Where clients hand in messages: an HTTP server that reads requests, asks for a decision on each, answers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string_view>
#include <vector>

#include "journal.hpp"
#include "log.hpp"
#include "settings_reader.hpp"

namespace message_relay {

struct ClientResponse {
  unsigned status = 202;
  Time retry_after = 0;                    // 0: none
  std::string_view rejection_reason = {};  // why the message makes no sense, where it makes none; a literal
};
using ResponseCallback = std::function<void(const ClientResponse&)>;

// A connection that stands between requests, as one process hands it to the next.
struct IdleClient {
  int socket = -1;
  bool served_before = false;  // a whole request has come on it
  Time idle_since = 0;         // it stands so
};

struct IngressLimits {
  std::size_t max_connections = 1;  // connections
  std::size_t max_body_bytes = 0;   // of all bodies that are being read
};

class IngressServer {
 public:
  using Take = std::function<void(Message, ResponseCallback)>;
  using Ready = std::function<bool()>;

  // Accepts at once. Each message goes to `take`, which answers by the reply, once, then or later.
  IngressServer(boost::asio::io_context& io, boost::asio::ip::tcp::acceptor listening,
                const dispatch::Settings& settings, const configuration::SettingNames& names,
                const IngressLimits& limits, Take take, Ready ready);
  ~IngressServer();

  // While draining, connections are closed once they stand between requests; new ones are still answered.
  void drain(bool on);
  // Whether a request is being read or answered.
  bool busy() const;
  // Whether one is being read, or answered; those that were turned down don't count.
  bool all_between_requests() const;
  // What another process may go on with, and going on with it.
  int listener() { return acceptor_.native_handle(); }
  std::vector<IdleClient> idle_clients() const;
  void adopt(const IdleClient& client);
  boost::asio::ip::tcp::endpoint local() const { return acceptor_.local_endpoint(); }

 private:
  class Session;
  void accept();
  void begin(boost::asio::ip::tcp::socket socket, bool used, Time since);
  void make_room();
  bool short_of_room() const;

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  const dispatch::Settings& settings_;
  const configuration::SettingNames& names_;
  IngressLimits limits_;
  Take take_;
  Ready ready_;
  bool draining_ = false;
  std::size_t body_bytes_ = 0;
  CountingLog tally_;
  std::set<std::shared_ptr<Session>> sessions_;
};

}  // namespace message_relay
