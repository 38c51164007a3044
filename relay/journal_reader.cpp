#include "journal_reader.hpp"

#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>
#include <utility>

namespace message_relay {
namespace {

// Size of a read, unless a record is longer.
constexpr std::size_t kReadChunkBytes = std::size_t{128} * 1024;

}  // namespace

bool JournalReader::read_header() {
  if (read_bytes(kJournalHeader.size()) != kJournalHeader) return false;
  position_ = kJournalHeader.size();
  return true;
}

std::optional<JournalRecord> JournalReader::next() {
  const auto header_bytes = read_bytes(kFrameHeaderBytes);
  if (!header_bytes) return std::nullopt;
  const FrameHeader header = decode_frame_header(*header_bytes);
  if (header.payload_size > kMaxPayloadBytes) return std::nullopt;
  const auto payload = read_bytes(header.payload_size);
  if (!payload || checksum_of(*payload) != header.checksum) return std::nullopt;
  auto record = decode(*payload);
  if (record) position_ += kFrameHeaderBytes + header.payload_size;
  return record;
}

std::optional<std::string_view> JournalReader::read_bytes(std::size_t size) {
  if (buffer_.size() - consumed_ < size) fill_buffer(size);
  if (buffer_.size() - consumed_ < size) return std::nullopt;
  const std::size_t start = std::exchange(consumed_, consumed_ + size);
  return std::string_view(buffer_).substr(start, size);
}

void JournalReader::fill_buffer(std::size_t size) {
  buffer_.erase(0, std::exchange(consumed_, 0));
  std::size_t available = buffer_.size();
  buffer_.resize(std::max(size, kReadChunkBytes));
  while (available < size) {
    const auto count =
        ::pread(file_.descriptor(), buffer_.data() + available, buffer_.size() - available, file_offset_);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) throw std::system_error(errno, std::generic_category(), "journal: " + file_.path());
    if (count == 0) break;
    available += static_cast<std::size_t>(count);
    file_offset_ += count;
  }
  buffer_.resize(available);
}

}  // namespace message_relay
