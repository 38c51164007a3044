#include "handover.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

#include "log.hpp"

namespace message_relay {

namespace net = boost::asio;
using boost::system::error_code;
using LocalProtocol = net::local::stream_protocol;

namespace {

// The messages of the protocol. Earlier builds send and expect exactly these texts, including "heronvane",
// the program's former name. The greeting names the protocol and its version; a request with any other
// greeting is dropped.
const std::string kGreeting = "heronvane handover 1\n";
const std::string kReady = "ready";
const std::string kOwnershipGranted = "yours";
const std::string kOwnershipTaken = "taken";

// Time limit for a process that has connected to send its greeting.
constexpr auto kGreetingTimeout = std::chrono::seconds(1);
// Interval between two requests to the owner.
constexpr auto kRequestInterval = std::chrono::milliseconds(20);
// Time limit for each read and write of the owner while it can still abandon the handover and keep serving.
constexpr auto kOwnerIoTimeout = std::chrono::milliseconds(500);
constexpr auto kNoIoTimeout = std::chrono::milliseconds(0);
constexpr std::size_t kCompletedIdsPerRecord = 512;
constexpr auto kAcceptRetryInterval = std::chrono::milliseconds(50);
constexpr int kListenBacklog = 4;
constexpr mode_t kLockFileMode = 0600;

// Paths of files in the state folder. Earlier builds use the same names.
std::string lock_path(const std::string& folder) { return folder + "/lock"; }
std::string socket_path(const std::string& folder) { return folder + "/handover"; }

[[noreturn]] void throw_system_error(const std::string& context) {
  throw std::system_error(errno, std::generic_category(), "handover: " + context);
}

// ---- The new process. ----

// What the owner has sent so far. The descriptors are closed again unless this process takes over.
struct ReceivedHandover {
  StartupOwnership ownership;
  std::vector<FileDescriptor> descriptors;  // those that the inherited state refers to
};

enum class RecordResult { more, complete, malformed };

// Adds one record and its descriptor to `received`. Throws the same exceptions as the decode functions.
RecordResult receive_record(const std::string& payload, FileDescriptor fd, ReceivedHandover& received) {
  HandoverState& state = *received.ownership.inherited;
  BinaryReader in(payload);
  const HandoverRecordTag tag = decode_tag(in);
  if (tag == HandoverRecordTag::end) {
    const bool complete = static_cast<bool>(received.ownership.lock) && state.listener >= 0;
    return complete ? RecordResult::complete : RecordResult::malformed;
  }
  if (tag == HandoverRecordTag::state) {
    decode_state(in, state);
    return RecordResult::more;
  }
  if (!fd) return RecordResult::malformed;
  if (tag == HandoverRecordTag::folder_lock) {
    received.ownership.lock = std::move(fd);
    return RecordResult::more;
  }
  if (tag == HandoverRecordTag::listener) state.listener = fd.get();
  if (tag == HandoverRecordTag::client || tag == HandoverRecordTag::reading_client) {
    const bool is_reading = tag == HandoverRecordTag::reading_client;
    state.clients.push_back(is_reading ? decode_reading_client(in) : decode_client(in));
    state.clients.back().socket = fd.get();
  }
  if (tag == HandoverRecordTag::call) {
    state.calls.push_back(decode_call(in));
    state.calls.back().socket = fd.get();
  }
  received.descriptors.push_back(std::move(fd));
  return RecordResult::more;
}

// Returns false if the records are incomplete or malformed.
bool receive_records(HandoverChannel& channel, ReceivedHandover& received) {
  received.ownership.inherited.emplace();
  std::string payload;
  while (true) {
    FileDescriptor fd;
    if (!channel.receive(payload, fd)) return false;
    const RecordResult result = receive_record(payload, std::move(fd), received);
    if (result != RecordResult::more) return result == RecordResult::complete;
  }
}

// Returns std::nullopt if the owner does not listen.
std::optional<HandoverChannel> connect_to_owner(const std::string& folder) {
  FileDescriptor socket(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (!socket) throw_system_error("socket");
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  const std::string path = socket_path(folder);
  if (path.size() >= sizeof address.sun_path) return std::nullopt;
  std::memcpy(address.sun_path, path.c_str(), path.size() + 1);
  if (::connect(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    return std::nullopt;
  return HandoverChannel(std::move(socket));
}

// Makes one attempt to take over from the owner. Returns std::nullopt if this process did not become the
// owner.
std::optional<StartupOwnership> request_ownership(const std::string& folder) {
  std::optional<HandoverChannel> channel = connect_to_owner(folder);
  if (!channel) return std::nullopt;
  ReceivedHandover received;
  try {
    if (!channel->send(kGreeting) || !receive_records(*channel, received)) return std::nullopt;
  } catch (const std::exception& e) {
    log(std::string("handover: malformed record from the owner: ") + e.what());
    return std::nullopt;
  }
  if (!channel->send(kReady) || !channel->receive_exactly(kOwnershipGranted)) return std::nullopt;
  // From here on this process owns the folder, whether or not the other one still receives the message.
  channel->send(kOwnershipTaken);
  for (FileDescriptor& fd : received.descriptors) fd.release();
  return std::move(received.ownership);
}

// ---- The folder's lock. ----
enum class LockResult { locked, owned_by_another, unsupported };

LockResult lock_without_waiting(const FileDescriptor& file, const std::string& path) {
  if (::flock(file.get(), LOCK_EX | LOCK_NB) == 0) return LockResult::locked;
  switch (errno) {
    case ENOSYS:
    case ENOLCK:
    case EOPNOTSUPP:
    case EPERM:
      return LockResult::unsupported;
    case EWOULDBLOCK:
    case EINTR:
      return LockResult::owned_by_another;
    default:
      throw_system_error(path);
  }
}

FileDescriptor open_lock_file(const std::string& path) {
  FileDescriptor file(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kLockFileMode));
  if (!file) throw_system_error(path);
  return file;
}

}  // namespace

StartupOwnership acquire_ownership(const std::string& folder) {
  const std::string path = lock_path(folder);
  for (bool first_attempt = true;; first_attempt = false) {
    FileDescriptor file = open_lock_file(path);
    const LockResult result = lock_without_waiting(file, path);
    if (result == LockResult::unsupported)
      // Without locks the process that starts becomes the owner: the platform ends the previous one first.
      log("handover: " + path + ": " + std::strerror(errno) + "; going on without a lock");
    if (result != LockResult::owned_by_another) return {std::move(file), std::nullopt};
    if (auto ownership = request_ownership(folder)) return std::move(*ownership);
    if (first_attempt) log("handover: another process owns the folder; asking until it hands over or ends");
    std::this_thread::sleep_for(kRequestInterval);
  }
}

// ---- The owner. ----
namespace {

// Sends the ids in several records, since a record is in memory once more while it is sent. The fields of the
// state record that follows replace those of these records; only lists are appended to.
bool send_completed_ids(HandoverChannel& channel, const std::vector<CompletedId>& ids) {
  for (std::size_t first = 0; first < ids.size(); first += kCompletedIdsPerRecord) {
    const std::size_t last = std::min(first + kCompletedIdsPerRecord, ids.size());
    HandoverState part;
    part.completed_ids.assign(ids.begin() + static_cast<std::ptrdiff_t>(first),
                              ids.begin() + static_cast<std::ptrdiff_t>(last));
    if (!channel.send(encode_completed_ids(part))) return false;
  }
  return true;
}

bool send_records(HandoverChannel& channel, const HandoverState& state, int lock) {
  if (!send_completed_ids(channel, state.completed_ids)) return false;
  if (!channel.send(encode_state(state))) return false;
  if (!channel.send(encode_tag(HandoverRecordTag::folder_lock), lock)) return false;
  if (!channel.send(encode_tag(HandoverRecordTag::listener), state.listener)) return false;
  for (const ClientConnection& client : state.clients)
    if (!channel.send(encode_client(client), client.socket)) return false;
  for (const InFlightCall& call : state.calls)
    if (!channel.send(encode_call(call), call.socket)) return false;
  return channel.send(encode_tag(HandoverRecordTag::end));
}

}  // namespace

bool hand_over(HandoverChannel& channel, const HandoverState& state, int lock) {
  channel.set_timeout(kOwnerIoTimeout);
  if (!send_records(channel, state, lock) || !channel.receive_exactly(kReady)) return false;
  // From here on only the reply of the other process, or its end, tells which of the two owns the folder.
  // This process must not act until then, however long that takes.
  channel.set_timeout(kNoIoTimeout);
  return channel.send(kOwnershipGranted) && channel.receive_exactly(kOwnershipTaken);
}

// A connection whose greeting has not been received yet.
struct HandoverListener::PendingRequest {
  PendingRequest(net::io_context& io, LocalProtocol::socket connected)
      : socket(std::move(connected)), timer(io) {}

  LocalProtocol::socket socket;
  net::steady_timer timer;
  std::string expected = BinaryWriter().text(kGreeting).payload();
  std::string received = std::string(expected.size(), '\0');
};

HandoverListener::HandoverListener(net::io_context& io, const std::string& folder, RequestHandler on_request)
    : io_(io), acceptor_(io), accept_timer_(io), on_request_(std::move(on_request)) {
  const std::string path = socket_path(folder);
  if (const error_code error = listen(path))
    log("handover: " + path + ": " + error.message() + "; a next process has to wait for this one's end");
  else
    accept();
}

HandoverListener::~HandoverListener() = default;

error_code HandoverListener::listen(const std::string& path) {
  ::unlink(path.c_str());  // the socket file of the previous owner
  if (path.size() >= sizeof(sockaddr_un::sun_path)) return net::error::name_too_long;
  error_code error;
  acceptor_.open(LocalProtocol(), error);
  if (!error) acceptor_.bind(LocalProtocol::endpoint(path), error);
  if (!error) acceptor_.listen(kListenBacklog, error);
  return error;
}

void HandoverListener::accept() {
  acceptor_.async_accept([this](error_code error, LocalProtocol::socket socket) {
    if (error == net::error::operation_aborted) return;
    if (error)
      accept_later();
    else
      read_greeting(std::move(socket));
  });
}

void HandoverListener::accept_later() {
  accept_timer_.expires_after(kAcceptRetryInterval);
  accept_timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) accept();
  });
}

// Handles one connection at a time: the next one is accepted after this greeting has been read or has failed.
void HandoverListener::read_greeting(LocalProtocol::socket socket) {
  const auto request = std::make_shared<PendingRequest>(io_, std::move(socket));
  request->timer.expires_after(kGreetingTimeout);
  request->timer.async_wait([request](error_code cancelled) {
    error_code ignored;
    if (!cancelled) request->socket.close(ignored);
  });
  net::async_read(request->socket, net::buffer(request->received),
                  [this, request](error_code error, std::size_t) {
                    request->timer.cancel();
                    if (!error && request->received == request->expected) invoke_handler(*request);
                    accept();
                  });
}

void HandoverListener::invoke_handler(PendingRequest& request) {
  error_code error;
  request.socket.native_non_blocking(false, error);
  FileDescriptor socket(request.socket.release(error));
  if (!error) on_request_(HandoverChannel(std::move(socket)));
}

}  // namespace message_relay
