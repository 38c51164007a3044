// Splits a stream of JSON values, whatever its line breaks and the pieces in which it arrives.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "byte_buffer.hpp"

namespace message_relay {

// The values must be objects or arrays with only white space between them.
class JsonStreamSplitter {
 public:
  void append(const std::string& bytes) { append_exactly(buffer_, bytes); }
  // Returns the next complete value, or nothing if more bytes are needed or the stream is malformed. The
  // content of the value is not validated.
  [[nodiscard]] std::optional<std::string> next();
  // Whether a character between two values is neither white space nor the start of a value. The stream cannot
  // be split any further then.
  bool malformed() const { return malformed_; }
  // Returns the number of bytes that are buffered and not returned as values yet.
  std::size_t buffered_bytes() const { return buffer_.size(); }
  // The memory in bytes that the splitter holds.
  std::size_t memory_bytes() const { return heap_bytes(buffer_); }

 private:
  void scan_string(char c);
  void discard_before(std::size_t position);
  std::string take_before(std::size_t position);

  std::string buffer_;
  std::size_t position_ = 0;  // of the next character to scan
  std::size_t depth_ = 0;     // nesting depth: the number of open brackets
  bool in_string_ = false;
  bool escaped_ = false;  // whether an unescaped backslash precedes the next character
  bool malformed_ = false;
};

}  // namespace message_relay
