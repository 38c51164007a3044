// Splits a stream of JSON values, however it is broken into lines or pieces.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace message_relay {

// Values are objects and arrays, with nothing but white space between them.
class JsonStreamSplitter {
 public:
  void append(const std::string& bytes) { buffer_ += bytes; }
  // The next complete value; nothing where more bytes are needed. Its content is not validated.
  [[nodiscard]] std::optional<std::string> next();
  // Whether something between the values is neither white space nor the start of a value. The stream can't be
  // split any further then.
  bool malformed() const { return malformed_; }
  // Bytes of the value that is not complete yet.
  std::size_t buffered_bytes() const { return buffer_.size(); }

 private:
  void scan_string(char c);
  void discard_before(std::size_t position);

  std::string buffer_;
  std::size_t position_ = 0;  // scanned up to here
  std::size_t depth_ = 0;     // of brackets that are open
  bool in_string_ = false;
  bool escaped_ = false;  // the next character belongs to an escape sequence
  bool malformed_ = false;
};

}  // namespace message_relay
