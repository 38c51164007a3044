#include "journal_file.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <system_error>
#include <utility>

namespace message_relay {
namespace {

constexpr mode_t kOwnerOnly = 0600;

[[noreturn]] void throw_system_error(int error, const std::string& path) {
  throw std::system_error(error, std::generic_category(), "journal: " + path);
}

}  // namespace

JournalFile::JournalFile(std::string path, OpenMode mode) : path_(std::move(path)) {
  const int truncation = mode == OpenMode::truncate ? O_TRUNC : 0;
  descriptor_ = FileDescriptor(::open(path_.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | truncation, kOwnerOnly));
  if (!descriptor_) throw_system_error(errno, path_);
}

std::uint64_t JournalFile::stored_size() const {
  struct stat info {};
  if (::fstat(descriptor_.get(), &info) != 0) throw_system_error(errno, path_);
  return static_cast<std::uint64_t>(info.st_size);
}

void JournalFile::truncate(std::uint64_t size) {
  if (::ftruncate(descriptor_.get(), static_cast<off_t>(size)) != 0) throw_system_error(errno, path_);
  size_ = size;
}

void JournalFile::append(const std::string& bytes) {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const auto count = ::pwrite(descriptor_.get(), bytes.data() + written, bytes.size() - written,
                                static_cast<off_t>(size_ + written));
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) {
      const int error = count == 0 ? ENOSPC : errno;
      // Removes what was written: reading ends at an incomplete record, so all later records would be lost.
      truncate(size_);
      throw_system_error(error, path_);
    }
    written += static_cast<std::size_t>(count);
  }
  size_ += bytes.size();
}

void JournalFile::rename_to(const std::string& path) {
  if (std::rename(path_.c_str(), path.c_str()) != 0) throw_system_error(errno, path);
  path_ = path;
}

}  // namespace message_relay
