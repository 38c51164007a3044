// The addresses of endpoints, and a pool of idle connections to them that are kept for reuse.
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

// Closes an idle connection shortly before the endpoint would, and as soon as it becomes readable: the
// endpoint has then closed it or sent data that no request asked for.
class ConnectionPool {
 public:
  // The result of acquire(): a connection, or the steady time in microseconds at which an idle connection
  // will become available, or neither if a new connection is needed.
  struct Acquisition {
    std::shared_ptr<Connection> connection;
    std::optional<Time> available_at;
  };

  // `idle_timeout` is the time in microseconds after which endpoints close idle connections.
  ConnectionPool(boost::asio::io_context& io, Time idle_timeout);

  // Sets the address of an endpoint. Idle connections to its previous address are closed.
  void set_address(const EndpointId& endpoint, const boost::asio::ip::tcp::endpoint& address);
  // Returns nothing for an endpoint without an address.
  std::optional<boost::asio::ip::tcp::endpoint> address_of(const EndpointId& endpoint) const;
  bool contains(const EndpointId& endpoint) const { return endpoints_.contains(endpoint); }
  // Removes the address of an endpoint and closes its idle connections.
  void remove(const EndpointId& endpoint);

  // Takes the most recently used of the endpoint's idle connections that can be reused.
  [[nodiscard]] Acquisition acquire(const EndpointId& endpoint);
  // Keeps a connection whose call has ended. Drops it if the endpoint has been removed or has another
  // address.
  void release(const EndpointId& endpoint, const std::shared_ptr<Connection>& connection);

  void close_idle(const EndpointId& endpoint);
  void close_all_idle();
  // Closes the connection that has been idle longest. Returns false if there is none.
  bool close_longest_idle();
  std::size_t idle_count() const { return idle_count_; }

 private:
  struct Endpoint {
    boost::asio::ip::tcp::endpoint address;
    std::vector<std::shared_ptr<Connection>> idle;  // most recently used last
  };

  void close_when_readable(const std::shared_ptr<Connection>& connection, const EndpointId& endpoint);
  void close(const EndpointId& endpoint, const Connection* connection);
  void close_expired();

  Time max_idle_time_;  // microseconds
  std::map<EndpointId, Endpoint> endpoints_;
  std::size_t idle_count_ = 0;  // of all endpoints together
  boost::asio::steady_timer expiry_timer_;
};

}  // namespace message_relay
