#include "journal_reader.hpp"

#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>
#include <utility>

namespace message_relay {
namespace {

constexpr std::size_t kReadBytes = std::size_t{128} * 1024;  // read at once; more where one record is longer

}  // namespace

bool JournalReader::read_header() {
  if (next_bytes(kJournalHeader.size()) != kJournalHeader) return false;
  position_ = kJournalHeader.size();
  return true;
}

std::optional<JournalRecord> JournalReader::next() {
  const auto header_bytes = next_bytes(kFrameHeaderBytes);
  if (!header_bytes) return std::nullopt;
  const FrameHeader header = decode_frame_header(*header_bytes);
  if (header.payload_size > kMaxPayloadBytes) return std::nullopt;
  const auto payload = next_bytes(header.payload_size);
  if (!payload || checksum_of(*payload) != header.checksum) return std::nullopt;
  auto record = decode(*payload);
  if (record) position_ += kFrameHeaderBytes + header.payload_size;
  return record;
}

// The next so many bytes, valid until the next call; nothing where the file holds fewer.
std::optional<std::string_view> JournalReader::next_bytes(std::size_t size) {
  if (buffer_.size() - consumed_ < size) fill_buffer(size);
  if (buffer_.size() - consumed_ < size) return std::nullopt;
  const std::size_t start = std::exchange(consumed_, consumed_ + size);
  return std::string_view(buffer_).substr(start, size);
}

void JournalReader::fill_buffer(std::size_t size) {
  buffer_.erase(0, std::exchange(consumed_, 0));
  std::size_t available = buffer_.size();
  buffer_.resize(std::max(size, kReadBytes));
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
