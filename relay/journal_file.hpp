// A journal file on disk: opening, appending, truncating and atomic replacement.
#pragma once

#include <cstdint>
#include <string>

#include "file_descriptor.hpp"

namespace message_relay {

// An append-only file. All members throw std::system_error with the path in its text if a system call fails.
class JournalFile {
 public:
  // Whether the present content of the file is kept or discarded.
  enum class OpenMode { keep_content, truncate };

  // No file is open.
  JournalFile() = default;
  // Opens the file, creating it if necessary. Whatever its present content, size() is 0 until truncate() is
  // called, and an append before that overwrites the content from its start.
  JournalFile(std::string path, OpenMode mode);

  bool is_open() const { return static_cast<bool>(descriptor_); }
  int descriptor() const { return descriptor_.get(); }
  const std::string& path() const { return path_; }
  // Number of bytes that are in use; the next append continues there.
  std::uint64_t size() const { return size_; }
  // The length of the file in bytes, as the file system reports it.
  [[nodiscard]] std::uint64_t stored_size() const;

  // Truncates the file to this size, in bytes; the next append continues there.
  void truncate(std::uint64_t size);
  // Appends all of the bytes or, if that fails, none of them.
  void append(const std::string& bytes);
  // Renames the file to this path; atomically replaces the file that is there.
  void rename_to(const std::string& path);

 private:
  std::string path_;
  FileDescriptor descriptor_;
  std::uint64_t size_ = 0;
};

}  // namespace message_relay
