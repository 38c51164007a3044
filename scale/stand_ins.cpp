#include "stand_ins.hpp"

#include <algorithm>
#include <cstdio>

#include "stored.hpp"

namespace scale_tool {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr auto kStep = std::chrono::milliseconds(2);
constexpr auto kHeartbeat = std::chrono::seconds(2);  // an empty line on a watch

net::ip::tcp::endpoint loopback(std::uint16_t port = 0) { return {net::ip::address_v4::loopback(), port}; }

}  // namespace

StandIns::StandIns() : discovery_(io_, loopback()), endpoint_(io_, loopback()), kept_(io_), heartbeat_(io_) {
  kept_.open(tcp::v4());
  kept_.set_option(tcp::socket::reuse_address(true));
  kept_.bind(loopback());
  accept(discovery_, &StandIns::on_discovery);
  accept(endpoint_, &StandIns::on_endpoint);
  heartbeat();
}

std::string StandIns::address_of(const tcp::acceptor& acceptor) {
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}
std::string StandIns::relay() const { return "127.0.0.1:" + std::to_string(kept_.local_endpoint().port()); }

void StandIns::accept(tcp::acceptor& acceptor, Handler handler) {
  acceptor.async_accept([this, &acceptor, handler](error_code bad, tcp::socket socket) {
    if (bad) return;
    socket.set_option(tcp::no_delay(true));
    read(std::make_shared<Session>(std::move(socket)), handler);
    accept(acceptor, handler);
  });
}

void StandIns::read(const std::shared_ptr<Session>& session, Handler handler) {
  session->request = {};
  http::async_read(session->socket, session->buffer, session->request,
                   [this, session, handler](error_code bad, std::size_t) {
                     if (bad) return std::erase(watches_, session), void();
                     (this->*handler)(session);
                     read(session, handler);
                   });
}

void StandIns::on_discovery(const std::shared_ptr<Session>& session) {
  error_code ignored;
  if (session->request.method() == http::verb::post) {
    net::write(session->socket, net::buffer(std::string("HTTP/1.1 204 X\r\n\r\n")), ignored);
    return;
  }
  net::write(session->socket,
             net::buffer(std::string("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n")), ignored);
  watches_.push_back(session);
  chunk(*session, first_);
}

void StandIns::on_endpoint(const std::shared_ptr<Session>& session) {
  delivered_++;
  error_code ignored;
  net::write(session->socket, net::buffer(std::string("HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")),
             ignored);
}

void StandIns::heartbeat() {
  heartbeat_.expires_after(kHeartbeat);
  heartbeat_.async_wait([this](error_code bad) {
    if (bad) return;
    tell("");
    heartbeat();
  });
}

void StandIns::tell(const std::string& list) {
  for (const auto& watch : watches_) chunk(*watch, list);
}

void StandIns::chunk(Session& watch, const std::string& line) {
  char size[24];
  std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
  const std::string bytes = size + line + "\n\r\n";
  error_code ignored;
  net::write(watch.socket, net::buffer(bytes), ignored);
  watch_bytes_ += static_cast<std::int64_t>(bytes.size());
}

bool StandIns::ready() {
  tcp::socket socket(io_);
  error_code bad;
  socket.connect(loopback(kept_.local_endpoint().port()), bad);
  if (bad) return false;
  net::write(socket, net::buffer(std::string("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")), bad);
  boost::beast::flat_buffer buffer;
  Response response;
  if (!bad) http::read(socket, buffer, response, bad);
  return !bad && response.result() == http::status::ok;
}

std::shared_ptr<StandIns::Session> StandIns::free_client() {
  const auto it = std::find_if(clients_.begin(), clients_.end(), [](const auto& c) { return !c->busy; });
  if (it != clients_.end()) return *it;
  tcp::socket socket(io_);
  socket.connect(loopback(kept_.local_endpoint().port()));
  socket.set_option(tcp::no_delay(true));
  return clients_.emplace_back(std::make_shared<Session>(std::move(socket)));
}

void StandIns::hand_in(std::int64_t destination, std::int64_t body_bytes) {
  const auto client = free_client();
  client->busy = true;
  client->response = {};
  const std::string body(static_cast<std::size_t>(body_bytes), 'x');
  net::write(client->socket,
             net::buffer("POST /" + kClass + " HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: " +
                         std::to_string(2'000'000'000'000'000 + handed_in_++) + "\r\nX-Class: " + kClass +
                         "\r\nX-Deadline: 60000m\r\nX-Consignee: dest=" + std::to_string(destination) +
                         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body));
  http::async_read(client->socket, client->buffer, client->response,
                   [this, client](error_code bad, std::size_t) {
                     if (bad) return std::erase(clients_, client), void(refused_++);
                     client->busy = false;
                     client->response.result_int() / 100 == 2 ? answered_++ : refused_++;
                   });
}

void StandIns::run_until(const std::function<bool()>& condition) {
  while (!condition()) {
    io_.restart();
    io_.run_for(kStep);
  }
}

void StandIns::run_for(std::chrono::microseconds span) {
  io_.restart();
  io_.run_for(span);
}

}  // namespace scale_tool
