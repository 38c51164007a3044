#include "handover.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <system_error>
#include <thread>

#include "binary_format.hpp"
#include "log.hpp"

namespace message_relay {

namespace net = boost::asio;
using boost::system::error_code;
using Local = net::local::stream_protocol;

namespace {

// Says what follows, and in which form: another one is not understood.
const std::string kHello = "heronvane handover 1\n", kReady = "ready", kYours = "yours", kTaken = "taken";
constexpr auto kHelloTime = std::chrono::seconds(1);
constexpr auto kAgain = std::chrono::milliseconds(20);
constexpr auto kMostHeldUp = std::chrono::milliseconds(500);
constexpr auto kAcceptPause = std::chrono::milliseconds(50);
constexpr std::uint32_t kMostFrame = 64 << 20;
enum Part : char { kState = 'S', kLock = 'K', kListener = 'L', kClient = 'C', kCall = 'O', kEnd = 'E' };

std::string lock_path(const std::string& folder) { return folder + "/lock"; }
std::string socket_path(const std::string& folder) { return folder + "/handover"; }

[[noreturn]] void fail(const std::string& what) {
  throw std::system_error(errno, std::generic_category(), "handover: " + what);
}

void set_limit(int socket, int which, std::chrono::milliseconds each) {
  const timeval time{static_cast<time_t>(each.count() / 1000),
                     static_cast<suseconds_t>(each.count() % 1000 * 1000)};
  ::setsockopt(socket, SOL_SOCKET, which, &time, sizeof time);
}

BinaryWriter part(Part kind) { return BinaryWriter().number(kind); }

std::string state_part(const HandoverState& e) {
  BinaryWriter p = part(kState);
  p.number(e.endpoint_list.version)
      .number(e.list_received)
      .number(e.paused)
      .number(e.next_number)
      .text(e.learned_state);
  p.number(static_cast<std::uint32_t>(e.endpoint_list.entries.size()));
  for (const auto& m : e.endpoint_list.entries) {
    const auto& x = m.endpoint;
    p.text(x.id).number(x.destination).number(x.zone).number(x.kind).number(x.status).number(x.weight);
    p.number(x.added_at).text(format_address(m.address));
  }
  p.number(static_cast<std::uint32_t>(e.ever_listed.size()));
  for (const auto& id : e.ever_listed) p.text(id);
  p.number(static_cast<std::uint32_t>(e.destinations.size()));
  for (const auto d : e.destinations) p.number(d);
  p.number(static_cast<std::uint32_t>(e.completed_ids.size()));
  for (const auto& [until, id] : e.completed_ids) p.number(until).text(id);
  return p.payload();
}

void read_state(BinaryReader& in, HandoverState& e) {
  e.endpoint_list.is_snapshot = true;
  e.endpoint_list.version = in.number<std::int64_t>(), e.list_received = in.number<bool>(),
  e.paused = in.number<bool>();
  e.next_number = in.number<MessageId>(), e.learned_state = in.text();
  for (auto n = in.number<std::uint32_t>(); n > 0; n--) {
    ListedEndpoint m;
    auto& x = m.endpoint;
    x.id = in.text(), x.destination = in.number<std::int64_t>();
    x.zone = in.number<int>(), x.kind = in.number<int>(), x.status = in.number<dispatch::EndpointStatus>();
    x.weight = in.number<double>(), x.added_at = in.number<Time>();
    m.address = read_address(in.text(), "handover");
    e.endpoint_list.entries.push_back(std::move(m));
  }
  for (auto n = in.number<std::uint32_t>(); n > 0; n--) e.ever_listed.push_back(in.text());
  for (auto n = in.number<std::uint32_t>(); n > 0; n--) e.destinations.push_back(in.number<std::int64_t>());
  for (auto n = in.number<std::uint32_t>(); n > 0; n--) {
    const auto until = in.number<Time>();
    e.completed_ids.emplace_back(until, in.text());
  }
}

std::string call_part(const InFlightCall& c) {
  BinaryWriter p = part(kCall);
  p.text(c.endpoint)
      .text(format_address(c.address))
      .number(c.sent_at)
      .number(c.response_due)
      .text(c.response_bytes);
  p.number(static_cast<std::uint32_t>(c.messages.size()));
  for (std::size_t i = 0; i < c.messages.size(); i++) {
    const auto& m = c.messages[i];
    p.number(m.id).number(m.attempt).number(m.timeout).text(m.client_id);
    p.number(c.given_up[i].has_value()).number(c.given_up[i].value_or(Outcome::timeout));
  }
  return p.payload();
}

InFlightCall read_call_part(BinaryReader& in) {
  InFlightCall c;
  c.endpoint = in.text(), c.address = read_address(in.text(), "handover");
  c.sent_at = in.number<Time>(), c.response_due = in.number<Time>(), c.response_bytes = in.text();
  for (auto n = in.number<std::uint32_t>(); n > 0; n--) {
    OutgoingMessage m;
    m.id = in.number<MessageId>(), m.attempt = in.number<int>(), m.timeout = in.number<Time>();
    m.client_id = in.text();
    c.messages.push_back(std::move(m));
    const bool given_up = in.number<bool>();
    const auto outcome = in.number<Outcome>();
    c.given_up.push_back(given_up ? std::optional(outcome) : std::nullopt);
  }
  return c;
}

// All descriptors that have come are closed again unless the process takes over.
struct Incoming {
  StartupOwnership possession;
  std::vector<FileDescriptor> descriptors;
};

// Reads the parts up to their end; false where they break off.
bool receive_parts(HandoverChannel& channel, Incoming& incoming) {
  HandoverState& estate = incoming.possession.inherited.emplace();
  std::string payload;
  while (true) {
    FileDescriptor fd;
    if (!channel.receive(payload, fd)) return false;
    BinaryReader in(payload);
    const Part kind = in.number<Part>();
    if (kind == kEnd) return static_cast<bool>(incoming.possession.lock) && estate.listener >= 0;
    if (kind == kState) {
      read_state(in, estate);
      continue;
    }
    if (!fd) return false;
    if (kind == kLock) {
      incoming.possession.lock = std::move(fd);
      continue;
    }
    if (kind == kListener) estate.listener = fd.get();
    if (kind == kClient) {
      const bool used = in.number<bool>();
      estate.clients.push_back({fd.get(), used, in.number<Time>()});
    }
    if (kind == kCall) {
      estate.calls.push_back(read_call_part(in));
      estate.calls.back().socket = fd.get();
    }
    incoming.descriptors.push_back(std::move(fd));
  }
}

// One try to take over from the owner.
std::optional<StartupOwnership> ask_owner(const std::string& folder) {
  FileDescriptor socket(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (!socket) fail("socket");
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  const std::string path = socket_path(folder);
  if (path.size() >= sizeof address.sun_path) return std::nullopt;
  std::memcpy(address.sun_path, path.c_str(), path.size() + 1);
  if (::connect(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    return std::nullopt;
  HandoverChannel channel(std::move(socket));
  Incoming incoming;
  try {
    if (!channel.send(kHello) || !receive_parts(channel, incoming)) return std::nullopt;
  } catch (const std::exception& e) {
    log(std::string("handover: can't be read: ") + e.what());
    return std::nullopt;
  }
  if (!channel.send(kReady) || !channel.receive_word(kYours)) return std::nullopt;
  // From here on it is this process's, whether the other one still hears of it or not.
  channel.send(kTaken);
  for (auto& fd : incoming.descriptors) fd.release();
  return std::move(incoming.possession);
}

}  // namespace

void HandoverChannel::set_timeout(std::chrono::milliseconds each) {
  set_limit(socket_.get(), SO_RCVTIMEO, each);
  set_limit(socket_.get(), SO_SNDTIMEO, each);
}

bool HandoverChannel::send(const std::string& payload, int fd) {
  const std::string frame = BinaryWriter().text(payload).payload();
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
  for (std::size_t done = 0; done < frame.size();) {
    iovec piece{const_cast<char*>(frame.data() + done), frame.size() - done};
    msghdr message{};
    message.msg_iov = &piece, message.msg_iovlen = 1;
    if (fd >= 0 && done == 0) {
      message.msg_control = control.data(), message.msg_controllen = control.size();
      cmsghdr* head = CMSG_FIRSTHDR(&message);
      head->cmsg_level = SOL_SOCKET, head->cmsg_type = SCM_RIGHTS, head->cmsg_len = CMSG_LEN(sizeof fd);
      std::memcpy(CMSG_DATA(head), &fd, sizeof fd);
    }
    const auto n = ::sendmsg(socket_.get(), &message, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}

bool HandoverChannel::read(char* bytes, std::size_t size, FileDescriptor* fd) {
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
  for (std::size_t done = 0; done < size;) {
    iovec piece{bytes + done, size - done};
    msghdr message{};
    message.msg_iov = &piece, message.msg_iovlen = 1;
    message.msg_control = control.data(), message.msg_controllen = control.size();
    const auto n = ::recvmsg(socket_.get(), &message, MSG_CMSG_CLOEXEC);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    for (cmsghdr* head = CMSG_FIRSTHDR(&message); head != nullptr; head = CMSG_NXTHDR(&message, head)) {
      if (head->cmsg_level != SOL_SOCKET || head->cmsg_type != SCM_RIGHTS) continue;
      int one = -1;
      std::memcpy(&one, CMSG_DATA(head), sizeof one);
      FileDescriptor came(one);
      if (fd != nullptr) *fd = std::move(came);
    }
    done += static_cast<std::size_t>(n);
  }
  return true;
}

bool HandoverChannel::receive(std::string& payload, FileDescriptor& fd) {
  std::uint32_t size = 0;
  if (!read(reinterpret_cast<char*>(&size), sizeof size, &fd) || size > kMostFrame) return false;
  payload.resize(size);
  return read(payload.data(), size, nullptr);
}

bool HandoverChannel::receive_word(const std::string& word) {
  std::string came;
  FileDescriptor none;
  return receive(came, none) && came == word;
}

StartupOwnership acquire_ownership(const std::string& folder) {
  for (bool told = false;; told = true) {
    FileDescriptor lock(::open(lock_path(folder).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
    if (!lock) fail(lock_path(folder));
    if (::flock(lock.get(), LOCK_EX | LOCK_NB) == 0) return {std::move(lock), std::nullopt};
    if (errno == ENOSYS || errno == ENOLCK || errno == EOPNOTSUPP || errno == EPERM) {
      // Where there are no locks, whoever starts is the owner: the platform ends the one before it.
      log("handover: " + lock_path(folder) + ": " + std::strerror(errno) + "; going on without a lock");
      return {std::move(lock), std::nullopt};
    }
    if (errno != EWOULDBLOCK && errno != EINTR) fail(lock_path(folder));
    if (auto taken = ask_owner(folder)) return std::move(*taken);
    if (!told) log("handover: another process owns the folder; asking until it hands over or ends");
    std::this_thread::sleep_for(kAgain);
  }
}

bool hand_over(HandoverChannel& channel, const HandoverState& estate, int lock) {
  channel.set_timeout(kMostHeldUp);
  bool sent = channel.send(state_part(estate)) && channel.send(part(kLock).payload(), lock) &&
              channel.send(part(kListener).payload(), estate.listener);
  for (const auto& c : estate.clients)
    sent =
        sent && channel.send(part(kClient).number(c.served_before).number(c.idle_since).payload(), c.socket);
  for (const auto& c : estate.calls) sent = sent && channel.send(call_part(c), c.socket);
  if (!sent || !channel.send(part(kEnd).payload()) || !channel.receive_word(kReady)) return false;
  // From here on only its word, or its end, tells who owns all: however long that takes, nothing may be done.
  channel.set_timeout(std::chrono::milliseconds(0));
  return channel.send(kYours) && channel.receive_word(kTaken);
}

// ---- The owner's side. ----
struct HandoverListener::Asking {
  Asking(net::io_context& io, Local::socket s) : socket(std::move(s)), timer(io) {}
  Local::socket socket;
  net::steady_timer timer;
  std::string hello = std::string(BinaryWriter().text(kHello).payload().size(), '\0');
};

HandoverListener::HandoverListener(net::io_context& io, const std::string& folder, Asked asked)
    : io_(io), acceptor_(io), pause_(io), asked_(std::move(asked)) {
  const std::string path = socket_path(folder);
  ::unlink(path.c_str());  // of the process that owned the folder before
  error_code bad;
  if (path.size() >= sizeof(sockaddr_un::sun_path))
    bad = net::error::name_too_long;
  else if (acceptor_.open(Local(), bad); !bad)
    acceptor_.bind(Local::endpoint(path), bad);
  if (!bad) acceptor_.listen(4, bad);
  if (bad)
    log("handover: " + path + ": " + bad.message() + "; a next process has to wait for this one's end");
  else
    accept();
}
HandoverListener::~HandoverListener() = default;

void HandoverListener::accept() {
  acceptor_.async_accept([this](error_code bad, Local::socket socket) {
    if (bad == net::error::operation_aborted) return;
    if (bad) {
      pause_.expires_after(kAcceptPause);
      return pause_.async_wait([this](error_code stopped) {
        if (!stopped) accept();
      });
    }
    // One at a time: the next one is heard once this one is through.
    const auto asking = std::make_shared<Asking>(io_, std::move(socket));
    asking->timer.expires_after(kHelloTime);
    asking->timer.async_wait([asking](error_code stopped) {
      error_code ignored;
      if (!stopped) asking->socket.close(ignored);
    });
    net::async_read(asking->socket, net::buffer(asking->hello),
                    [this, asking](error_code broken, std::size_t) {
                      asking->timer.cancel();
                      if (!broken && asking->hello == BinaryWriter().text(kHello).payload()) {
                        error_code ignored;
                        asking->socket.native_non_blocking(false, ignored);
                        const int fd = asking->socket.release(ignored);
                        if (!ignored) asked_(HandoverChannel(FileDescriptor(fd)));
                      }
                      accept();
                    });
  });
}

}  // namespace message_relay
