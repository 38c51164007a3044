#include "ingress_server.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/system/system_error.hpp>
#include <chrono>
#include <cstddef>
#include <map>
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
// Connections whose next request has just arrived are spared, if one of this many others can be closed.
constexpr std::size_t kMaxEvictionAttempts = 16;
// New connections may arrive while those that are open are closed.
constexpr int kMaxClosingPasses = 4;
// The time in microseconds that turns may take in one pass of the event loop.
constexpr Time kTurnsDuration = 1'000;
// Connections accepted before the open ones take their turn. A crowd in front of a client in the queue of the
// listening socket must not hold it up for long.
constexpr int kMaxAcceptsPerTurn = 32;
// Sizes of the kernel's buffers of a client's connection, in bytes. Responses are short, and clients send one
// request at a time.
constexpr int kSendBufferBytes = 16 * 1024;
constexpr int kReceiveBufferBytes = 64 * 1024;

}  // namespace

IngressServer::IngressServer(net::io_context& io, tcp::acceptor acceptor, const dispatch::Settings& settings,
                             const configuration::SettingNames& names, std::size_t max_connections,
                             MemoryAccount& memory, MessageHandler on_message, ReadinessCheck is_ready)
    : io_(io),
      acceptor_(std::move(acceptor)),
      accept_timer_(io),
      settings_(settings),
      names_(names),
      max_connections_(max_connections),
      memory_(memory),
      on_message_(std::move(on_message)),
      is_ready_(std::move(is_ready)),
      rejections_(io, "clients: rejected"),
      closes_(io, "clients: closed") {
  error_code error;
  acceptor_.non_blocking(true, error);
  // Without this option, accept() would wait for the next connection after one that its peer has reset.
  if (!error) acceptor_.set_option(net::socket_base::enable_connection_aborted(true), error);
  if (error) throw boost::system::system_error(error, "clients: listening socket");
  accept_when_ready();
}
IngressServer::~IngressServer() = default;

// Connections are accepted in the handler, so that none waits in an accepted state for a handler to run.
void IngressServer::accept_when_ready() {
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code error) {
    if (error == net::error::operation_aborted) return;
    AcceptResult result = error ? AcceptResult::failed : accept_one();
    for (int i = 1; i < kMaxAcceptsPerTurn && can_accept_more(result); i++) result = accept_one();
    if (result == AcceptResult::failed) return schedule_accept_retry();
    accept_when_ready();
  });
}

void IngressServer::add_turn(std::shared_ptr<Session> session) {
  turns_.push_back(std::move(session));
  schedule_turns();
}

void IngressServer::schedule_turns() {
  if (turns_.empty() || std::exchange(turns_scheduled_, true)) return;
  net::post(io_, [this] {
    run_turns();
    turns_scheduled_ = false;
    schedule_turns();
  });
}

void IngressServer::run_turns() {
  const Time until = steady_now() + kTurnsDuration;
  std::size_t waiting = turns_.size();  // those that are added meanwhile wait for the next pass
  do {
    const auto session = std::move(turns_.front());
    turns_.pop_front();
    session->take_turn();
  } while (--waiting > 0 && steady_now() < until);
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

bool IngressServer::can_accept_more(AcceptResult result) {
  return result == AcceptResult::accepted || result == AcceptResult::peer_gone;
}

void IngressServer::admit(tcp::socket socket) {
  evict_session_if_needed();
  if (sessions_.size() >= max_connections_) {
    rejections_.count("too many connections");
    return;
  }
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(net::socket_base::send_buffer_size(kSendBufferBytes), ignored);
  socket.set_option(net::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
  ClientConnection connection;
  connection.idle_since = steady_now();
  start_session(std::move(socket), std::move(connection));
}

// Guards against a busy loop of failing accepts while no file descriptor is available.
void IngressServer::schedule_accept_retry() {
  accept_timer_.expires_after(kAcceptRetryDelay);
  accept_timer_.async_wait([this](error_code error) {
    if (!error) accept_when_ready();
  });
}

void IngressServer::start_session(tcp::socket socket, ClientConnection connection) {
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  sessions_.insert(session);
  session->start(std::move(connection));
}

bool IngressServer::is_near_capacity() const {
  return sessions_.size() * kNearCapacityDenominator >= max_connections_ * kNearCapacityNumerator;
}

// Closes one connection if the server is near capacity and one can be closed without losing a message. Below
// full capacity only connections that have been idle long enough are closed.
void IngressServer::evict_session_if_needed() {
  if (!is_near_capacity()) return;
  const Time now = steady_now();
  const bool is_full = sessions_.size() >= max_connections_;
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
    if (!candidates[i].second->has_unread_request()) return candidates[i].second->evict();
  if (is_full && !candidates.empty()) candidates.front().second->evict();
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
  for (int pass = 0; pass < kMaxClosingPasses && (pass == 0 || !sessions_.empty()); pass++) {
    for (const auto& session : sessions()) session->reject_and_close();
    for (std::size_t i = 0; i < max_connections_ && can_accept_more(accept_one()); i++) {
    }
  }
  for (const auto& session : sessions()) session->reject_and_close();
  error_code ignored;
  acceptor_.close(ignored);
}

std::vector<ClientConnection> IngressServer::take_connections(std::size_t max_count) {
  std::vector<std::shared_ptr<Session>> candidates;
  for (const auto& session : sessions_)
    if (session->can_be_handed_over()) candidates.push_back(session);
  std::sort(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) {
    return left->handover_rank() < right->handover_rank();
  });
  for (std::size_t i = max_count; i < candidates.size(); i++) candidates[i]->reject_and_close();
  if (candidates.size() > max_count) candidates.resize(max_count);
  std::vector<ClientConnection> connections;
  connections.reserve(candidates.size());
  for (const auto& session : candidates) connections.push_back(session->take_handover_state());
  return connections;
}

void IngressServer::restore(std::vector<ClientConnection> connections) {
  std::map<int, std::shared_ptr<Session>> by_descriptor;
  for (const auto& session : sessions_) by_descriptor.emplace(session->descriptor(), session);
  for (ClientConnection& connection : connections) {
    const auto session = by_descriptor.find(connection.socket);
    if (session != by_descriptor.end()) session->second->restore(std::move(connection));
  }
}

void IngressServer::adopt(ClientConnection connection) {
  tcp::socket socket(io_);
  error_code error;
  socket.assign(acceptor_.local_endpoint().protocol(), connection.socket, error);
  if (!error) start_session(std::move(socket), std::move(connection));
}

}  // namespace message_relay
