#include "file_descriptor.hpp"

#include <unistd.h>

namespace message_relay {

FileDescriptor& FileDescriptor::operator=(FileDescriptor&& other) noexcept {
  if (this != &other) {
    if (fd_ >= 0) ::close(fd_);
    fd_ = other.release();
  }
  return *this;
}

FileDescriptor::~FileDescriptor() {
  if (fd_ >= 0) ::close(fd_);
}

}  // namespace message_relay
