#include "ingress_server.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <utility>

#include "ingress_session.hpp"

namespace message_relay {

namespace net = boost::asio;
using boost::system::error_code;
using tcp = net::ip::tcp;

namespace {

constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);
// The server is near capacity when this fraction, three quarters, of its connections is open.
constexpr std::size_t kNearCapacityNumerator = 3;
constexpr std::size_t kNearCapacityDenominator = 4;
constexpr std::size_t kMaxEvictionAttempts = 4;  // for each new connection

}  // namespace

IngressServer::IngressServer(net::io_context& io, tcp::acceptor acceptor, const dispatch::Settings& settings,
                             const configuration::SettingNames& names, const IngressLimits& limits,
                             MessageHandler on_message, ReadinessCheck is_ready)
    : io_(io),
      acceptor_(std::move(acceptor)),
      accept_timer_(io),
      settings_(settings),
      names_(names),
      limits_(limits),
      on_message_(std::move(on_message)),
      is_ready_(std::move(is_ready)),
      rejections_(io, "clients: rejected") {
  accept();
}
IngressServer::~IngressServer() = default;

void IngressServer::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == net::error::operation_aborted) return;
    if (error) {
      log("clients: accept failed: " + error.message());
      return schedule_accept_retry();
    }
    evict_session_if_needed();
    if (sessions_.size() >= limits_.max_connections) {
      rejections_.count("too many connections");
    } else {
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      start_session(std::move(socket), false, steady_now());
    }
    accept();
  });
}

// Guards against a busy loop of failing accepts while no file descriptor is available.
void IngressServer::schedule_accept_retry() {
  accept_timer_.expires_after(kAcceptRetryDelay);
  accept_timer_.async_wait([this](error_code error) {
    if (!error) accept();
  });
}

void IngressServer::start_session(tcp::socket socket, bool served_before, Time idle_since) {
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  sessions_.insert(session);
  session->start(served_before, idle_since);
}

bool IngressServer::is_near_capacity() const {
  return sessions_.size() * kNearCapacityDenominator >= limits_.max_connections * kNearCapacityNumerator;
}

// Closes one connection if the server is near capacity and one can be closed without losing a message. Below
// full capacity only connections that have been idle long enough are closed.
void IngressServer::evict_session_if_needed() {
  if (!is_near_capacity()) return;
  const Time now = steady_now();
  const bool is_full = sessions_.size() >= limits_.max_connections;
  std::vector<std::pair<Time, std::shared_ptr<Session>>> candidates;
  for (const auto& session : sessions_) {
    const Time rank = session->eviction_rank();
    if (rank < Session::kNotEvictable && (is_full || session->is_evictable_early(now)))
      candidates.emplace_back(rank, session);
  }
  const auto attempts = std::min(candidates.size(), kMaxEvictionAttempts);
  std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(attempts),
                    candidates.end());
  for (std::size_t i = 0; i < attempts; i++)
    if (candidates[i].second->evict()) return;
}

void IngressServer::drain(bool enabled) {
  draining_ = enabled;
  if (!enabled) return;
  // A copy, because sessions are erased from the set when they close.
  for (const auto& session : std::vector<std::shared_ptr<Session>>(sessions_.begin(), sessions_.end()))
    session->drain();
}

bool IngressServer::has_active_connections() const {
  return std::any_of(sessions_.begin(), sessions_.end(),
                     [](const auto& session) { return !session->is_idle(); });
}

bool IngressServer::all_between_requests() const {
  return std::all_of(sessions_.begin(), sessions_.end(),
                     [](const auto& session) { return session->is_between_requests(); });
}

std::vector<IdleClient> IngressServer::idle_clients() const {
  std::vector<IdleClient> clients;
  for (const auto& session : sessions_)
    if (session->is_idle()) clients.push_back(session->handover_state());
  return clients;
}

void IngressServer::adopt(const IdleClient& client) {
  tcp::socket socket(io_);
  error_code error;
  socket.assign(acceptor_.local_endpoint().protocol(), client.socket, error);
  if (!error) start_session(std::move(socket), client.served_before, client.idle_since);
}

}  // namespace message_relay
