// Binary encoding of consecutive fields, for the journal and for the handover between processes.
//
// Numbers are little-endian and have the size of their type, as in the machine's memory; a string is its size
// in 32 bits, followed by its bytes. Other builds read both the journal and the handover, so the format must
// not change.
#pragma once

#include <bit>
#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>

namespace message_relay {

static_assert(std::endian::native == std::endian::little);

// Encodes fields in the order of the calls.
class BinaryWriter {
 public:
  template <class Number>
  BinaryWriter& number(Number value) {
    static_assert(std::is_arithmetic_v<Number> || std::is_enum_v<Number>);
    payload_.append(reinterpret_cast<const char*>(&value), sizeof value);
    return *this;
  }
  BinaryWriter& text(const std::string& value) {
    number(static_cast<std::uint32_t>(value.size()));
    payload_ += value;
    return *this;
  }
  [[nodiscard]] const std::string& payload() const { return payload_; }

 private:
  std::string payload_;
};

// Reads fields in the order in which they were written. Throws std::runtime_error if fewer bytes are left
// than a field needs. `payload` must outlive the reader.
class BinaryReader {
 public:
  explicit BinaryReader(std::string_view payload) : payload_(payload) {}

  template <class Number>
  Number number() {
    static_assert(std::is_arithmetic_v<Number> || std::is_enum_v<Number>);
    Number value;
    std::memcpy(&value, consume(sizeof value), sizeof value);
    return value;
  }
  std::string text() {
    const auto size = number<std::uint32_t>();
    return {consume(size), size};
  }

 private:
  const char* consume(std::size_t size) {
    if (payload_.size() - position_ < size)
      throw std::runtime_error("record too short: expected " + std::to_string(size) + " more bytes, found " +
                               std::to_string(payload_.size() - position_));
    const char* bytes = payload_.data() + position_;
    position_ += size;
    return bytes;
  }

  std::string_view payload_;
  std::size_t position_ = 0;
};

}  // namespace message_relay
