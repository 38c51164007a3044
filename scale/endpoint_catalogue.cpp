#include "endpoint_catalogue.hpp"

#include <cstdio>

namespace scale_tool {
namespace {

// Multiplication by an odd number modulo 2^32 is one-to-one, so that different endpoints get different names.
constexpr std::uint32_t kOddFactor = 2'654'435'761;

// Returns an address in 10.0.0.0/8, which has room for numbers below 2^24.
std::string unique_address(std::int64_t endpoint) {
  return "10." + std::to_string(endpoint >> 16) + "." + std::to_string((endpoint >> 8) & 255) + "." +
         std::to_string(endpoint & 255) + ":8081";
}

}  // namespace

std::string endpoint_name(std::int64_t number) {
  char text[16];
  std::snprintf(text, sizeof text, "s-%08x", static_cast<std::uint32_t>(number) * kOddFactor);
  return text;
}

std::int64_t destination_of(std::int64_t endpoint, double endpoints_per_destination) {
  return static_cast<std::int64_t>(static_cast<double>(endpoint) / endpoints_per_destination);
}

std::string list_entry(std::int64_t endpoint, std::int64_t destination, const std::string& address,
                       const std::string& status) {
  return R"({"name":")" + endpoint_name(endpoint) + R"(","address":")" + address +
         R"(","zone":"a","type":"small","group":)" + std::to_string(destination) + R"(,"status":")" + status +
         R"(","weight":1.0,"since_ms":0})";
}

std::string endpoint_list(const std::string& entries, std::int64_t version, ListForm form) {
  return R"({"index":)" + std::to_string(version) + R"(,"snapshot":)" +
         (form == ListForm::snapshot ? "true" : "false") + R"(,"endpoints":[)" + entries + "]}";
}

std::string list_snapshot(std::int64_t endpoints, double endpoints_per_destination,
                          const std::string& address, std::int64_t version) {
  std::string entries;
  for (std::int64_t endpoint = 0; endpoint < endpoints; endpoint++) {
    if (endpoint > 0) entries += ',';
    entries += list_entry(endpoint, destination_of(endpoint, endpoints_per_destination),
                          address.empty() ? unique_address(endpoint) : address);
  }
  return endpoint_list(entries, version, ListForm::snapshot);
}

}  // namespace scale_tool
