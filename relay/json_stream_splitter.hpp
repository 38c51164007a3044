// Takes JSON values one after the other out of a stream, however they are broken into lines or pieces.
#pragma once

#include <optional>
#include <string>

namespace message_relay {

class JsonStreamSplitter {
 public:
  void append(const std::string& bytes) { text_ += bytes; }
  // The next object or array that is whole; whether it can be read is for its reader to find out.
  std::optional<std::string> next();
  // Something stands between the values that begins none.
  bool malformed() const { return broken_; }
  std::size_t buffered_bytes() const { return text_.size(); }  // bytes of what is not whole yet

 private:
  std::string text_;
  std::size_t at_ = 0;  // looked at up to here
  std::size_t depth_ = 0;
  bool in_text_ = false, escaped_ = false, broken_ = false;
};

}  // namespace message_relay
