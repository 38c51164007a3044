// Reads the dispatcher's settings from JSON, as the simulator's wire and a relay's configuration write them.
//
// The keys are an exchanged format and keep their names.
#pragma once

#include <string>
#include <unordered_map>

#include "dispatch/dispatcher.hpp"
#include "json_fields.hpp"

namespace configuration {

// The position of each name in its list.
using NameIndex = std::unordered_map<std::string, int>;

inline constexpr int kUnknownName = -1;

// Names of the lists of the settings: events carry positions in their place.
struct SettingNames {
  NameIndex classes;
  NameIndex tenants;
  NameIndex zones;
  NameIndex kinds;
};

// The position of a name, kUnknownName where it is not there.
[[nodiscard]] int index_of(const NameIndex& names, const std::string& name);

// Fills `names`, which must be empty. Throws FieldError, naming the field, on what can't be read.
[[nodiscard]] dispatch::Settings read_settings(const JsonValue& value, const std::string& path,
                                               SettingNames& names);

}  // namespace configuration
