// The peers of a relay, on loopback sockets: discovery, endpoints and clients.
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

// Runs in one event loop on the caller's thread, within the run_... functions alone. Addresses are
// "host:port". Invariant: `watches_` are the open watches of the endpoint list; a client connection is busy
// from the submission of a message until its response.
class RelayPeers {
 public:
  // Throws boost::system::system_error where no port is free.
  RelayPeers();

  [[nodiscard]] std::string discovery_address() const { return address_of(discovery_); }
  // Of all endpoints that serve.
  [[nodiscard]] std::string endpoint_address() const { return address_of(endpoint_); }
  // Reserved for the relay to listen on.
  [[nodiscard]] std::string relay_address() const;

  // What a new watch of the endpoint list begins with.
  void set_initial_list(std::string list) { initial_list_ = std::move(list); }
  // Sends a list to all open watches.
  void publish(const std::string& list);
  // Sent on all watches, with the framing of the chunks.
  [[nodiscard]] std::int64_t watch_bytes() const { return watch_bytes_; }
  [[nodiscard]] std::size_t watch_count() const { return watches_.size(); }

  // Whether the relay answers that it is ready.
  [[nodiscard]] bool is_relay_ready();
  // Submits a message to the relay, on an idle connection or a new one.
  void submit_message(std::int64_t destination, std::int64_t body_bytes);
  // Messages that came to an endpoint, and those that the relay has accepted or rejected.
  [[nodiscard]] std::int64_t delivered() const { return delivered_; }
  [[nodiscard]] std::int64_t accepted() const { return accepted_; }
  [[nodiscard]] std::int64_t rejected() const { return rejected_; }

  void run_until(const std::function<bool()>& condition);
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
  tcp::acceptor discovery_;
  tcp::acceptor endpoint_;
  tcp::socket reserved_port_;  // bound, not listening: nobody else is given its port
  boost::asio::steady_timer heartbeat_;
  std::string initial_list_;
  std::vector<std::shared_ptr<Connection>> watches_;
  std::vector<std::shared_ptr<Connection>> clients_;
  std::int64_t watch_bytes_ = 0;
  std::int64_t submitted_ = 0;
  std::int64_t delivered_ = 0;
  std::int64_t accepted_ = 0;
  std::int64_t rejected_ = 0;
};

}  // namespace scale_tool
