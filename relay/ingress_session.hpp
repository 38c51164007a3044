// One client's connection to the ingress server.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <cstddef>
#include <limits>
#include <memory>
#include <optional>

#include "clock.hpp"
#include "http_framing.hpp"
#include "ingress_server.hpp"

namespace message_relay {

// Reads the requests of a connection one after the other, has each processed, and writes its response.
class IngressServer::Session : public std::enable_shared_from_this<Session> {
 public:
  // The eviction rank of a connection that must not be closed.
  static constexpr Time kNotEvictable = std::numeric_limits<Time>::max();

  Session(IngressServer& server, boost::asio::ip::tcp::socket socket);

  // Waits for a request on a connection that has been idle since `idle_since`, in steady microseconds.
  void start(bool served_before, Time idle_since);

  bool is_idle() const { return stage_ == Stage::idle; }
  bool is_between_requests() const { return is_idle() || stage_ == Stage::lingering; }
  // Returns the connection for handover to another process. Only for an idle connection.
  IdleClient handover_state() { return {socket_.native_handle(), served_before_, stage_since_}; }

  // Returns the rank by which connections are closed when there are too many, the lowest first: connections
  // whose request was rejected, then those without a complete request so far, then the others by the time
  // since which they have been idle or reading. Closing a connection whose request is being answered would
  // lose its message, so its rank is kNotEvictable.
  Time eviction_rank() const;
  // Whether the connection has been idle long enough to be closed when the server is near capacity. `now` is
  // a steady time in microseconds.
  bool is_evictable_early(Time now) const;
  // Closes the connection. Returns false, and keeps it, if a request has just arrived.
  bool evict();

  // Closes the connection if it is idle. A request that has started to arrive is answered first.
  void drain();
  void close();

 private:
  // lingering: the remaining input after a rejected request is read and discarded.
  enum class Stage { idle, reading, responding, lingering };
  using Buffer = boost::beast::flat_buffer;
  static constexpr std::size_t kMaxBufferBytes = kMaxHeaderBytes + kMaxBodyBytes;

  bool has_unread_bytes() const;
  void set_timeout(std::chrono::microseconds timeout);
  void wait_for_request();
  void begin_next_request();
  void read_header();
  void process_header();
  void send_continue();
  void read_body();
  bool reserve_body_memory();
  void release_body_memory();
  void handle_read_error(boost::system::error_code error);
  void process_request();
  void answer_health_check();
  void reject(unsigned status, const char* reason);
  void respond(const ClientResponse& response);
  void finish_response();
  void begin_lingering();
  void discard_input();

  IngressServer& server_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  Buffer buffer_{kMaxBufferBytes};
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  boost::beast::http::response<boost::beast::http::empty_body> response_;
  Stage stage_ = Stage::idle;
  Time stage_since_ = 0;  // steady time in microseconds at which it became idle or started reading
  std::size_t reserved_body_bytes_ = 0;
  std::size_t discarded_bytes_ = 0;  // while lingering
  bool served_before_ = false;       // whether a complete request has been read
  bool closed_ = false;
  bool close_after_response_ = false;
  bool linger_after_response_ = false;
};

}  // namespace message_relay
