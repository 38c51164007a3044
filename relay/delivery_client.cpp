#include "delivery_client.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace message_relay {

namespace net = boost::asio;
using tcp = net::ip::tcp;

namespace {

// A response that arrives after the deadline of one message delivers no message of the batch, whatever its
// content.
void limit_timeouts_to_first_deadline(std::vector<OutgoingMessage>& batch) {
  const auto first = std::min_element(batch.begin(), batch.end(), [](const auto& left, const auto& right) {
    return left.time_to_deadline < right.time_to_deadline;
  });
  const Time time_to_deadline = first->time_to_deadline;
  for (auto& message : batch) message.timeout = std::min(message.timeout, time_to_deadline);
}

}  // namespace

DeliveryClient::DeliveryClient(net::io_context& io, const DeliveryLimits& limits, MemoryAccount& memory,
                               AttemptEndedHandler on_ended)
    : io_(io),
      limits_(limits),
      on_ended_(std::move(on_ended)),
      unexpected_responses_(io, "endpoints: unexpected responses"),
      pool_(io, limits.idle_timeout),
      environment_{io_, limits_, *this, pool_, memory, unexpected_responses_, read_buffer_} {}
DeliveryClient::~DeliveryClient() = default;

void DeliveryClient::set_address(const EndpointId& endpoint, const tcp::endpoint& address) {
  pool_.set_address(endpoint, address);
}

std::optional<tcp::endpoint> DeliveryClient::address_of(const EndpointId& endpoint) const {
  return pool_.address_of(endpoint);
}

void DeliveryClient::remove_endpoint(const EndpointId& endpoint) { pool_.remove(endpoint); }

void DeliveryClient::close_idle(const EndpointId& endpoint) { pool_.close_idle(endpoint); }

void DeliveryClient::close_all_idle() { pool_.close_all_idle(); }

void DeliveryClient::send(const EndpointId& endpoint, std::vector<OutgoingMessage> messages) {
  if (messages.size() > 1) limit_timeouts_to_first_deadline(messages);
  const auto call = std::make_shared<DeliveryCall>(environment_, endpoint, std::move(messages));
  const bool admitted = in_flight_.size() < limits_.max_calls_in_flight && pool_.contains(endpoint);
  if (admitted) in_flight_.insert(call);
  net::post(io_, [call, admitted] {
    if (call->is_finished()) return;
    if (admitted)
      call->start();
    else
      call->abort();
  });
}

void DeliveryClient::cancel(MessageId id, int attempt) {
  for (const auto& call : calls())
    if (call->cancel(id, attempt)) return;
}

void DeliveryClient::cancel_unsent(const EndpointId& endpoint) {
  for (const auto& call : calls())
    if (call->endpoint() == endpoint && call->is_connecting()) call->abort();
}

std::size_t DeliveryClient::cancel_all_unsent() {
  std::size_t count = 0;
  for (const auto& call : calls()) {
    if (!call->is_connecting() && !call->is_writing()) continue;
    call->abort();
    count++;
  }
  return count;
}

bool DeliveryClient::all_calls_written() const {
  return std::all_of(in_flight_.begin(), in_flight_.end(),
                     [](const auto& call) { return call->awaits_response(); });
}

std::vector<InFlightCall> DeliveryClient::in_flight_calls() const {
  std::vector<InFlightCall> states;
  for (const auto& call : in_flight_)
    if (call->awaits_response()) states.push_back(call->state());
  std::sort(states.begin(), states.end(),
            [](const auto& left, const auto& right) { return left.sent_at < right.sent_at; });
  return states;
}

void DeliveryClient::adopt(const InFlightCall& handed_over) {
  const auto call = std::make_shared<DeliveryCall>(environment_, handed_over.endpoint, handed_over.messages);
  in_flight_.insert(call);
  call->resume(handed_over);
}

// ---- Callbacks from calls. ----

// Closes idle connections so that a call in flight can open one within the limit on connections.
void DeliveryClient::make_room_for_connection() {
  while (in_flight_.size() + pool_.idle_count() > limits_.max_connections) {
    if (!pool_.close_longest_idle()) return;
  }
}

void DeliveryClient::on_request_written(std::size_t message_count) { messages_written_ += message_count; }

void DeliveryClient::on_call_finished(const std::shared_ptr<DeliveryCall>& call) { in_flight_.erase(call); }

void DeliveryClient::on_attempt_ended(const dispatch::event::AttemptEnded& ended) { on_ended_(ended); }

void DeliveryClient::on_connection_idle(const EndpointId& endpoint,
                                        const std::shared_ptr<Connection>& connection) {
  if (in_flight_.size() + pool_.idle_count() < limits_.max_connections) pool_.release(endpoint, connection);
}

}  // namespace message_relay
