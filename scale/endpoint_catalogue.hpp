// Writes endpoint lists in the JSON format in which discovery sends them to the relay.
#pragma once

#include <cstdint>
#include <string>

namespace scale_tool {

// The version of the first list that is sent. Each update has the next higher version.
constexpr std::int64_t kFirstListVersion = 41;

enum class ListForm { snapshot, update };

// Returns a name like "s-5be2a07c". Names differ for all numbers below 2^32 and do not sort like the numbers.
[[nodiscard]] std::string endpoint_name(std::int64_t number);
// Returns the destination of an endpoint in a list with a mean of `endpoints_per_destination`, which may be a
// fraction.
[[nodiscard]] std::int64_t destination_of(std::int64_t endpoint, double endpoints_per_destination);
// Returns the list entry of one endpoint. `status` is "ready" or "draining".
[[nodiscard]] std::string list_entry(std::int64_t endpoint, std::int64_t destination,
                                     const std::string& address, const std::string& status = "ready");
// Returns a list of the given entries, which must be separated by commas.
[[nodiscard]] std::string endpoint_list(const std::string& entries, std::int64_t version, ListForm form);
// Returns a snapshot of `endpoints` endpoints, all with the status "ready". Each has the given address or, if
// that is empty, an address of its own.
[[nodiscard]] std::string list_snapshot(std::int64_t endpoints, double endpoints_per_destination,
                                        const std::string& address = "",
                                        std::int64_t version = kFirstListVersion);

}  // namespace scale_tool
