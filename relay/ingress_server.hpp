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

struct ClientResponse {
  unsigned status = 202;
  Time retry_after = 0;                    // microseconds; 0: none
  std::string_view rejection_reason = {};  // for the log, where the request is invalid; a literal
};
using ResponseCallback = std::function<void(const ClientResponse&)>;

// A connection between requests, as one process hands it over to the next.
struct IdleClient {
  int socket = -1;
  bool served_before = false;  // a complete request has come on it
  Time idle_since = 0;         // steady time, microseconds
};

struct IngressLimits {
  std::size_t max_connections = 1;
  std::size_t max_body_bytes = 0;  // of all bodies together that are being read
};

class IngressServer {
 public:
  // Gets each message, and must call the callback once, then or later.
  using Take = std::function<void(Message, ResponseCallback)>;
  // Whether the health check succeeds.
  using Ready = std::function<bool()>;

  // Accepts connections from now on. `settings` and `names` must outlive the server.
  IngressServer(boost::asio::io_context& io, boost::asio::ip::tcp::acceptor listening,
                const dispatch::Settings& settings, const configuration::SettingNames& names,
                const IngressLimits& limits, Take take, Ready ready);
  ~IngressServer();
  IngressServer(const IngressServer&) = delete;
  IngressServer& operator=(const IngressServer&) = delete;

  // While draining, a connection is closed as soon as it is between requests; requests on new ones are still
  // answered.
  void drain(bool on);
  // Whether a connection is not idle.
  bool busy() const;
  // Whether no request is being read or answered; rejected ones whose rest is discarded don't count.
  bool all_between_requests() const;

  // What another process needs to continue.
  int listener() { return acceptor_.native_handle(); }
  std::vector<IdleClient> idle_clients() const;
  // Continues with a connection that another process accepted.
  void adopt(const IdleClient& client);

  boost::asio::ip::tcp::endpoint local() const { return acceptor_.local_endpoint(); }

 private:
  class Session;

  void accept();
  void retry_accept();
  void start_session(boost::asio::ip::tcp::socket socket, bool served_before, Time idle_since);
  void evict_session();
  bool is_near_capacity() const;

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  const dispatch::Settings& settings_;
  const configuration::SettingNames& names_;
  IngressLimits limits_;
  Take take_;
  Ready ready_;
  bool draining_ = false;
  std::size_t body_bytes_ = 0;  // reserved for bodies that are being read
  CountingLog rejections_;
  std::set<std::shared_ptr<Session>> sessions_;
};

}  // namespace message_relay
