#include "ingress_server.hpp"

#include <algorithm>
#include <boost/system/system_error.hpp>
#include <chrono>
#include <cstddef>
#include <utility>

#include "ingress_session.hpp"
#include "socket_io.hpp"

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
  error_code error;
  acceptor_.non_blocking(true, error);
  // Without this option, accept() would wait for the next connection after one that its peer has reset.
  if (!error) acceptor_.set_option(net::socket_base::enable_connection_aborted(true), error);
  if (error) throw boost::system::system_error(error, "clients: listening socket");
  accept_when_ready();
}
IngressServer::~IngressServer() = default;

// Connections are accepted in the handler, so that none waits in an accepted state for a handler to run; one
// at a time, so that what the others have sent is read in between.
void IngressServer::accept_when_ready() {
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code error) {
    if (error == net::error::operation_aborted) return;
    if (error || accept_one() == AcceptResult::failed) return schedule_accept_retry();
    accept_when_ready();
  });
}

IngressServer::AcceptResult IngressServer::accept_one() {
  tcp::socket socket(io_);
  error_code error;
  acceptor_.accept(socket, error);
  if (error == net::error::would_block) return AcceptResult::none_waiting;
  // The peer has gone, or a signal came first. Others may wait.
  if (error == net::error::connection_aborted || error == net::error::interrupted)
    return AcceptResult::peer_gone;
  if (error) {
    log("clients: accept failed: " + error.message());
    return AcceptResult::failed;
  }
  admit(std::move(socket));
  return AcceptResult::accepted;
}

void IngressServer::admit(tcp::socket socket) {
  evict_session_if_needed();
  if (sessions_.size() >= limits_.max_connections) {
    rejections_.count("too many connections");
    return;
  }
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  ClientConnection connection;
  connection.idle_since = steady_now();
  start_session(std::move(socket), connection);
}

// Guards against a busy loop of failing accepts while no file descriptor is available.
void IngressServer::schedule_accept_retry() {
  accept_timer_.expires_after(kAcceptRetryDelay);
  accept_timer_.async_wait([this](error_code error) {
    if (!error) accept_when_ready();
  });
}

void IngressServer::start_session(tcp::socket socket, const ClientConnection& connection) {
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  sessions_.insert(session);
  session->start(connection);
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
  for (const auto& session : sessions()) session->drain();
}

bool IngressServer::has_active_connections() {
  return has_pending_connection(acceptor_) ||
         std::any_of(sessions_.begin(), sessions_.end(),
                     [](const auto& session) { return session->is_active(); });
}

bool IngressServer::is_responding() const {
  return std::any_of(sessions_.begin(), sessions_.end(),
                     [](const auto& session) { return session->is_responding(); });
}

void IngressServer::reject_and_close_all() {
  AcceptResult result = AcceptResult::accepted;
  while (result == AcceptResult::accepted || result == AcceptResult::peer_gone) result = accept_one();
  for (const auto& session : sessions()) session->reject_and_close();
}

std::vector<ClientConnection> IngressServer::connections() const {
  std::vector<ClientConnection> connections;
  for (const auto& session : sessions_)
    if (session->can_be_handed_over()) connections.push_back(session->handover_state());
  return connections;
}

void IngressServer::adopt(const ClientConnection& connection) {
  tcp::socket socket(io_);
  error_code error;
  socket.assign(acceptor_.local_endpoint().protocol(), connection.socket, error);
  if (!error) start_session(std::move(socket), connection);
}

}  // namespace message_relay
