// HTTP client that delivers messages to endpoints.
//
// A connection carries one call at a time; idle connections are reused, the most recently used first, and
// closed before the endpoint would close them. Messages that share a call (a batch) share its fate: once the
// deadline of one of them has passed, none is waited for.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "connection_pool.hpp"
#include "delivery_call.hpp"
#include "dispatch/dispatcher.hpp"
#include "log.hpp"

namespace message_relay {

class DeliveryClient : private DeliveryCall::Owner {
 public:
  using Ended = std::function<void(const dispatch::event::AttemptEnded&)>;

  // `ended` is called once for each message, never from inside send().
  DeliveryClient(boost::asio::io_context& io, const DeliveryLimits& limits, Ended ended);
  ~DeliveryClient() override;
  DeliveryClient(const DeliveryClient&) = delete;
  DeliveryClient& operator=(const DeliveryClient&) = delete;

  // Sets where an endpoint is found; idle connections to another address are closed.
  void set_address(const EndpointId& endpoint, const boost::asio::ip::tcp::endpoint& address);
  std::optional<boost::asio::ip::tcp::endpoint> address_of(const EndpointId& endpoint) const;
  // Forgets an endpoint that was removed.
  void forget(const EndpointId& endpoint);

  // Delivers the messages in one call. Where too many are in flight, or the endpoint has no address, they end
  // as not sent.
  void send(const EndpointId& endpoint, std::vector<OutgoingMessage> messages);
  // Stops waiting for an attempt.
  void cancel(MessageId id, int attempt);
  // Ends the calls to an endpoint of which nothing was sent yet, as not sent.
  void cancel_unsent(const EndpointId& endpoint);
  // Ends all calls whose request is not written completely, as not sent.
  void cancel_all_unsent();
  void close_idle(const EndpointId& endpoint);
  void close_all_idle();

  // Whether the requests of all calls are written completely.
  bool all_calls_written() const;
  // The calls that await their response, the earliest first, for another process to continue.
  std::vector<InFlightCall> in_flight_calls() const;
  // Continues a call that another process began.
  void adopt(const InFlightCall& handed_over);

  std::size_t in_flight_count() const { return in_flight_.size(); }
  // Messages whose requests were written completely, since the start.
  std::uint64_t messages_written() const { return messages_written_; }

 private:
  using Calls = std::set<std::shared_ptr<DeliveryCall>>;

  void make_room_for_connection() override;
  void on_request_written(std::size_t message_count) override;
  void on_call_finished(const std::shared_ptr<DeliveryCall>& call) override;
  void on_attempt_ended(const dispatch::event::AttemptEnded& ended) override;
  void on_connection_idle(const EndpointId& endpoint, const std::shared_ptr<Connection>& connection) override;

  // A copy: calls leave the set when they end.
  std::vector<std::shared_ptr<DeliveryCall>> calls() const { return {in_flight_.begin(), in_flight_.end()}; }

  boost::asio::io_context& io_;
  DeliveryLimits limits_;
  Ended ended_;
  CountingLog unexpected_responses_;
  DeliveryCall::ReadBuffer read_buffer_{};  // what was read last, for all calls
  ConnectionPool pool_;
  DeliveryCall::Environment environment_;
  Calls in_flight_;
  std::uint64_t messages_written_ = 0;
};

}  // namespace message_relay
