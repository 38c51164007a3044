#include "json_stream_splitter.hpp"

namespace message_relay {

std::optional<std::string> JsonStreamSplitter::next() {
  for (; at_ < text_.size() && !broken_; at_++) {
    const char c = text_[at_];
    if (in_text_) {
      in_text_ = escaped_ || c != '"';
      escaped_ = !escaped_ && c == '\\';
    } else if (c == '{' || c == '[') {
      if (depth_++ == 0) text_.erase(0, at_), at_ = 0;
    } else if (depth_ == 0) {
      broken_ = c != ' ' && c != '\t' && c != '\r' && c != '\n';
    } else if (c == '"') {
      in_text_ = true;
    } else if ((c == '}' || c == ']') && --depth_ == 0) {
      std::string value = text_.substr(0, at_ + 1);
      text_.erase(0, at_ + 1), at_ = 0;
      return value;
    }
  }
  if (depth_ == 0) text_.clear(), at_ = 0;  // only space
  return std::nullopt;
}

}  // namespace message_relay
