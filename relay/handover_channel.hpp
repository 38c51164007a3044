// Sends and receives frames over a Unix socket between two processes that use the same state folder. Each
// frame can carry one file descriptor.
//
// A frame is the size of its payload as a 32-bit little-endian number, followed by the payload. All calls
// block up to the timeout.
#pragma once

#include <chrono>
#include <string>

#include "file_descriptor.hpp"

namespace message_relay {

// One end of the connection between the owner of a state folder and the process that takes over.
class HandoverChannel {
 public:
  explicit HandoverChannel(FileDescriptor socket) : socket_(std::move(socket)) {}

  // Sets the time limit of each following read and write. 0 means no limit.
  void set_timeout(std::chrono::milliseconds timeout);

  // Sends one frame, with the descriptor `fd` unless it is negative. The caller keeps ownership of `fd`; the
  // receiver gets a duplicate of it. Returns false if the frame could not be written whole.
  bool send(const std::string& payload, int fd = -1);
  // Receives one frame. Sets `fd` if the frame carries a descriptor. Returns false if the frame is incomplete
  // or larger than 64 MiB.
  [[nodiscard]] bool receive(std::string& payload, FileDescriptor& fd);
  // Receives one frame. Returns whether it is complete and its payload equals `expected`.
  [[nodiscard]] bool receive_exactly(const std::string& expected);

 private:
  [[nodiscard]] bool read(char* bytes, std::size_t size, FileDescriptor* fd);

  FileDescriptor socket_;
};

}  // namespace message_relay
