#include "operator_server.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string_view>
#include <utility>

#include "log.hpp"

namespace message_relay {

namespace net = boost::asio;
using boost::system::error_code;
using tcp = net::ip::tcp;

namespace {

constexpr std::size_t kMaxLineBytes = 512;
// Time limit for receiving the whole command line, so that no peer can hold a connection without sending.
constexpr std::chrono::seconds kCommandTimeout{6};
// Time limit for sending the reply and for the peer to close the connection after it.
constexpr std::chrono::seconds kReplyTimeout{2};
constexpr auto kAcceptRetryInterval = std::chrono::milliseconds(50);
constexpr auto kListenRetryInterval = std::chrono::milliseconds(250);

enum class Argument { none, endpoint_id };

struct VerbSyntax {
  std::string_view name;
  OperatorVerb verb;
  Argument argument;
};

constexpr std::array<VerbSyntax, 6> kVerbs{{
    {"STATUS", OperatorVerb::status, Argument::none},
    {"METRICS", OperatorVerb::metrics, Argument::none},
    {"SUSPEND", OperatorVerb::suspend, Argument::endpoint_id},
    {"RESTORE", OperatorVerb::restore, Argument::endpoint_id},
    {"PAUSE", OperatorVerb::pause, Argument::none},
    {"RESUME", OperatorVerb::resume, Argument::none},
}};

// Operators' tools parse the replies, so their texts must not change.
constexpr const char* kUnknownVerb =
    "unknown call; there are STATUS, METRICS, SUSPEND ID, RESTORE ID, PAUSE and RESUME";

bool is_single_word(const std::string& text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

std::string error_reply(const std::string& problem) { return "ERR " + problem + "\n"; }

}  // namespace

ParsedCommand parse_command(std::string line) {
  if (!line.empty() && line.back() == '\r') line.pop_back();
  const auto space = line.find(' ');
  const bool has_argument = space != std::string::npos;
  const std::string name = line.substr(0, space);
  const auto* syntax =
      std::find_if(kVerbs.begin(), kVerbs.end(), [&](const VerbSyntax& verb) { return verb.name == name; });
  if (syntax == kVerbs.end()) return {{}, kUnknownVerb};
  const std::string argument = has_argument ? line.substr(space + 1) : "";
  std::string problem;
  if (syntax->argument == Argument::none) {
    if (has_argument) problem = name + " takes nothing behind it";
  } else if (argument.empty()) {
    problem = name + " needs the id of an endpoint";
  } else if (!is_single_word(argument)) {
    problem = name + " takes one id";
  }
  return {{syntax->verb, argument}, problem};
}

// One connection: reads a command line, sends the reply and waits until the peer closes the connection.
class OperatorServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(OperatorServer& server, tcp::socket socket)
      : server_(server),
        socket_(std::move(socket)),
        timer_(server.io_),
        memory_(server.memory_, MemoryUse::operators) {
    memory_.resize(sizeof(Session) + kMaxLineBytes);
  }

  [[nodiscard]] bool replied() const { return replied_; }

  void start() {
    close_after(kCommandTimeout);
    net::async_read_until(socket_, net::dynamic_buffer(line_, kMaxLineBytes), '\n',
                          [self = shared_from_this()](error_code error, std::size_t size) {
                            if (!self->closed_) self->on_line(error, size);
                          });
  }

  void close() {
    if (std::exchange(closed_, true)) return;
    error_code ignored;
    timer_.cancel();
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    server_.sessions_.remove(shared_from_this());
  }

 private:
  void close_after(std::chrono::seconds timeout) {
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this()](error_code error) {
      if (!error) self->close();
    });
  }

  // `size` is the length of the line in bytes, including the line feed.
  void on_line(error_code error, std::size_t size) {
    if (error == net::error::not_found) {
      reply(error_reply("a call has " + std::to_string(kMaxLineBytes) + " bytes at most"));
    } else if (error == net::error::eof) {
      // An incomplete line is not executed: the end of an endpoint's id may be missing.
      reply(error_reply("a call is one whole line, with its end"));
    } else if (error) {
      close();
    } else {
      reply(execute(line_.substr(0, size - 1)));
    }
  }

  std::string execute(std::string line) {
    const ParsedCommand parsed = parse_command(std::move(line));
    return parsed.problem.empty() ? server_.handler_(parsed.command) : error_reply(parsed.problem);
  }

  void reply(std::string text) {
    replied_ = true;
    reply_ = std::move(text);
    memory_.resize(sizeof(Session) + kMaxLineBytes + reply_.capacity());
    close_after(kReplyTimeout);
    net::async_write(socket_, net::buffer(reply_),
                     [self = shared_from_this()](error_code error, std::size_t) { self->on_replied(error); });
  }

  void on_replied(error_code error) {
    if (closed_) return;
    if (error) {
      close();
      return;
    }
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    discard_until_peer_closes();
  }

  // Closing the socket with unread bytes would reset the connection, and the peer could lose the reply.
  void discard_until_peer_closes() {
    socket_.async_read_some(net::buffer(discarded_),
                            [self = shared_from_this()](error_code error, std::size_t) {
                              if (self->closed_) return;
                              if (error)
                                self->close();
                              else
                                self->discard_until_peer_closes();
                            });
  }

  OperatorServer& server_;
  tcp::socket socket_;
  net::steady_timer timer_;
  MemoryCharge memory_;
  std::string line_;
  std::string reply_;
  std::array<char, kMaxLineBytes> discarded_{};
  bool replied_ = false;
  bool closed_ = false;
};

// NOLINTNEXTLINE(modernize-pass-by-value): the address is trivially copyable, so moving it gains nothing
OperatorServer::OperatorServer(net::io_context& io, const tcp::endpoint& address, std::size_t max_sessions,
                               MemoryAccount& memory, Handler handler)
    : io_(io),
      address_(address),
      acceptor_(io),
      retry_timer_(io),
      max_sessions_(max_sessions),
      memory_(memory),
      handler_(std::move(handler)) {
  listen();
}

OperatorServer::~OperatorServer() = default;

void OperatorServer::listen() {
  const error_code error = open_acceptor();
  if (!error) {
    accept();
    return;
  }
  log("operators: can't listen, retrying: " + error.message());
  error_code ignored;
  acceptor_.close(ignored);
  retry_timer_.expires_after(kListenRetryInterval);
  retry_timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) listen();
  });
}

error_code OperatorServer::open_acceptor() {
  error_code error;
  acceptor_.open(address_.protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(address_, error);
  if (!error) acceptor_.listen(net::socket_base::max_listen_connections, error);
  return error;
}

void OperatorServer::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == net::error::operation_aborted) return;
    if (error) {
      log("operators: can't accept a connection, retrying: " + error.message());
      accept_later();
      return;
    }
    start_session(std::move(socket));
    accept();
  });
}

void OperatorServer::accept_later() {
  retry_timer_.expires_after(kAcceptRetryInterval);
  retry_timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) accept();
  });
}

void OperatorServer::start_session(tcp::socket socket) {
  evict_session_if_full();
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  sessions_.push_back(session);
  session->start();
}

// Makes room for the newest connection, which is always served. Closes the oldest session that has its reply,
// otherwise the oldest one, so that idle connections can't keep operators out.
void OperatorServer::evict_session_if_full() {
  if (sessions_.size() < max_sessions_) return;
  const auto replied = std::find_if(sessions_.begin(), sessions_.end(),
                                    [](const auto& session) { return session->replied(); });
  const auto closed = replied == sessions_.end() ? sessions_.front() : *replied;
  closed->close();
}

}  // namespace message_relay
