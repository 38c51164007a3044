// One client's connection to the ingress server.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <limits>
#include <memory>
#include <string>
#include <tuple>

#include "clock.hpp"
#include "ingress_server.hpp"
#include "memory_account.hpp"
#include "request_reader.hpp"
#include "socket_io.hpp"

namespace message_relay {

// Reads the requests of a connection one after the other, has each processed, and writes its response.
//
// Invariant: every byte that the kernel has given out is in `reader_` until its request is processed, so that
// a connection in any stage but `responding` can be handed over or answered. The memory account is charged
// what the connection holds.
class IngressServer::Session final : public std::enable_shared_from_this<Session>, public MemoryHolder {
 public:
  // The eviction rank of a connection that must not be closed.
  static constexpr Time kNotEvictable = std::numeric_limits<Time>::max();

  Session(IngressServer& server, boost::asio::ip::tcp::socket socket);
  ~Session() override { server_.memory_.remove_holder(*this); }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  // Continues a connection from another process, or begins a new one.
  void start(ClientConnection connection);

  bool is_idle() const { return stage_ == Stage::idle; }
  bool is_responding() const { return stage_ == Stage::responding; }
  // Whether a request is being read or answered, or has arrived and not been read.
  bool is_active() const;
  // Whether the connection can be handed over to another process.
  bool can_be_handed_over() const { return stage_ == Stage::idle || stage_ == Stage::reading; }
  // Connections with a lower rank are handed over first, see IngressServer::take_connections().
  [[nodiscard]] std::tuple<bool, bool, bool, Time> handover_rank() const;
  // Returns the connection for handover to another process, with the bytes that have been read. Only if it
  // can be handed over.
  ClientConnection take_handover_state();
  // Continues after a handover that has failed.
  void restore(ClientConnection connection);
  [[nodiscard]] int descriptor() { return socket_.native_handle(); }

  // Returns the rank by which connections are closed when there are too many, the lowest first: connections
  // whose request was rejected, then those whose client has not read its responses for longer than it would
  // wait for one, then those without a complete request so far, then the others by the time since which they
  // have been idle or reading. Closing a connection whose request is being answered would lose its message,
  // so its rank is kNotEvictable.
  Time eviction_rank() const;
  // Whether the connection has been idle long enough to be closed when the server is near capacity. `now` is
  // a steady time in microseconds.
  bool is_evictable_early(Time now) const;
  // Closes the connection, after a rejection if a part of a request has arrived.
  void evict();
  // Whether a request has arrived of which nothing has been read.
  [[nodiscard]] bool has_unread_request() const { return is_idle() && has_unread_bytes(socket_); }

  // Reads a part of the request. Called by the server after request_turn().
  void take_turn();

  // Closes the connection if it is idle. A request that has started to arrive is answered first.
  void drain();
  // Closes the connection for the end of the process. A request that has started to arrive is rejected; one
  // that is being answered is not answered any more.
  void reject_and_close();
  // `reason` is a string literal for the log and the metrics.
  void close(const char* reason);

  // MemoryHolder: a request that is being read is rejected; a client that does not read its responses is
  // closed.
  [[nodiscard]] std::size_t releasable_bytes() const override;
  [[nodiscard]] Time held_since() const override { return stage_since_; }
  void give_up_memory() override;

 private:
  // lingering: the remaining input after a rejected request is read and discarded.
  enum class Stage { idle, reading, responding, lingering };
  // What has become of the bytes that were parsed: more are needed, or the request is answered or being
  // answered.
  enum class ParseResult { incomplete, handled };
  enum class ReadResult { some, nothing, disconnected };

  [[nodiscard]] bool is_response_blocked() const {
    return stage_ == Stage::responding && !unwritten_response_.empty();
  }
  void on_timeout();
  void set_timeout(std::chrono::microseconds timeout);
  void set_timeout_at(Time when);
  void wait_for_request();
  void wait_until_readable();
  void begin_next_request();
  void begin_received_request();
  void begin_reading();
  void read_request(std::size_t max_bytes);
  // Continues to read the request after the connections that wait for their turn already.
  void request_turn();
  ReadResult read_arrived_bytes(std::size_t max_bytes);
  ParseResult parse();
  [[nodiscard]] bool charge_memory();
  void send_continue();
  [[nodiscard]] std::size_t discard_arrived_bytes();
  void write_rejection();
  void process_request();
  [[nodiscard]] bool client_has_left();
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
  RequestReader reader_;
  MemoryCharge memory_;
  std::string unwritten_response_;  // the part of the response that the kernel has not accepted yet
  Stage stage_ = Stage::idle;
  bool waits_for_input_ = false;
  bool waits_for_turn_ = false;
  ConnectionId id_;
  // The request arrived before the previous one had been answered, or another one followed it at once.
  bool pipelined_ = false;
  // Steady time in microseconds at which it became idle, started reading or started to write a response.
  Time stage_since_ = 0;
  Time timeout_at_ = 0;              // steady time in microseconds
  std::size_t discarded_bytes_ = 0;  // while lingering
  bool served_before_ = false;       // whether a complete request has been read
  bool closed_ = false;
  bool close_after_response_ = false;
  bool linger_after_response_ = false;
};

}  // namespace message_relay
