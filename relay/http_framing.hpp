// Whether it is certain where an HTTP message ends. Where it is not, what stands behind it may be part of it:
// its connection is of no further use.
#pragma once

#include <boost/beast/http/fields.hpp>

namespace message_relay {

constexpr std::uint64_t kMaxBodyBytes = 64 * 1024;
constexpr std::uint32_t kMaxHeaderBytes = 16 * 1024;

bool has_unambiguous_framing(const boost::beast::http::fields& head, unsigned version);

}  // namespace message_relay
