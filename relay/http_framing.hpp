// Limits on the size of HTTP messages, and a check that the end of a message is unambiguous.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <cstdint>

namespace message_relay {

constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{64} * 1024;
constexpr std::uint32_t kMaxHeaderBytes = std::uint32_t{16} * 1024;

// Whether the header determines unambiguously where the message ends. `version` is 10 for HTTP/1.0 or 11 for
// HTTP/1.1. After an ambiguous header, the bytes that follow may belong to the message or to the next one, so
// the connection must not be used any further (request smuggling).
[[nodiscard]] bool has_unambiguous_framing(const boost::beast::http::fields& header, unsigned version);

}  // namespace message_relay
