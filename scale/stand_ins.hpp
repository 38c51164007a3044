// What a relay deals with, on loopback sockets: discovery, endpoints and clients. One thread and one event
// loop.
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
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace scale_tool {

class StandIns {
 public:
  StandIns();

  std::string discovery() const { return address_of(discovery_); }
  std::string endpoint() const { return address_of(endpoint_); }  // of all endpoints that serve
  std::string relay() const;  // an address that is kept free for the relay to listen on

  // What a new watch is told first, and all open ones now. The bytes, with those of the chunks, are counted.
  void begin_with(std::string list) { first_ = std::move(list); }
  void tell(const std::string& list);
  std::int64_t watch_bytes() const { return watch_bytes_; }
  std::size_t watches() const { return watches_.size(); }

  bool ready();  // whether the relay says that it is
  // A message to a destination, on a connection that is free or a new one.
  void hand_in(std::int64_t destination, std::int64_t body_bytes);
  std::int64_t delivered() const { return delivered_; }
  std::int64_t answered() const { return answered_; }
  std::int64_t refused() const { return refused_; }

  // Lives on until the condition holds, or the time has come.
  void run_until(const std::function<bool()>& condition);
  void run_for(std::chrono::microseconds span);

 private:
  using tcp = boost::asio::ip::tcp;
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response = boost::beast::http::response<boost::beast::http::string_body>;
  struct Session {
    explicit Session(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    Request request;
    Response response;
    bool busy = false;
  };
  using Handler = void (StandIns::*)(const std::shared_ptr<Session>&);

  static std::string address_of(const tcp::acceptor& acceptor);
  void accept(tcp::acceptor& acceptor, Handler handler);
  void read(const std::shared_ptr<Session>& session, Handler handler);
  void on_discovery(const std::shared_ptr<Session>& session);
  void on_endpoint(const std::shared_ptr<Session>& session);
  void heartbeat();
  void chunk(Session& watch, const std::string& line);
  std::shared_ptr<Session> free_client();

  boost::asio::io_context io_{1};
  tcp::acceptor discovery_, endpoint_;
  tcp::socket kept_;  // bound, not listening: nobody else is given its port
  boost::asio::steady_timer heartbeat_;
  std::string first_;
  std::vector<std::shared_ptr<Session>> watches_, clients_;
  std::int64_t watch_bytes_ = 0, handed_in_ = 0, delivered_ = 0, answered_ = 0, refused_ = 0;
};

}  // namespace scale_tool
