// Connections to endpoints: where each endpoint is found, and its idle connections, kept for reuse.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "clock.hpp"
#include "dispatch/dispatcher.hpp"

namespace message_relay {

using dispatch::EndpointId;

// A connection to an endpoint. It carries one call at a time.
struct Connection {
  explicit Connection(boost::asio::io_context& io) : socket(io) {}
  boost::asio::ip::tcp::socket socket;
  boost::asio::ip::tcp::endpoint address;
  Time idle_since = 0;  // steady time, microseconds
};

// Closes an idle connection before the endpoint would, and when it becomes readable: the endpoint has closed
// it then, or sent what no request asked for.
class ConnectionPool {
 public:
  // The result of acquire(): a connection; or the time at which an idle one will be available; or neither,
  // where a new connection is needed.
  struct Acquisition {
    std::shared_ptr<Connection> connection;
    std::optional<Time> available_at;
  };

  // Endpoints close connections that were idle for `idle_timeout` microseconds.
  ConnectionPool(boost::asio::io_context& io, Time idle_timeout);

  // Sets where an endpoint is found; idle connections to another address are closed.
  void set_address(const EndpointId& endpoint, const boost::asio::ip::tcp::endpoint& address);
  std::optional<boost::asio::ip::tcp::endpoint> address_of(const EndpointId& endpoint) const;
  bool contains(const EndpointId& endpoint) const { return endpoints_.contains(endpoint); }
  // Forgets the endpoint and closes its idle connections.
  void remove(const EndpointId& endpoint);

  // Takes the most recently used of an endpoint's idle connections that can be used.
  [[nodiscard]] Acquisition acquire(const EndpointId& endpoint);
  // Keeps a connection whose call has ended; closes it where the endpoint is gone or found elsewhere by now.
  void release(const EndpointId& endpoint, const std::shared_ptr<Connection>& connection);

  void close_idle(const EndpointId& endpoint);
  void close_all_idle();
  // Closes the connection that has been idle longest; false where there is none.
  bool close_longest_idle();
  std::size_t idle_count() const { return idle_count_; }

 private:
  struct Endpoint {
    boost::asio::ip::tcp::endpoint address;
    std::vector<std::shared_ptr<Connection>> idle;  // most recently used last
  };

  void watch(const std::shared_ptr<Connection>& connection, const EndpointId& endpoint);
  void close(const EndpointId& endpoint, const Connection* connection);
  void close_expired();

  Time max_idle_time_;
  std::map<EndpointId, Endpoint> endpoints_;
  std::size_t idle_count_ = 0;  // over all endpoints
  boost::asio::steady_timer expiry_timer_;
};

}  // namespace message_relay
