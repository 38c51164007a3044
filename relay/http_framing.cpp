#include "http_framing.hpp"

#include <algorithm>

namespace message_relay {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr unsigned kHttp11 = 11;
// What Beast and the allocator add to the text of each field, in bytes.
constexpr std::size_t kFieldOverheadBytes = 80;

// Guards against a list of equal lengths ("3, 3"), which Beast accepts as a Content-Length.
bool is_decimal_number(beast::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

}  // namespace

bool HeaderFieldCounter::add(std::string_view bytes) {
  for (const char c : bytes) {
    if (ended_) break;
    if (c == '\n') {
      ended_ = line_is_empty_ && lines_ > 0;
      lines_++;
      line_is_empty_ = true;
    } else if (c != '\r') {
      line_is_empty_ = false;
    }
  }
  // The first line is not a field, and neither is the empty one at the end.
  return lines_ <= kMaxHeaderFields + (ended_ ? 2 : 1);
}

std::size_t parsed_bytes(const http::fields& header) {
  std::size_t bytes = 0;
  for (const auto& field : header)
    bytes += field.name_string().size() + field.value().size() + kFieldOverheadBytes;
  return bytes;
}

bool has_unambiguous_framing(const http::fields& header, unsigned version) {
  const auto length_count = header.count(http::field::content_length);
  const auto coding_count = header.count(http::field::transfer_encoding);
  if (coding_count == 0) {
    if (length_count == 0) return true;
    return length_count == 1 && is_decimal_number(header[http::field::content_length]);
  }
  return length_count == 0 && coding_count == 1 && version >= kHttp11 &&
         beast::iequals(header[http::field::transfer_encoding], "chunked");
}

}  // namespace message_relay
