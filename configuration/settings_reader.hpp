// Reads the dispatcher's settings from JSON. The simulator's protocol and the configuration of a relay
// contain them in the same form.
//
// The keys are part of that external format, so they must not be renamed.
#pragma once

#include <string>
#include <unordered_map>

#include "dispatch/dispatcher.hpp"
#include "json_fields.hpp"

namespace configuration {

// Maps each name of a list to its position.
using NameIndex = std::unordered_map<std::string, int>;

// The position of a name that is not in the list.
inline constexpr int kUnknownName = -1;

// The names in the lists of the settings. The dispatcher's events carry positions instead of names.
struct SettingNames {
  NameIndex classes;
  NameIndex tenants;
  NameIndex zones;
  NameIndex kinds;
};

// Returns the position of a name, or kUnknownName if the list does not have it.
[[nodiscard]] int index_of(const NameIndex& names, const std::string& name);

// Reads the settings from `value`, whose path in error messages is `path`. Also fills `names`, which must be
// empty. Throws FieldError, which names the field, if a field is missing or malformed.
[[nodiscard]] dispatch::Settings read_settings(const JsonValue& value, const std::string& path,
                                               SettingNames& names);

}  // namespace configuration
