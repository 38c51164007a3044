// The endpoint list of discovery, in the JSON that the relay reads.
#pragma once

#include <cstdint>
#include <string>

namespace scale_tool {

// The version of a list that is given first; the versions of updates count on from it.
constexpr std::int64_t kFirstListVersion = 41;

enum class ListForm { snapshot, update };

// A name like "s-5be2a07c": another one for each number below 2^32, in no order.
[[nodiscard]] std::string endpoint_name(std::int64_t number);
// The destination of an endpoint, where this many endpoints of each are listed in the mean.
[[nodiscard]] std::int64_t destination_of(std::int64_t endpoint, double endpoints_per_destination);
// The entry of one endpoint. The status is "ready" or "draining".
[[nodiscard]] std::string list_entry(std::int64_t endpoint, std::int64_t destination,
                                     const std::string& address, const std::string& status = "ready");
// A list of entries that are joined by commas.
[[nodiscard]] std::string endpoint_list(const std::string& entries, std::int64_t version, ListForm form);
// A snapshot of so many endpoints, all ready: at this address or, where it is empty, each at one of its own.
[[nodiscard]] std::string list_snapshot(std::int64_t endpoints, double endpoints_per_destination,
                                        const std::string& address = "",
                                        std::int64_t version = kFirstListVersion);

}  // namespace scale_tool
