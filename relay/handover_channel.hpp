// Frames over a Unix socket between two processes on one state folder. A descriptor may go along with each.
//
// A frame is its payload's size, 32 bits little-endian, then the payload. All calls block, up to the timeout.
#pragma once

#include <chrono>
#include <string>

#include "file_descriptor.hpp"

namespace message_relay {

class HandoverChannel {
 public:
  explicit HandoverChannel(FileDescriptor socket) : socket_(std::move(socket)) {}

  // For each read and write from now on; 0: none.
  void set_timeout(std::chrono::milliseconds timeout);

  // `fd` stays the caller's; the receiver gets another descriptor of the same file. False where the other
  // process does not take the frame.
  bool send(const std::string& payload, int fd = -1);
  // False where the frame does not come whole. `fd` is set where a descriptor came along.
  [[nodiscard]] bool receive(std::string& payload, FileDescriptor& fd);
  // Whether the next frame holds just `word`.
  [[nodiscard]] bool receive_word(const std::string& word);

 private:
  [[nodiscard]] bool read(char* bytes, std::size_t size, FileDescriptor* fd);

  FileDescriptor socket_;
};

}  // namespace message_relay
