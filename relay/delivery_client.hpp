// Calls to endpoints: connections, bundles, outcomes.
//
// A connection carries one call at a time; kept ones are used freshest first and closed before the endpoint
// would. Each message in a call has its own time-out; the call ends with the last of them, and none of them
// ends before, unless its answer comes. They share one fate: once one of them is over, none is waited for.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "clock.hpp"
#include "dispatch/dispatcher.hpp"
#include "log.hpp"
#include "response_reader.hpp"

namespace message_relay {

using dispatch::EndpointId;
using dispatch::MessageId;
using dispatch::Outcome;

struct OutgoingMessage {
  MessageId id = 0;
  int attempt = 0;
  Time timeout = 0;
  std::string client_id, body;
  std::string idempotency_key = {};
  Time time_to_deadline = 3'600'000'000;             // until it is over, delivered or not
  Time start_by = std::numeric_limits<Time>::max();  // its first byte goes out before that, or it does not go
};

// A call that was written whole and waits for its answer, as one process hands it to the next.
struct InFlightCall {
  int socket = -1;
  EndpointId endpoint;
  boost::asio::ip::tcp::endpoint address;
  Time sent_at = 0, response_due = 0;
  std::string response_bytes;             // of its answer
  std::vector<OutgoingMessage> messages;  // without their bodies
  std::vector<std::optional<Outcome>> given_up;
};

struct DeliveryLimits {
  std::size_t max_calls_in_flight = 1;  // calls out at once
  Time connect_timeout = 0;
  Time idle_timeout = 0;                   // endpoints close connections that were idle for so long
  std::size_t max_connections = 1;         // of calls out and kept ones together
  bool load_reports_in_responses = false;  // answers may hold load reports
};

class DeliveryClient {
 public:
  using Ended = std::function<void(const dispatch::event::AttemptEnded&)>;

  DeliveryClient(boost::asio::io_context& io, const DeliveryLimits& limits, Ended ended);
  ~DeliveryClient();

  // Where an endpoint is found; kept connections to another address are closed.
  void set_address(const EndpointId& endpoint, const boost::asio::ip::tcp::endpoint& address);
  void forget(const EndpointId& endpoint);  // it is gone
  // One call; `ended` hears of each message once, never from inside send().
  void send(const EndpointId& endpoint, std::vector<OutgoingMessage> messages);
  void cancel(MessageId id, int attempt);
  void close_idle(const EndpointId& endpoint);
  void close_all_idle();
  std::optional<boost::asio::ip::tcp::endpoint> address_of(const EndpointId& endpoint) const;
  // Ends, as not sent, the calls to an endpoint of which no byte has gone out.
  void cancel_unsent(const EndpointId& endpoint);

  // Whether all calls out are written whole.
  bool all_calls_written() const;
  void cancel_all_unsent();
  // What another process may go on with, and going on with it.
  std::vector<InFlightCall> in_flight_calls() const;
  void adopt(const InFlightCall& open);

  std::size_t in_flight_count() const { return out_.size(); }
  std::uint64_t messages_written() const { return written_; }  // messages written whole to endpoints

 private:
  struct Connection;
  struct Call;
  struct Place {
    boost::asio::ip::tcp::endpoint address;
    std::vector<std::shared_ptr<Connection>> idle;  // freshest last
  };

  void begin(const std::shared_ptr<Call>& call);
  void begin_at(const std::shared_ptr<Call>& call, Time when);
  void connect(const std::shared_ptr<Call>& call, const boost::asio::ip::tcp::endpoint& address);
  void write(const std::shared_ptr<Call>& call);
  void read(const std::shared_ptr<Call>& call);
  void came(const std::shared_ptr<Call>& call, ResponseReader::State state);
  void answered(const std::shared_ptr<Call>& call);
  void broken(const std::shared_ptr<Call>& call);
  void answered_bundle(const std::shared_ptr<Call>& call);
  void arm(const std::shared_ptr<Call>& call);
  void end(const std::shared_ptr<Call>& call, std::size_t part, Outcome outcome, bool closed = false);
  void give_up(const std::shared_ptr<Call>& call, std::size_t part, Outcome outcome);
  void end_late(const std::shared_ptr<Call>& call);
  void end_all(const std::shared_ptr<Call>& call, Outcome outcome, bool closed = false);
  void keep(const EndpointId& endpoint, const std::shared_ptr<Connection>& connection);
  void watch_idle(const std::shared_ptr<Connection>& connection, const EndpointId& endpoint);
  void drop(const EndpointId& endpoint, const Connection* connection);
  void sweep();
  bool drop_longest_idle();

  boost::asio::io_context& io_;
  DeliveryLimits limits_;
  Ended ended_;
  CountingLog odd_;
  std::array<char, 16 * 1024> chunk_{};  // what was read last
  boost::asio::steady_timer sweep_timer_;
  std::map<EndpointId, Place> places_;
  std::set<std::shared_ptr<Call>> out_;
  std::size_t kept_ = 0;
  std::uint64_t written_ = 0;
};

}  // namespace message_relay
