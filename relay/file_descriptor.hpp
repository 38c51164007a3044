// RAII ownership of a file descriptor.
#pragma once

#include <unistd.h>

#include <utility>

namespace message_relay {

// Owns one file descriptor and closes it when destroyed. A negative number means that it owns none.
class FileDescriptor {
 public:
  explicit FileDescriptor(int fd = -1) : fd_(fd) {}
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  FileDescriptor(FileDescriptor&& other) noexcept : fd_(other.release()) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    if (this != &other) {
      if (fd_ >= 0) ::close(fd_);
      fd_ = other.release();
    }
    return *this;
  }
  ~FileDescriptor() {
    if (fd_ >= 0) ::close(fd_);
  }

  int get() const { return fd_; }
  // Gives up ownership and returns the descriptor, which the caller must close.
  int release() { return std::exchange(fd_, -1); }
  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_;
};

}  // namespace message_relay
