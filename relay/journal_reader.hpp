// Reads a journal file record by record, up to its end or to the first damaged record.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "journal_file.hpp"
#include "journal_records.hpp"

namespace message_relay {

// Goes through a file once, in pieces, since all of it may be larger than the memory. Members throw
// std::system_error where the file can't be read.
class JournalReader {
 public:
  // The file must stay open as long as the reader is used.
  explicit JournalReader(const JournalFile& file) : file_(file) {}

  // Must be called first; false where the file is empty or no journal.
  [[nodiscard]] bool read_header();
  // The next record; nothing at the end, and where the next record is incomplete or damaged: what follows
  // can't be separated into records then.
  [[nodiscard]] std::optional<JournalRecord> next();

  // Bytes up to the end of the header or record that was returned last.
  std::uint64_t position() const { return position_; }

 private:
  std::optional<std::string_view> next_bytes(std::size_t size);
  void fill_buffer(std::size_t size);

  const JournalFile& file_;
  std::string buffer_;
  std::size_t consumed_ = 0;  // bytes of the buffer that were returned
  off_t file_offset_ = 0;     // up to here the file was read into the buffer
  std::uint64_t position_ = 0;
};

}  // namespace message_relay
