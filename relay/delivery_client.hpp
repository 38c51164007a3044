// HTTP client that delivers messages to endpoints.
//
// A connection carries one call at a time. Idle connections are reused, the most recently used first, and are
// closed before the endpoint would close them. Several messages can share one call, as a batch. The client
// stops waiting for the whole batch at the earliest deadline of its messages.
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

// Starts and tracks the calls to all endpoints, and owns their connections.
class DeliveryClient : private DeliveryCall::Owner {
 public:
  using AttemptEndedHandler = std::function<void(const dispatch::event::AttemptEnded&)>;

  // `on_ended` is called once for each message, never from inside send().
  // `memory` must outlive the client.
  DeliveryClient(boost::asio::io_context& io, const DeliveryLimits& limits, MemoryAccount& memory,
                 AttemptEndedHandler on_ended);
  ~DeliveryClient() override;
  DeliveryClient(const DeliveryClient&) = delete;
  DeliveryClient& operator=(const DeliveryClient&) = delete;

  // Sets the address of an endpoint. Idle connections to its previous address are closed.
  void set_address(const EndpointId& endpoint, const boost::asio::ip::tcp::endpoint& address);
  // Returns nothing for an endpoint without an address.
  std::optional<boost::asio::ip::tcp::endpoint> address_of(const EndpointId& endpoint) const;
  // Removes the address of an endpoint and closes its idle connections.
  void remove_endpoint(const EndpointId& endpoint);

  // Delivers the messages in one call. If too many calls are in flight or the endpoint has no address, each
  // message ends as not sent.
  void send(const EndpointId& endpoint, std::vector<OutgoingMessage> messages);
  // Stops waiting for an attempt. Does nothing if no call in flight contains the attempt.
  void cancel(MessageId id, int attempt);
  // Ends, as not sent, the calls to an endpoint of whose requests nothing has been written yet.
  void cancel_unsent(const EndpointId& endpoint);
  // Ends, as not sent, all calls whose requests have not been written completely. Returns their number.
  std::size_t cancel_all_unsent();
  void close_idle(const EndpointId& endpoint);
  void close_all_idle();

  // Whether the requests of all calls have been written completely.
  bool all_calls_written() const;
  // Returns the calls that await their responses, the earliest first, for another process to continue.
  std::vector<InFlightCall> in_flight_calls() const;
  // Continues a call that another process started.
  void adopt(const InFlightCall& handed_over);

  // Why responses could not be used.
  [[nodiscard]] const CountingLog& unexpected_responses() const { return unexpected_responses_; }
  // Returns the number of calls in flight.
  std::size_t in_flight_count() const { return in_flight_.size(); }
  // Returns the number of messages whose requests have been written completely since the client was created.
  std::uint64_t messages_written() const { return messages_written_; }

 private:
  using Calls = std::set<std::shared_ptr<DeliveryCall>>;

  void make_room_for_connection() override;
  [[nodiscard]] bool has_free_slot() const override {
    return in_flight_.size() < limits_.max_calls_in_flight;
  }
  void on_request_written(std::size_t message_count) override;
  void on_call_finished(const std::shared_ptr<DeliveryCall>& call) override;
  void on_attempt_ended(const dispatch::event::AttemptEnded& ended) override;
  void on_connection_idle(const EndpointId& endpoint, const std::shared_ptr<Connection>& connection) override;

  // Returns a copy, because calls are erased from the set when they end.
  std::vector<std::shared_ptr<DeliveryCall>> calls() const { return {in_flight_.begin(), in_flight_.end()}; }

  boost::asio::io_context& io_;
  DeliveryLimits limits_;
  AttemptEndedHandler on_ended_;
  CountingLog unexpected_responses_;
  DeliveryCall::ReadBuffer read_buffer_{};  // shared by all calls
  ConnectionPool pool_;
  DeliveryCall::Environment environment_;
  Calls in_flight_;
  std::uint64_t messages_written_ = 0;
};

}  // namespace message_relay
