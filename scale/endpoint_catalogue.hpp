// Discovery's list, in the form in which the relay reads it.
#pragma once

#include <cstdint>
#include <string>

namespace scale_tool {

// As on the protocol's page, "s-5be2a07c": another one for each number below 2^32, in no order.
std::string endpoint_name(std::int64_t n);
// The destination of an endpoint, where so many are listed of each in the mean.
std::int64_t destination_of(std::int64_t endpoint, double per_destination);
std::string entry(std::int64_t n, std::int64_t destination, const std::string& address,
                  const std::string& status = "ready");
std::string list_of(const std::string& entries, std::int64_t index, bool whole);
// Whole, all ready, at this address or, where it is empty, at addresses of their own.
std::string catalogue(std::int64_t endpoints, double per_destination, const std::string& address = "",
                      std::int64_t index = 41);

}  // namespace scale_tool
