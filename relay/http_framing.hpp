// Limits of HTTP messages, and whether it is certain where one ends.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <cstdint>

namespace message_relay {

constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{64} * 1024;
constexpr std::uint32_t kMaxHeaderBytes = std::uint32_t{16} * 1024;

// Whether the header leaves no doubt where the message ends; `version` is 10 or 11. Where it does, what
// follows may be part of the message, and its connection can't be used any further (request smuggling).
[[nodiscard]] bool has_unambiguous_framing(const boost::beast::http::fields& header, unsigned version);

}  // namespace message_relay
