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
// For the whole command to come, and for the reply to go and the caller to leave: callers must not hold a
// connection and say nothing.
constexpr std::chrono::seconds kCommandTimeout{6};
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

// Operators' tools read the replies, whose texts are an exchanged format.
constexpr const char* kUnknownVerb =
    "unknown call; there are STATUS, METRICS, SUSPEND ID, RESTORE ID, PAUSE and RESUME";

bool is_one_word(const std::string& text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

std::string err(const std::string& problem) { return "ERR " + problem + "\n"; }

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
  } else if (!is_one_word(argument)) {
    problem = name + " takes one id";
  }
  return {{syntax->verb, argument}, problem};
}

// One caller: reads a line, replies, waits until the caller leaves.
class OperatorServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(OperatorServer& server, tcp::socket socket)
      : server_(server), socket_(std::move(socket)), timer_(server.io_) {}

  [[nodiscard]] bool replied() const { return replied_; }

  void start() {
    close_after(kCommandTimeout);
    net::async_read_until(socket_, net::dynamic_buffer(line_, kMaxLineBytes), '\n',
                          [self = shared_from_this()](error_code bad, std::size_t size) {
                            if (!self->closed_) self->on_line(bad, size);
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
    timer_.async_wait([self = shared_from_this()](error_code bad) {
      if (!bad) self->close();
    });
  }

  // `size` counts the line feed.
  void on_line(error_code bad, std::size_t size) {
    if (bad == net::error::not_found) {
      reply(err("a call has " + std::to_string(kMaxLineBytes) + " bytes at most"));
    } else if (bad == net::error::eof) {
      // Half a line is no command: the rest of an id may be missing.
      reply(err("a call is one whole line, with its end"));
    } else if (bad) {
      close();
    } else {
      reply(reply_to(line_.substr(0, size - 1)));
    }
  }

  std::string reply_to(std::string line) {
    const ParsedCommand parsed = parse_command(std::move(line));
    return parsed.problem.empty() ? server_.handler_(parsed.command) : err(parsed.problem);
  }

  void reply(std::string text) {
    replied_ = true;
    reply_ = std::move(text);
    close_after(kReplyTimeout);
    net::async_write(socket_, net::buffer(reply_),
                     [self = shared_from_this()](error_code bad, std::size_t) { self->on_replied(bad); });
  }

  void on_replied(error_code bad) {
    if (closed_) return;
    if (bad) {
      close();
      return;
    }
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    wait_until_caller_leaves();
  }

  // Closing over unread bytes would reset the connection, and the reply with it.
  void wait_until_caller_leaves() {
    socket_.async_read_some(net::buffer(discarded_),
                            [self = shared_from_this()](error_code bad, std::size_t) {
                              if (self->closed_) return;
                              if (bad)
                                self->close();
                              else
                                self->wait_until_caller_leaves();
                            });
  }

  OperatorServer& server_;
  tcp::socket socket_;
  net::steady_timer timer_;
  std::string line_;
  std::string reply_;
  std::array<char, kMaxLineBytes> discarded_{};
  bool replied_ = false;
  bool closed_ = false;
};

// NOLINTNEXTLINE(modernize-pass-by-value): an address is bytes; moving it is a copy
OperatorServer::OperatorServer(net::io_context& io, const tcp::endpoint& address, std::size_t max_sessions,
                               Handler handler)
    : io_(io),
      address_(address),
      acceptor_(io),
      retry_timer_(io),
      max_sessions_(max_sessions),
      handler_(std::move(handler)) {
  listen();
}

OperatorServer::~OperatorServer() = default;

void OperatorServer::listen() {
  const error_code bad = open_acceptor();
  if (!bad) {
    accept();
    return;
  }
  log("operators: can't listen: " + bad.message());
  error_code ignored;
  acceptor_.close(ignored);
  retry_timer_.expires_after(kListenRetryInterval);
  retry_timer_.async_wait([this](error_code stopped) {
    if (!stopped) listen();
  });
}

error_code OperatorServer::open_acceptor() {
  error_code bad;
  acceptor_.open(address_.protocol(), bad);
  if (!bad) acceptor_.set_option(tcp::acceptor::reuse_address(true), bad);
  if (!bad) acceptor_.bind(address_, bad);
  if (!bad) acceptor_.listen(net::socket_base::max_listen_connections, bad);
  return bad;
}

void OperatorServer::accept() {
  acceptor_.async_accept([this](error_code bad, tcp::socket socket) {
    if (bad == net::error::operation_aborted) return;
    if (bad) {
      log("operators: accept: " + bad.message());
      accept_later();
      return;
    }
    begin_session(std::move(socket));
    accept();
  });
}

void OperatorServer::accept_later() {
  retry_timer_.expires_after(kAcceptRetryInterval);
  retry_timer_.async_wait([this](error_code stopped) {
    if (!stopped) accept();
  });
}

void OperatorServer::begin_session(tcp::socket socket) {
  close_one_if_full();
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  sessions_.push_back(session);
  session->start();
}

// The newest caller is served whatever the others do: one that has its reply is closed, else the oldest.
void OperatorServer::close_one_if_full() {
  if (sessions_.size() < max_sessions_) return;
  const auto replied = std::find_if(sessions_.begin(), sessions_.end(),
                                    [](const auto& session) { return session->replied(); });
  const auto closed = replied == sessions_.end() ? sessions_.front() : *replied;
  closed->close();
}

}  // namespace message_relay
