// The settings that an instance is given, as the wire and a real relay's configuration write them.
#pragma once

#include <string>
#include <unordered_map>

#include "dispatch/dispatcher.hpp"
#include "json_fields.hpp"

namespace configuration {

using NameIndex = std::unordered_map<std::string, int>;

// Where each name stands in the lists of the settings.
struct SettingNames {
  NameIndex classes, tenants, zones, kinds;
};

// The position of a name, -1 where it is unknown.
int index_of(const NameIndex& names, const std::string& name);

// Throws FieldError, naming the field, on what can't be read.
dispatch::Settings read_settings(const JsonValue& v, const std::string& path, SettingNames& tables);

}  // namespace configuration
