// One HTTP call that delivers messages to an endpoint: it gets a connection, writes the request, reads the
// response and reports the outcome of each message.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "attempt_result.hpp"
#include "clock.hpp"
#include "connection_pool.hpp"
#include "delivery_request.hpp"
#include "dispatch/dispatcher.hpp"
#include "log.hpp"
#include "memory_account.hpp"
#include "response_reader.hpp"

namespace message_relay {

// The state of a call that awaits its response, as one process hands it over to the next. Its request has
// been written completely. Times are steady times in microseconds.
struct InFlightCall {
  int socket = -1;  // file descriptor
  EndpointId endpoint;
  boost::asio::ip::tcp::endpoint address;
  Time sent_at = 0;
  Time response_due = 0;       // when more of the response must arrive; 0 if no part of it has arrived
  std::string response_bytes;  // the part of the response that has arrived
  std::vector<OutgoingMessage> messages;  // without their bodies
  // One for each message. Set if the message is no longer waited for: its outcome if no response arrives.
  std::vector<std::optional<Outcome>> provisional_outcomes;
};

// Limits of a delivery client. Times are in microseconds.
struct DeliveryLimits {
  std::size_t max_calls_in_flight = 1;
  Time connect_timeout = 0;
  Time idle_timeout = 0;                   // endpoints close connections that have been idle for this time
  std::size_t max_connections = 1;         // connections of calls in flight plus idle connections
  bool load_reports_in_responses = false;  // whether load reports are read from responses
};

// A call in flight. Each message has its own timeout, and the call ends at the last of these. Once the
// request is being written, a message that timed out or was cancelled ends only with the call: if its outcome
// were reported earlier, the message could be sent again while the first copy is still in flight.
class DeliveryCall : public std::enable_shared_from_this<DeliveryCall> {
 public:
  // The interface through which a call notifies the client that makes it.
  class Owner {
   public:
    Owner() = default;
    Owner(const Owner&) = delete;
    Owner& operator=(const Owner&) = delete;
    virtual ~Owner() = default;
    // Called before a connection is opened.
    virtual void make_room_for_connection() = 0;
    // Whether another call could begin.
    [[nodiscard]] virtual bool has_free_slot() const = 0;
    virtual void on_request_written(std::size_t message_count) = 0;
    // Called once all messages of the call have an outcome, before the last outcome is reported.
    virtual void on_call_finished(const std::shared_ptr<DeliveryCall>& call) = 0;
    // Called once for each message, with its outcome.
    virtual void on_attempt_ended(const dispatch::event::AttemptEnded& ended) = 0;
    // Called after a response if the connection can be reused.
    virtual void on_connection_idle(const EndpointId& endpoint,
                                    const std::shared_ptr<Connection>& connection) = 0;
  };

  using ReadBuffer = std::array<char, std::size_t{16} * 1024>;

  // The objects that all calls of a client share. They must outlive the calls.
  struct Environment {
    boost::asio::io_context& io;
    const DeliveryLimits& limits;
    Owner& owner;
    ConnectionPool& pool;
    MemoryAccount& memory;
    CountingLog& unexpected_responses;
    ReadBuffer& read_buffer;
  };

  DeliveryCall(const Environment& environment, EndpointId endpoint, std::vector<OutgoingMessage> messages);

  // Gets a connection and sends the request.
  void start();
  // Continues a call that another process started.
  void resume(const InFlightCall& handed_over);
  // Cancels an attempt. Returns false if it does not belong to this call or has already ended.
  bool cancel(MessageId id, int attempt);
  // Ends all messages as not sent. Only for a call whose request has not been written completely: an endpoint
  // starts to process a request once its last byte has arrived.
  void abort();

  const EndpointId& endpoint() const { return endpoint_; }
  bool is_connecting() const { return stage_ == Stage::connecting; }
  bool is_writing() const { return stage_ == Stage::writing; }
  bool awaits_response() const { return stage_ == Stage::awaiting_response; }
  bool is_finished() const { return stage_ == Stage::finished; }
  // Returns the state to hand over to another process. Only for a call that awaits its response.
  InFlightCall state() const;

 private:
  // The stage always agrees with the kernel: nothing of the request has been written while connecting, a part
  // of it at most while writing, and all of it while awaiting the response.
  enum class Stage { connecting, writing, awaiting_response, finished };
  struct PendingMessage {
    OutgoingMessage message;
    bool ended = false;  // its outcome has been reported
    // Set if this message timed out or was cancelled while other messages of the call are still waited for.
    // It is reported when the call ends.
    std::optional<Outcome> provisional_outcome;
  };
  void start_at(Time when);
  void connect(const boost::asio::ip::tcp::endpoint& address);
  void send_request();
  void prepare_request();
  void write_request();
  void wait_until_writable();
  void read_response();
  void receive(boost::system::error_code error);
  ResponseReader::State read_arrived_bytes();
  bool end_if_response_arrived();
  void on_response_bytes();
  void on_response_silent();
  void process(ResponseReader::State state);
  void process_response();
  AttemptResult result_of_status();
  void process_batch_response();
  void fail_response();

  void restart_timer();
  Time next_due() const;
  void on_timer();
  Time connect_due() const { return sent_at_ + environment_.limits.connect_timeout; }

  void end_attempt(PendingMessage& pending, AttemptResult result);
  void end_all_attempts(AttemptResult result);
  void end_overdue_attempts();
  void stop_waiting_for(PendingMessage& pending, Outcome outcome);
  [[nodiscard]] Outcome outcome_without_response(const PendingMessage& pending) const;
  void finish();
  bool is_delivered() const;

  const Environment& environment_;
  EndpointId endpoint_;
  std::vector<PendingMessage> messages_;
  std::size_t pending_count_ = 0;  // messages whose outcome has not been reported
  Stage stage_ = Stage::connecting;
  Time sent_at_ = 0;  // steady time, microseconds
  std::shared_ptr<Connection> connection_;
  boost::asio::steady_timer timer_;
  std::string unwritten_request_;  // the part of the request that the kernel has not accepted yet
  ResponseReader response_;
  std::string response_bytes_;  // the part of the response that has arrived
  MemoryCharge memory_;         // of the response
  // Steady time in microseconds at which more of a started response must arrive; 0 if none has started.
  Time response_due_ = 0;
  bool connection_reusable_ = false;
  Time retry_after_ = 0;  // microseconds
  dispatch::LoadReport load_report_;
};

}  // namespace message_relay
