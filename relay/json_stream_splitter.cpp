#include "json_stream_splitter.hpp"

#include <utility>

namespace message_relay {
namespace {

bool is_space(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n'; }
bool is_opening(char c) { return c == '{' || c == '['; }
bool is_closing(char c) { return c == '}' || c == ']'; }

}  // namespace

std::optional<std::string> JsonStreamSplitter::next() {
  for (; position_ < buffer_.size() && !malformed_; position_++) {
    const char c = buffer_[position_];
    if (in_string_) {
      scan_string(c);
    } else if (is_opening(c)) {
      if (depth_ == 0) discard_before(position_);
      depth_++;
    } else if (depth_ == 0) {
      malformed_ = !is_space(c);
    } else if (c == '"') {
      in_string_ = true;
    } else if (is_closing(c)) {
      depth_--;
      if (depth_ > 0) continue;
      return take_before(position_ + 1);
    }
  }
  if (depth_ == 0) discard_before(buffer_.size());  // the buffer holds only white space
  return std::nullopt;
}

void JsonStreamSplitter::scan_string(char c) {
  in_string_ = escaped_ || c != '"';
  escaped_ = !escaped_ && c == '\\';
}

void JsonStreamSplitter::discard_before(std::size_t position) {
  erase_front(buffer_, position);
  position_ = 0;
}

// A value at the end of the buffer is moved, as a list may take a large part of the memory.
std::string JsonStreamSplitter::take_before(std::size_t position) {
  std::string rest(buffer_, position);
  buffer_.resize(position);
  position_ = 0;
  return std::exchange(buffer_, std::move(rest));
}

}  // namespace message_relay
