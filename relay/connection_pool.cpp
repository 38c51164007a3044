#include "connection_pool.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace message_relay {

namespace net = boost::asio;
using boost::system::error_code;
using tcp = net::ip::tcp;

namespace {

// Time in microseconds for which a connection is not reused after a response. Data that an endpoint sends in
// excess of its response arrives right after it; it must not be taken for the response to the next request.
constexpr Time kMinIdleBeforeReuse = 5'000;
// Fraction of the endpoint's idle timeout after which a connection is closed. The remainder covers the
// network delays of the response after which the endpoint starts its timeout, and of the next request.
constexpr double kMaxIdleFraction = 0.9;

// Guards against writing to a connection that the endpoint has closed, which would be counted as a reset.
bool is_open_without_input(Connection& connection) {
  error_code error;
  connection.socket.cancel(error);
  char byte = 0;
  connection.socket.receive(net::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error == net::error::would_block;
}

}  // namespace

ConnectionPool::ConnectionPool(net::io_context& io, Time idle_timeout)
    : max_idle_time_(static_cast<Time>(kMaxIdleFraction * static_cast<double>(idle_timeout))),
      expiry_timer_(io) {}

void ConnectionPool::set_address(const EndpointId& endpoint, const tcp::endpoint& address) {
  Endpoint& entry = endpoints_[endpoint];
  if (entry.address == address) return;
  entry.address = address;
  close_idle(endpoint);
}

std::optional<tcp::endpoint> ConnectionPool::address_of(const EndpointId& endpoint) const {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) return std::nullopt;
  return found->second.address;
}

void ConnectionPool::remove(const EndpointId& endpoint) {
  close_idle(endpoint);
  endpoints_.erase(endpoint);
}

ConnectionPool::Acquisition ConnectionPool::acquire(const EndpointId& endpoint) {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) return {};
  auto& idle = found->second.idle;
  const Time reusable_since = steady_now() - kMinIdleBeforeReuse;
  while (!idle.empty()) {
    const auto reusable = std::find_if(idle.rbegin(), idle.rend(), [&](const auto& connection) {
      return connection->idle_since <= reusable_since;
    });
    if (reusable == idle.rend()) return {nullptr, idle.front()->idle_since + kMinIdleBeforeReuse};
    const auto connection = *reusable;
    idle.erase(std::next(reusable).base());
    idle_count_--;
    if (is_open_without_input(*connection)) return {connection, std::nullopt};
  }
  return {};
}

void ConnectionPool::release(const EndpointId& endpoint, const std::shared_ptr<Connection>& connection) {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end() || connection->address != found->second.address) return;
  connection->idle_since = steady_now();
  found->second.idle.push_back(connection);
  idle_count_++;
  if (idle_count_ == 1) close_expired();
  close_when_readable(connection, endpoint);
}

void ConnectionPool::close_when_readable(const std::shared_ptr<Connection>& connection,
                                         const EndpointId& endpoint) {
  connection->socket.async_wait(tcp::socket::wait_read,
                                [this, weak = std::weak_ptr(connection), endpoint](error_code error) {
                                  const auto readable = weak.lock();
                                  if (!error && readable) close(endpoint, readable.get());
                                });
}

void ConnectionPool::close(const EndpointId& endpoint, const Connection* connection) {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) return;
  idle_count_ -=
      std::erase_if(found->second.idle, [&](const auto& other) { return other.get() == connection; });
}

void ConnectionPool::close_idle(const EndpointId& endpoint) {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) return;
  idle_count_ -= found->second.idle.size();
  found->second.idle.clear();
}

void ConnectionPool::close_all_idle() {
  for (auto& [id, entry] : endpoints_) entry.idle.clear();
  idle_count_ = 0;
}

bool ConnectionPool::close_longest_idle() {
  Endpoint* longest = nullptr;
  for (auto& [id, entry] : endpoints_) {
    if (entry.idle.empty()) continue;
    if (longest == nullptr || entry.idle.front()->idle_since < longest->idle.front()->idle_since)
      longest = &entry;
  }
  if (longest == nullptr) return false;
  longest->idle.erase(longest->idle.begin());
  idle_count_--;
  return true;
}

// Closes the connections that have been idle for the maximum time, then waits for the next one to expire.
void ConnectionPool::close_expired() {
  const Time now = steady_now();
  Time next_expiry = now + max_idle_time_;
  for (auto& [id, entry] : endpoints_) {
    idle_count_ -= std::erase_if(
        entry.idle, [&](const auto& connection) { return now >= connection->idle_since + max_idle_time_; });
    for (const auto& connection : entry.idle)
      next_expiry = std::min(next_expiry, connection->idle_since + max_idle_time_);
  }
  if (idle_count_ == 0) return;
  expiry_timer_.expires_after(std::chrono::microseconds(next_expiry - now));
  expiry_timer_.async_wait([this](error_code error) {
    if (!error) close_expired();
  });
}

}  // namespace message_relay
