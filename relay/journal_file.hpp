// A file of the journal on disk: opened, appended to, cut off, put in another's place.
#pragma once

#include <cstdint>
#include <string>

#include "file_descriptor.hpp"

namespace message_relay {

// An append-only file. All members throw std::system_error with the path where the system call fails.
class JournalFile {
 public:
  enum class OpenMode { keep_content, truncate };

  // No file is open.
  JournalFile() = default;
  // Opens the file, creating it if necessary. Its present content counts as size 0 until truncate() is
  // called.
  JournalFile(std::string path, OpenMode mode);

  bool is_open() const { return static_cast<bool>(descriptor_); }
  int descriptor() const { return descriptor_.get(); }
  const std::string& path() const { return path_; }
  std::uint64_t size() const { return size_; }  // bytes
  // What the system reports as the file's length, in bytes.
  [[nodiscard]] std::uint64_t stored_size() const;

  // Cuts the file off at this size; the next append continues there.
  void truncate(std::uint64_t size);
  // Appends all of the bytes or, where that fails, none of them.
  void append(const std::string& bytes);
  // Atomically takes the place of the file at this path.
  void rename_to(const std::string& path);

 private:
  std::string path_;
  FileDescriptor descriptor_;
  std::uint64_t size_ = 0;
};

}  // namespace message_relay
