// Converts lines of the simulator's protocol to a dispatcher's events.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dispatch/dispatcher.hpp"
#include "json_fields.hpp"
#include "settings_reader.hpp"

namespace simulator_adapter {

/// An entry of an endpoint pool. Zone and kind are names here, since their positions depend on the settings
/// of an instance.
struct PoolEntry {
  dispatch::Endpoint endpoint;
  std::string zone;
  std::string kind;
};

/// The endpoint pools by their ids.
using EndpointPools = std::map<std::int64_t, std::vector<PoolEntry>>;

// All functions throw configuration::FieldError, which names the field, on malformed input.

/// Returns the entries of an input::kEndpointPool line.
std::vector<PoolEntry> read_pool(const configuration::JsonValue& line);

/// Returns the event of an input::kEndpointList line. `pools` are the pools received so far.
dispatch::Event read_list_event(const configuration::JsonValue& line, const EndpointPools& pools,
                                const configuration::SettingNames& names);

/// Returns the event of a line of any other kind that stands for an event.
dispatch::Event read_event(const std::string& kind, const configuration::JsonValue& line,
                           const configuration::SettingNames& names);

}  // namespace simulator_adapter
