// A file descriptor with its owner, which closes it.
#pragma once

#include <utility>

namespace message_relay {

class FileDescriptor {
 public:
  // Owns `fd`; a negative one is none.
  explicit FileDescriptor(int fd = -1) : fd_(fd) {}
  FileDescriptor(FileDescriptor&& other) noexcept : fd_(other.release()) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept;
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  ~FileDescriptor();

  [[nodiscard]] int get() const { return fd_; }
  // Gives it to the caller, who closes it.
  int release() { return std::exchange(fd_, -1); }
  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_;
};

}  // namespace message_relay
