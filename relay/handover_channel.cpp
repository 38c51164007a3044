#include "handover_channel.hpp"

#include <sys/socket.h>
#include <sys/time.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "binary_format.hpp"

namespace message_relay {

namespace {

constexpr std::uint32_t kMaxFrameBytes = 64U << 20U;

// Ancillary data with room for the one descriptor of a frame.
struct ControlBuffer {
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> bytes{};
};

void set_socket_timeout(int socket, int option, std::chrono::milliseconds timeout) {
  const timeval time{static_cast<time_t>(timeout.count() / 1000),
                     static_cast<suseconds_t>(timeout.count() % 1000 * 1000)};
  ::setsockopt(socket, SOL_SOCKET, option, &time, sizeof time);
}

void attach_descriptor(msghdr& message, ControlBuffer& control, int fd) {
  message.msg_control = control.bytes.data();
  message.msg_controllen = control.bytes.size();
  cmsghdr* header = CMSG_FIRSTHDR(&message);
  header->cmsg_level = SOL_SOCKET;
  header->cmsg_type = SCM_RIGHTS;
  header->cmsg_len = CMSG_LEN(sizeof fd);
  std::memcpy(CMSG_DATA(header), &fd, sizeof fd);
}

// Returns the descriptor that came with a message, if any. If there are several, it returns the last one and
// closes the others.
FileDescriptor take_descriptor(msghdr& message) {
  FileDescriptor received;
  for (cmsghdr* header = CMSG_FIRSTHDR(&message); header != nullptr; header = CMSG_NXTHDR(&message, header)) {
    if (header->cmsg_level != SOL_SOCKET || header->cmsg_type != SCM_RIGHTS) continue;
    int fd = -1;
    std::memcpy(&fd, CMSG_DATA(header), sizeof fd);
    received = FileDescriptor(fd);
  }
  return received;
}

}  // namespace

void HandoverChannel::set_timeout(std::chrono::milliseconds timeout) {
  set_socket_timeout(socket_.get(), SO_RCVTIMEO, timeout);
  set_socket_timeout(socket_.get(), SO_SNDTIMEO, timeout);
}

bool HandoverChannel::send(const std::string& payload, int fd) {
  // The payload may be large, so it is not copied behind its size.
  const std::string size_field = BinaryWriter().number(static_cast<std::uint32_t>(payload.size())).payload();
  const std::size_t frame_bytes = size_field.size() + payload.size();
  ControlBuffer control;
  for (std::size_t sent = 0; sent < frame_bytes;) {
    const std::size_t sent_of_size = std::min(sent, size_field.size());
    const std::size_t sent_of_payload = sent - sent_of_size;
    std::array<iovec, 2> remaining{
        iovec{const_cast<char*>(size_field.data() + sent_of_size), size_field.size() - sent_of_size},
        iovec{const_cast<char*>(payload.data() + sent_of_payload), payload.size() - sent_of_payload}};
    msghdr message{};
    message.msg_iov = remaining.data();
    message.msg_iovlen = remaining.size();
    if (fd >= 0 && sent == 0) attach_descriptor(message, control, fd);
    const auto size = ::sendmsg(socket_.get(), &message, MSG_NOSIGNAL);
    if (size < 0 && errno == EINTR) continue;
    if (size <= 0) return false;
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

bool HandoverChannel::read(char* bytes, std::size_t size, FileDescriptor* fd) {
  ControlBuffer control;
  for (std::size_t bytes_read = 0; bytes_read < size;) {
    iovec remaining{};
    remaining.iov_base = bytes + bytes_read;
    remaining.iov_len = size - bytes_read;
    msghdr message{};
    message.msg_iov = &remaining;
    message.msg_iovlen = 1;
    message.msg_control = control.bytes.data();
    message.msg_controllen = control.bytes.size();
    const auto received = ::recvmsg(socket_.get(), &message, MSG_CMSG_CLOEXEC);
    if (received < 0 && errno == EINTR) continue;
    if (received <= 0) return false;
    FileDescriptor attached = take_descriptor(message);
    if (attached && fd != nullptr) *fd = std::move(attached);
    bytes_read += static_cast<std::size_t>(received);
  }
  return true;
}

bool HandoverChannel::receive(std::string& payload, FileDescriptor& fd) {
  std::uint32_t size = 0;
  if (!read(reinterpret_cast<char*>(&size), sizeof size, &fd) || size > kMaxFrameBytes) return false;
  payload.resize(size);
  return read(payload.data(), size, nullptr);
}

bool HandoverChannel::receive_exactly(const std::string& expected) {
  std::string payload;
  FileDescriptor unused;
  return receive(payload, unused) && payload == expected;
}

}  // namespace message_relay
