// Limits on the size of HTTP messages, and a check that the end of a message is unambiguous.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace message_relay {

constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{64} * 1024;
constexpr std::uint32_t kMaxHeaderBytes = std::uint32_t{16} * 1024;
constexpr std::size_t kMaxHeaderFields = 100;

// Counts the fields of a header as its bytes arrive, before they are parsed: a parsed field takes far more
// memory than the four bytes that it has at least.
class HeaderFieldCounter {
 public:
  // Adds bytes in the order of their arrival; those after the end of the header are ignored. Returns whether
  // the header has at most kMaxHeaderFields fields so far.
  [[nodiscard]] bool add(std::string_view bytes);

 private:
  std::size_t lines_ = 0;
  bool line_is_empty_ = true;
  bool ended_ = false;
};

// The memory in bytes that a parsed header takes.
[[nodiscard]] std::size_t parsed_bytes(const boost::beast::http::fields& header);

// Whether the header determines unambiguously where the message ends. `version` is 10 for HTTP/1.0 or 11 for
// HTTP/1.1. After an ambiguous header, the bytes that follow may belong to the message or to the next one, so
// the connection must not be used any further (request smuggling).
[[nodiscard]] bool has_unambiguous_framing(const boost::beast::http::fields& header, unsigned version);

}  // namespace message_relay
