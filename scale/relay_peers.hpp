// Stand-ins for the peers of a relay, on loopback sockets: the discovery service, the endpoints and the
// clients.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace scale_tool {

// The peers of one relay. Their event loop runs on the caller's thread, and only during run_until() and
// run_for(). Addresses have the form "host:port". Invariant: `watches_` holds the open watches of the
// endpoint list; a client connection is busy from the submission of a message until its response has been
// read.
class RelayPeers {
 public:
  // Listens on free ports. Throws boost::system::system_error if no port is free.
  RelayPeers();

  [[nodiscard]] std::string discovery_address() const { return address_of(discovery_acceptor_); }
  // The one address at which all endpoints are served.
  [[nodiscard]] std::string endpoint_address() const { return address_of(endpoint_acceptor_); }
  // The address reserved for the relay to listen on.
  [[nodiscard]] std::string relay_address() const;

  // Sets the list that is sent at the start of each new watch of the endpoint list.
  void set_initial_list(std::string list) { initial_list_ = std::move(list); }
  // Sends a list on all open watches.
  void publish(const std::string& list);
  // Bytes sent on all watches, including the chunk framing but not the response headers.
  [[nodiscard]] std::int64_t watch_bytes_sent() const { return watch_bytes_sent_; }
  [[nodiscard]] std::size_t watch_count() const { return watches_.size(); }

  // Whether the relay answers a health check with 200 OK. Blocks until it answers or the connection fails.
  [[nodiscard]] bool is_relay_ready();
  // Submits a message to the relay, on an idle client connection or, if there is none, on a new one. Throws
  // boost::system::system_error if the relay can't be connected to or written to.
  void submit_message(std::int64_t destination, std::int64_t body_bytes);
  // Number of messages that were delivered to an endpoint, that the relay accepted, and that the relay
  // rejected or whose connection failed before the response.
  [[nodiscard]] std::int64_t delivered_count() const { return delivered_count_; }
  [[nodiscard]] std::int64_t accepted_count() const { return accepted_count_; }
  [[nodiscard]] std::int64_t rejected_count() const { return rejected_count_; }

  // Runs the event loop until the condition holds. The condition is checked before the loop first runs.
  void run_until(const std::function<bool()>& condition);
  // Runs the event loop for this long.
  void run_for(std::chrono::microseconds duration);

 private:
  using tcp = boost::asio::ip::tcp;
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response = boost::beast::http::response<boost::beast::http::string_body>;
  struct Connection {
    explicit Connection(tcp::socket connected) : socket(std::move(connected)) {}
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    Request request;
    Response response;
    bool is_busy = false;
  };
  using Handler = void (RelayPeers::*)(const std::shared_ptr<Connection>&);

  static std::string address_of(const tcp::acceptor& acceptor);
  void accept(tcp::acceptor& acceptor, Handler handler);
  void read_request(const std::shared_ptr<Connection>& connection, Handler handler);
  void serve_discovery(const std::shared_ptr<Connection>& connection);
  void serve_endpoint(const std::shared_ptr<Connection>& connection);
  void schedule_heartbeat();
  void write_chunk(Connection& watch, const std::string& line);
  std::shared_ptr<Connection> idle_client();
  std::string message_request(std::int64_t destination, std::int64_t body_bytes);
  void read_response(const std::shared_ptr<Connection>& client);

  boost::asio::io_context io_{1};
  tcp::acceptor discovery_acceptor_;
  tcp::acceptor endpoint_acceptor_;
  // Bound but not listening, so that the port is not given to another process.
  tcp::socket relay_port_reservation_;
  boost::asio::steady_timer heartbeat_timer_;
  std::string initial_list_;
  std::vector<std::shared_ptr<Connection>> watches_;
  std::vector<std::shared_ptr<Connection>> clients_;
  std::int64_t watch_bytes_sent_ = 0;
  std::int64_t submitted_count_ = 0;
  std::int64_t delivered_count_ = 0;
  std::int64_t accepted_count_ = 0;
  std::int64_t rejected_count_ = 0;
};

}  // namespace scale_tool
