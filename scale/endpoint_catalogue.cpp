#include "endpoint_catalogue.hpp"

#include <cstdio>

namespace scale_tool {

std::string endpoint_name(std::int64_t n) {
  constexpr std::uint32_t kOdd = 2'654'435'761;  // times it, modulo 2^32: one to one
  char text[16];
  std::snprintf(text, sizeof text, "s-%08x", static_cast<std::uint32_t>(n) * kOdd);
  return text;
}

std::int64_t destination_of(std::int64_t endpoint, double per_destination) {
  return static_cast<std::int64_t>(static_cast<double>(endpoint) / per_destination);
}

std::string entry(std::int64_t n, std::int64_t destination, const std::string& address,
                  const std::string& status) {
  return R"({"name":")" + endpoint_name(n) + R"(","address":")" + address +
         R"(","zone":"a","type":"small","group":)" + std::to_string(destination) + R"(,"status":")" + status +
         R"(","weight":1.0,"since_ms":0})";
}

std::string list_of(const std::string& entries, std::int64_t index, bool whole) {
  return R"({"index":)" + std::to_string(index) + R"(,"snapshot":)" + (whole ? "true" : "false") +
         R"(,"endpoints":[)" + entries + "]}";
}

std::string catalogue(std::int64_t endpoints, double per_destination, const std::string& address,
                      std::int64_t index) {
  std::string entries;
  for (std::int64_t i = 0; i < endpoints; i++) {
    const std::string own = "10." + std::to_string(i >> 16) + "." + std::to_string((i >> 8) & 255) + "." +
                            std::to_string(i & 255) + ":8081";
    if (i > 0) entries += ',';
    entries += entry(i, destination_of(i, per_destination), address.empty() ? own : address);
  }
  return list_of(entries, index, true);
}

}  // namespace scale_tool
