// Reads a journal file record by record, up to its end or to the first incomplete or damaged record.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "journal_file.hpp"
#include "journal_records.hpp"

namespace message_relay {

// Reads a file once, in chunks, because the whole file may be larger than the memory. Members throw
// std::system_error if the file cannot be read.
class JournalReader {
 public:
  // The file must stay open while the reader is used.
  explicit JournalReader(const JournalFile& file) : file_(file) {}

  // Must be called first. Returns false if the file does not begin with the header of a journal.
  [[nodiscard]] bool read_header();
  // Returns the next record; nothing at the end of the file, or if the next record is incomplete or damaged,
  // because the start of the record after it is then unknown.
  [[nodiscard]] std::optional<JournalRecord> next();

  // Offset of the end of the last intact record that was returned, or of the header, in bytes.
  std::uint64_t position() const { return position_; }

 private:
  // Consumes this number of bytes, valid until the next call; nothing if the file has fewer left.
  std::optional<std::string_view> read_bytes(std::size_t size);
  // Reads until `size` unconsumed bytes are in the buffer or the file ends.
  void fill_buffer(std::size_t size);

  const JournalFile& file_;
  std::string buffer_;
  std::size_t consumed_ = 0;  // number of bytes of the buffer that were returned
  off_t file_offset_ = 0;     // end of the part of the file that was read into the buffer
  std::uint64_t position_ = 0;
};

}  // namespace message_relay
