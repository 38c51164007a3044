#include "operator_server.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <map>

#include "log.hpp"

namespace message_relay {

namespace net = boost::asio;
using boost::system::error_code;
using tcp = net::ip::tcp;

namespace {

constexpr std::size_t kMostLine = 512;
// For the whole call to come, and for the reply to go and the caller to leave. Guards against callers that
// hold a connection and say nothing.
constexpr auto kCallTime = std::chrono::seconds(6), kReplyTime = std::chrono::seconds(2);
constexpr auto kAcceptPause = std::chrono::milliseconds(50), kListenPause = std::chrono::milliseconds(250);

}  // namespace

ParsedCommand parse_command(std::string line) {
  if (!line.empty() && line.back() == '\r') line.pop_back();
  static const std::map<std::string, std::pair<OperatorVerb, bool>> kVerbs = {
      {"STATUS", {OperatorVerb::status, false}},  {"METRICS", {OperatorVerb::metrics, false}},
      {"SUSPEND", {OperatorVerb::suspend, true}}, {"RESTORE", {OperatorVerb::restore, true}},
      {"PAUSE", {OperatorVerb::pause, false}},    {"RESUME", {OperatorVerb::resume, false}}};
  const auto space = line.find(' ');
  const auto verb = kVerbs.find(line.substr(0, space));
  if (verb == kVerbs.end())
    return {{}, "unknown call; there are STATUS, METRICS, SUSPEND ID, RESTORE ID, PAUSE and RESUME"};
  ParsedCommand read{{verb->second.first, space == std::string::npos ? "" : line.substr(space + 1)}, ""};
  const bool takes_id = verb->second.second;
  const auto& id = read.command.endpoint;
  if (takes_id && id.empty())
    read.problem = verb->first + " needs the id of an endpoint";
  else if (takes_id && !std::all_of(id.begin(), id.end(), [](char c) { return c > ' ' && c < '\x7f'; }))
    read.problem = verb->first + " takes one id";
  else if (!takes_id && space != std::string::npos)
    read.problem = verb->first + " takes nothing behind it";
  return read;
}

class OperatorServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(OperatorServer& entry, tcp::socket socket)
      : entry_(entry), socket_(std::move(socket)), timer_(entry.io_) {}

  bool replied() const { return replied_; }
  void start() {
    limit(kCallTime);
    net::async_read_until(socket_, net::dynamic_buffer(line_, kMostLine), '\n',
                          [self = shared_from_this()](error_code bad, std::size_t size) {
                            if (self->closed_) return;
                            self->came(bad, size);
                          });
  }
  void close() {
    if (std::exchange(closed_, true)) return;
    error_code ignored;
    timer_.cancel();
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    entry_.sessions_.remove(shared_from_this());
  }

 private:
  template <class Duration>
  void limit(Duration time) {
    timer_.expires_after(time);
    timer_.async_wait([self = shared_from_this()](error_code bad) {
      if (!bad) self->close();
    });
  }
  void came(error_code bad, std::size_t size) {
    if (bad == net::error::not_found)
      return reply("ERR a call has " + std::to_string(kMostLine) + " bytes at most\n");
    // Half a line is no call: the rest of an id may be missing.
    if (bad == net::error::eof) return reply("ERR a call is one whole line, with its end\n");
    if (bad) return close();
    const ParsedCommand read = parse_command(line_.substr(0, size - 1));
    reply(read.problem.empty() ? entry_.handler_(read.command) : "ERR " + read.problem + "\n");
  }
  void reply(std::string text) {
    replied_ = true;
    text_ = std::move(text);
    limit(kReplyTime);
    net::async_write(socket_, net::buffer(text_), [self = shared_from_this()](error_code bad, std::size_t) {
      if (self->closed_) return;
      if (bad) return self->close();
      error_code ignored;
      self->socket_.shutdown(tcp::socket::shutdown_send, ignored);
      self->linger();
    });
  }
  // Until the caller leaves: closing over unread bytes would reset the reply.
  void linger() {
    socket_.async_read_some(net::buffer(rest_), [self = shared_from_this()](error_code bad, std::size_t) {
      if (self->closed_) return;
      bad ? self->close() : self->linger();
    });
  }

  OperatorServer& entry_;
  tcp::socket socket_;
  net::steady_timer timer_;
  std::string line_, text_;
  std::array<char, 512> rest_{};
  bool replied_ = false, closed_ = false;
};

OperatorServer::OperatorServer(net::io_context& io, const tcp::endpoint& address, std::size_t most,
                               Handler handler)
    : io_(io), address_(address), acceptor_(io), pause_(io), most_(most), handler_(std::move(handler)) {
  listen();
}
OperatorServer::~OperatorServer() = default;

void OperatorServer::listen() {
  error_code bad, ignored;
  acceptor_.open(address_.protocol(), bad);
  if (!bad) acceptor_.set_option(tcp::acceptor::reuse_address(true), bad);
  if (!bad) acceptor_.bind(address_, bad);
  if (!bad) acceptor_.listen(net::socket_base::max_listen_connections, bad);
  if (!bad) return accept();
  log("operators: can't listen: " + bad.message());
  acceptor_.close(ignored);
  pause_.expires_after(kListenPause);
  pause_.async_wait([this](error_code stopped) {
    if (!stopped) listen();
  });
}

void OperatorServer::accept() {
  acceptor_.async_accept([this](error_code bad, tcp::socket socket) {
    if (bad == net::error::operation_aborted) return;
    if (bad) {
      log("operators: accept: " + bad.message());
      pause_.expires_after(kAcceptPause);
      return pause_.async_wait([this](error_code stopped) {
        if (!stopped) accept();
      });
    }
    make_room();
    sessions_.push_back(std::make_shared<Session>(*this, std::move(socket)));
    const auto session = sessions_.back();
    session->start();
    accept();
  });
}

// The newest caller is let in whatever the others do: one that has its reply goes first, then the oldest.
void OperatorServer::make_room() {
  if (sessions_.size() < most_) return;
  const auto served =
      std::find_if(sessions_.begin(), sessions_.end(), [](const auto& s) { return s->replied(); });
  const auto leaves = served == sessions_.end() ? sessions_.front() : *served;
  leaves->close();
}

}  // namespace message_relay
