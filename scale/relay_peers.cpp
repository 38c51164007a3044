#include "relay_peers.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "sample_message.hpp"

namespace scale_tool {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr auto kConditionCheckInterval = std::chrono::milliseconds(2);  // between two checks of a condition
constexpr auto kHeartbeatInterval = std::chrono::seconds(2);            // between empty lines on a watch
constexpr std::int64_t kFirstRequestId = 2'000'000'000'000'000;

net::ip::tcp::endpoint loopback_endpoint(std::uint16_t port = 0) {
  return {net::ip::address_v4::loopback(), port};
}

std::string loopback_address(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

// If the peer has closed the connection, the next read from it reports that.
void write_ignoring_errors(net::ip::tcp::socket& socket, const std::string& bytes) {
  error_code ignored;
  net::write(socket, net::buffer(bytes), ignored);
}

}  // namespace

RelayPeers::RelayPeers()
    : discovery_acceptor_(io_, loopback_endpoint()),
      endpoint_acceptor_(io_, loopback_endpoint()),
      relay_port_reservation_(io_),
      heartbeat_timer_(io_) {
  relay_port_reservation_.open(tcp::v4());
  relay_port_reservation_.set_option(tcp::socket::reuse_address(true));
  relay_port_reservation_.bind(loopback_endpoint());
  accept(discovery_acceptor_, &RelayPeers::serve_discovery);
  accept(endpoint_acceptor_, &RelayPeers::serve_endpoint);
  schedule_heartbeat();
}

std::string RelayPeers::address_of(const tcp::acceptor& acceptor) {
  return loopback_address(acceptor.local_endpoint().port());
}

std::string RelayPeers::relay_address() const {
  return loopback_address(relay_port_reservation_.local_endpoint().port());
}

void RelayPeers::accept(tcp::acceptor& acceptor, Handler handler) {
  acceptor.async_accept([this, &acceptor, handler](error_code error, tcp::socket socket) {
    if (error) return;
    socket.set_option(tcp::no_delay(true));
    read_request(std::make_shared<Connection>(std::move(socket)), handler);
    accept(acceptor, handler);
  });
}

void RelayPeers::read_request(const std::shared_ptr<Connection>& connection, Handler handler) {
  connection->request = {};
  http::async_read(connection->socket, connection->buffer, connection->request,
                   [this, connection, handler](error_code error, std::size_t) {
                     if (error) {
                       std::erase(watches_, connection);
                       return;
                     }
                     (this->*handler)(connection);
                     read_request(connection, handler);
                   });
}

void RelayPeers::serve_discovery(const std::shared_ptr<Connection>& connection) {
  if (connection->request.method() == http::verb::post) {
    write_ignoring_errors(connection->socket, "HTTP/1.1 204 X\r\n\r\n");
    return;
  }
  write_ignoring_errors(connection->socket, "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n");
  watches_.push_back(connection);
  write_chunk(*connection, initial_list_);
}

void RelayPeers::serve_endpoint(const std::shared_ptr<Connection>& connection) {
  delivered_count_++;
  write_ignoring_errors(connection->socket, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n");
}

void RelayPeers::schedule_heartbeat() {
  heartbeat_timer_.expires_after(kHeartbeatInterval);
  heartbeat_timer_.async_wait([this](error_code error) {
    if (error) return;
    publish("");
    schedule_heartbeat();
  });
}

void RelayPeers::publish(const std::string& list) {
  for (const auto& watch : watches_) write_chunk(*watch, list);
}

void RelayPeers::write_chunk(Connection& watch, const std::string& line) {
  char size_line[24];
  std::snprintf(size_line, sizeof size_line, "%zx\r\n", line.size() + 1);
  const std::string bytes = size_line + line + "\n\r\n";
  write_ignoring_errors(watch.socket, bytes);
  watch_bytes_sent_ += static_cast<std::int64_t>(bytes.size());
}

bool RelayPeers::is_relay_ready() {
  tcp::socket socket(io_);
  error_code error;
  socket.connect(loopback_endpoint(relay_port_reservation_.local_endpoint().port()), error);
  if (error) return false;
  net::write(socket, net::buffer(std::string("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")), error);
  boost::beast::flat_buffer buffer;
  Response response;
  if (!error) http::read(socket, buffer, response, error);
  return !error && response.result() == http::status::ok;
}

std::shared_ptr<RelayPeers::Connection> RelayPeers::idle_client() {
  const auto idle =
      std::find_if(clients_.begin(), clients_.end(), [](const auto& client) { return !client->is_busy; });
  if (idle != clients_.end()) return *idle;
  tcp::socket socket(io_);
  socket.connect(loopback_endpoint(relay_port_reservation_.local_endpoint().port()));
  socket.set_option(tcp::no_delay(true));
  return clients_.emplace_back(std::make_shared<Connection>(std::move(socket)));
}

std::string RelayPeers::message_request(std::int64_t destination, std::int64_t body_bytes) {
  const std::string request_id = std::to_string(kFirstRequestId + submitted_count_);
  submitted_count_++;
  const std::string body(static_cast<std::size_t>(body_bytes), 'x');
  return "POST /" + kMessageClass + " HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: " + request_id +
         "\r\nX-Class: " + kMessageClass +
         "\r\nX-Deadline: 60000m\r\nX-Consignee: dest=" + std::to_string(destination) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void RelayPeers::submit_message(std::int64_t destination, std::int64_t body_bytes) {
  const auto client = idle_client();
  client->is_busy = true;
  client->response = {};
  net::write(client->socket, net::buffer(message_request(destination, body_bytes)));
  read_response(client);
}

void RelayPeers::read_response(const std::shared_ptr<Connection>& client) {
  http::async_read(client->socket, client->buffer, client->response,
                   [this, client](error_code error, std::size_t) {
                     if (error) {
                       std::erase(clients_, client);
                       rejected_count_++;
                       return;
                     }
                     client->is_busy = false;
                     const bool is_accepted = client->response.result_int() / 100 == 2;
                     (is_accepted ? accepted_count_ : rejected_count_)++;
                   });
}

void RelayPeers::run_until(const std::function<bool()>& condition) {
  while (!condition()) run_for(kConditionCheckInterval);
}

void RelayPeers::run_for(std::chrono::microseconds duration) {
  io_.restart();
  io_.run_for(duration);
}

}  // namespace scale_tool
