// Strings of received bytes whose capacity is close to their size.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>

namespace message_relay {

// Capacity grows in steps of a quarter of the size, between these limits in bytes. std::string would double
// it, so that a peer could make the process hold twice what it sends.
inline constexpr std::size_t kMinBufferStepBytes = 512;
inline constexpr std::size_t kMaxBufferStepBytes = 16'384;

// Empties the buffer and releases its memory. Assigning an empty string would keep the memory.
inline void release_buffer(std::string& buffer) { std::string().swap(buffer); }

// Appends the bytes. If the capacity has to grow, it exceeds the size by one step at most.
inline void append_exactly(std::string& buffer, std::string_view bytes) {
  const std::size_t size = buffer.size() + bytes.size();
  if (size > buffer.capacity()) {
    std::string grown;
    const std::size_t step = std::clamp(size / 4, kMinBufferStepBytes, kMaxBufferStepBytes);
    grown.reserve((size + step - 1) / step * step);
    grown.append(buffer);
    buffer.swap(grown);
  }
  buffer.append(bytes);
}

// Removes the first bytes, and the capacity that is not needed any more.
inline void erase_front(std::string& buffer, std::size_t size) {
  if (size == 0) return;
  std::string rest(buffer, std::min(size, buffer.size()));
  buffer.swap(rest);
}

// What the allocator adds to a block, with rounding, in bytes.
inline constexpr std::size_t kAllocationOverheadBytes = 16;

// The bytes that a string holds on the heap. Short strings are part of their object.
inline std::size_t heap_bytes(const std::string& text) {
  return text.capacity() > std::string().capacity() ? text.capacity() + kAllocationOverheadBytes : 0;
}

}  // namespace message_relay
