// One HTTP call that delivers messages to an endpoint: connection, request, response, outcomes.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "clock.hpp"
#include "connection_pool.hpp"
#include "dispatch/dispatcher.hpp"
#include "log.hpp"
#include "response_reader.hpp"

namespace message_relay {

using dispatch::MessageId;
using dispatch::Outcome;

// A message as one attempt delivers it. Times are in microseconds.
struct OutgoingMessage {
  MessageId id = 0;
  int attempt = 0;
  Time timeout = 0;  // from the start of the call
  std::string client_id;
  std::string body;
  std::string idempotency_key = {};       // empty: none
  Time time_to_deadline = 3'600'000'000;  // after that the message is given up, delivered or not
  // Steady time: where the request is not begun by then, the message is not sent.
  Time start_by = std::numeric_limits<Time>::max();
};

// A call whose request is written completely and whose response is awaited, as one process hands it over to
// the next. Times are steady, in microseconds.
struct InFlightCall {
  int socket = -1;
  EndpointId endpoint;
  boost::asio::ip::tcp::endpoint address;
  Time sent_at = 0;
  Time response_due = 0;                         // 0: no part of the response has come
  std::string response_bytes;                    // what has come of the response
  std::vector<OutgoingMessage> messages;         // without their bodies
  std::vector<std::optional<Outcome>> given_up;  // of each message: its outcome, should no response come
};

// Times are in microseconds.
struct DeliveryLimits {
  std::size_t max_calls_in_flight = 1;
  Time connect_timeout = 0;
  Time idle_timeout = 0;                   // endpoints close connections that were idle for so long
  std::size_t max_connections = 1;         // of calls in flight and idle ones together
  bool load_reports_in_responses = false;  // responses may carry load reports
};

// A call in flight. Each message has its own timeout; the call ends with the last of them, and no message
// ends before its call does unless its response comes: it could be sent again while the first copy is still
// in flight.
class DeliveryCall : public std::enable_shared_from_this<DeliveryCall> {
 public:
  // The client that makes the call, as the call sees it.
  class Owner {
   public:
    Owner() = default;
    Owner(const Owner&) = delete;
    Owner& operator=(const Owner&) = delete;
    virtual ~Owner() = default;
    // Called before a connection is opened.
    virtual void make_room_for_connection() = 0;
    virtual void on_request_written(std::size_t message_count) = 0;
    // Called once all messages of the call have their outcome, before the last is reported.
    virtual void on_call_finished(const std::shared_ptr<DeliveryCall>& call) = 0;
    // Called once for each message.
    virtual void on_attempt_ended(const dispatch::event::AttemptEnded& ended) = 0;
    // Called after a response behind which the connection can be used again.
    virtual void on_connection_idle(const EndpointId& endpoint,
                                    const std::shared_ptr<Connection>& connection) = 0;
  };

  using ReadBuffer = std::array<char, std::size_t{16} * 1024>;

  // What all calls of a client share. It outlives them.
  struct Environment {
    boost::asio::io_context& io;
    const DeliveryLimits& limits;
    Owner& owner;
    ConnectionPool& pool;
    CountingLog& unexpected_responses;
    ReadBuffer& read_buffer;
  };

  DeliveryCall(const Environment& environment, EndpointId endpoint, std::vector<OutgoingMessage> messages);

  // Gets a connection and sends the request.
  void start();
  // Continues a call that another process began.
  void resume(const InFlightCall& handed_over);
  // Cancels an attempt; false where it is not one of this call's or has ended.
  bool cancel(MessageId id, int attempt);
  // Ends all messages, of a call whose request has not reached the endpoint, as not sent.
  void abort();

  const EndpointId& endpoint() const { return endpoint_; }
  bool is_connecting() const { return stage_ == Stage::connecting; }
  bool is_writing() const { return stage_ == Stage::writing; }
  bool awaits_response() const { return stage_ == Stage::awaiting_response; }
  bool is_finished() const { return stage_ == Stage::finished; }
  // Of a call that awaits its response.
  InFlightCall state() const;

 private:
  enum class Stage { connecting, writing, awaiting_response, finished };
  struct PendingMessage {
    OutgoingMessage message;
    bool ended = false;  // its outcome was reported
    // Set where it is no longer waited for while others of the call are: reported when the call ends.
    std::optional<Outcome> abandoned_as;
  };
  struct AttemptResult {
    Outcome outcome = Outcome::succeeded;
    bool message_settled = false;  // no other attempt may follow
  };

  void start_at(Time when);
  void connect(const boost::asio::ip::tcp::endpoint& address);
  void send_request();
  void prepare_request();
  void read_response();
  void receive(boost::system::error_code error);
  void process(ResponseReader::State state);
  void process_response();
  AttemptResult result_of_status();
  void end_batch();
  void fail_response();
  static AttemptResult result_of_batch_state(const std::string& state);

  void restart_timer();
  Time next_due() const;
  void on_timer();
  Time connect_due() const { return sent_at_ + environment_.limits.connect_timeout; }

  void end(PendingMessage& pending, AttemptResult result);
  void end_all(AttemptResult result);
  void end_late_messages();
  void abandon(PendingMessage& pending, Outcome outcome);
  void finish();
  bool is_delivered() const;

  const Environment& environment_;
  EndpointId endpoint_;
  std::vector<PendingMessage> messages_;
  std::size_t pending_count_ = 0;  // messages whose outcome was not reported
  Stage stage_ = Stage::connecting;
  Time sent_at_ = 0;  // steady time, microseconds
  std::shared_ptr<Connection> connection_;
  boost::asio::steady_timer timer_;
  boost::beast::http::request<boost::beast::http::string_body> request_;
  ResponseReader response_;
  std::string response_bytes_;  // what has come of the response
  Time response_due_ = 0;       // the rest of a response that has begun must come by then; 0: none has begun
  bool connection_reusable_ = false;
  Time retry_after_ = 0;
  dispatch::LoadReport load_report_;
};

}  // namespace message_relay
