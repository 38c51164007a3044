// One client's connection to the ingress server.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <cstddef>
#include <limits>
#include <memory>
#include <optional>
#include <string>

#include "clock.hpp"
#include "http_framing.hpp"
#include "ingress_server.hpp"

namespace message_relay {

// Reads the requests of a connection one after the other, has each processed, and writes its response.
//
// Invariant: every byte that the kernel has given out is in `received_` until its request has been answered,
// so that a connection in any stage but `responding` can be handed over or answered.
class IngressServer::Session : public std::enable_shared_from_this<Session> {
 public:
  // The eviction rank of a connection that must not be closed.
  static constexpr Time kNotEvictable = std::numeric_limits<Time>::max();

  Session(IngressServer& server, boost::asio::ip::tcp::socket socket);

  // Continues a connection from another process, or begins a new one.
  void start(const ClientConnection& connection);

  bool is_idle() const { return stage_ == Stage::idle; }
  bool is_responding() const { return stage_ == Stage::responding; }
  // Whether a request is being read or answered, or has arrived and not been read.
  bool is_active() const;
  // Whether the connection can be handed over to another process.
  bool can_be_handed_over() const { return stage_ == Stage::idle || stage_ == Stage::reading; }
  // Returns the connection for handover to another process. Only if it can be handed over.
  ClientConnection handover_state();

  // Returns the rank by which connections are closed when there are too many, the lowest first: connections
  // whose request was rejected, then those without a complete request so far, then the others by the time
  // since which they have been idle or reading. Closing a connection whose request is being answered would
  // lose its message, so its rank is kNotEvictable.
  Time eviction_rank() const;
  // Whether the connection has been idle long enough to be closed when the server is near capacity. `now` is
  // a steady time in microseconds.
  bool is_evictable_early(Time now) const;
  // Closes the connection, after a rejection if a part of a request has been read. Returns false, and keeps
  // it, if a request has just arrived.
  bool evict();

  // Closes the connection if it is idle. A request that has started to arrive is answered first.
  void drain();
  // Closes the connection for the end of the process. A request that has started to arrive is rejected; one
  // that is being answered is not answered any more.
  void reject_and_close();
  void close();

 private:
  // lingering: the remaining input after a rejected request is read and discarded.
  enum class Stage { idle, reading, responding, lingering };
  // What has become of the bytes that were parsed: more are needed, or the request is answered or being
  // answered.
  enum class ParseResult { incomplete, handled };
  enum class ReadResult { some, nothing, disconnected };

  void on_timeout();
  void set_timeout(std::chrono::microseconds timeout);
  void set_timeout_at(Time when);
  void wait_for_request();
  void wait_until_readable();
  void begin_next_request();
  void begin_received_request();
  void prepare_parser();
  void read_request();
  ReadResult read_arrived_bytes();
  ParseResult parse();
  ParseResult parse_header();
  ParseResult parse_body();
  std::size_t put_in_parser(boost::system::error_code& error);
  void send_continue();
  void reject_unparsable(boost::system::error_code error);
  void write_rejection();
  bool reserve_body_memory(std::size_t bytes);
  void release_body_memory();
  void process_request();
  void answer_health_check();
  void reject(unsigned status, const char* reason);
  void respond(const ClientResponse& response);
  void write_response();
  void finish_response();
  void begin_lingering();
  void discard_input();

  IngressServer& server_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::string received_;    // read and not yet answered: the current request and what followed it
  std::size_t parsed_ = 0;  // bytes of received_ that the parser has taken
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  bool header_processed_ = false;
  std::string unwritten_response_;  // the part of the response that the kernel has not accepted yet
  Stage stage_ = Stage::idle;
  bool waits_for_input_ = false;
  Time stage_since_ = 0;  // steady time in microseconds at which it became idle or started reading
  Time timeout_at_ = 0;   // steady time in microseconds
  std::size_t reserved_body_bytes_ = 0;
  std::size_t discarded_bytes_ = 0;  // while lingering
  bool served_before_ = false;       // whether a complete request has been read
  bool closed_ = false;
  bool close_after_response_ = false;
  bool linger_after_response_ = false;
};

}  // namespace message_relay
