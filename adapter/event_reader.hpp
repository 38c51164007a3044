// Reads lines of the simulator's wire as a dispatcher's events.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dispatch/dispatcher.hpp"
#include "json_fields.hpp"
#include "settings_reader.hpp"

namespace simulator_adapter {

/// An entry of an endpoint pool. Zone and kind are names: their positions depend on an instance's settings.
struct PoolEntry {
  dispatch::Endpoint endpoint;
  std::string zone;
  std::string kind;
};

using EndpointPools = std::map<std::int64_t, std::vector<PoolEntry>>;

// All functions throw configuration::FieldError, naming the field, on malformed input.

/// The entries of an input::kEndpointPool line.
std::vector<PoolEntry> read_pool(const configuration::JsonValue& line);

/// The event of an input::kEndpointList line. The pools are those given so far, by their numbers.
dispatch::Event read_list_event(const configuration::JsonValue& line, const EndpointPools& pools,
                                const configuration::SettingNames& names);

/// The event of any other line that is one, by its kind.
dispatch::Event read_event(const std::string& kind, const configuration::JsonValue& line,
                           const configuration::SettingNames& names);

}  // namespace simulator_adapter
