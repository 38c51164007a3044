// Functions that read typed JSON fields. `path` is the path of the field or of the object that has it; errors
// begin with the path of the malformed field.
#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <initializer_list>
#include <stdexcept>
#include <string>
#include <utility>

namespace configuration {

// A malformed JSON field. The text gives the path of the field and what is wrong with it.
class FieldError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

using JsonValue = rapidjson::Value;

[[noreturn]] inline void throw_field_error(const std::string& path, const char* problem) {
  throw FieldError(path + ": " + problem);
}

// Returns the member, or nullptr if it is absent or null.
inline const JsonValue* find_member(const JsonValue& object, const char* name) {
  const auto it = object.FindMember(name);
  return it == object.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}
// Returns the member. Throws FieldError if it is absent or null.
inline const JsonValue& required_member(const JsonValue& object, const char* name, const std::string& path) {
  const JsonValue* value = find_member(object, name);
  if (value == nullptr) throw_field_error(path + "." + name, "missing");
  return *value;
}

// Each of these functions returns the value as a type. They throw FieldError if the value has another type.
inline std::string as_string(const JsonValue& value, const std::string& path) {
  if (!value.IsString()) throw_field_error(path, "must be a string");
  return {value.GetString(), value.GetStringLength()};
}
inline std::int64_t as_int64(const JsonValue& value, const std::string& path) {
  if (!value.IsInt64()) throw_field_error(path, "must be a 64-bit integer");
  return value.GetInt64();
}
inline std::uint64_t as_uint64(const JsonValue& value, const std::string& path) {
  if (!value.IsUint64()) throw_field_error(path, "must be a whole number");
  return value.GetUint64();
}
inline int as_int(const JsonValue& value, const std::string& path) {
  if (!value.IsInt()) throw_field_error(path, "must be a 32-bit integer");
  return value.GetInt();
}
inline double as_double(const JsonValue& value, const std::string& path) {
  if (!value.IsNumber()) throw_field_error(path, "must be a number");
  return value.GetDouble();
}
inline bool as_bool(const JsonValue& value, const std::string& path) {
  if (!value.IsBool()) throw_field_error(path, "must be true or false");
  return value.GetBool();
}
inline const JsonValue& as_object(const JsonValue& value, const std::string& path) {
  if (!value.IsObject()) throw_field_error(path, "must be an object");
  return value;
}
inline const JsonValue& as_array(const JsonValue& value, const std::string& path) {
  if (!value.IsArray()) throw_field_error(path, "must be an array");
  return value;
}

// Reads a required member with `read`, which is one of the functions above or one with the same parameters.
template <class Read>
auto read_member(const JsonValue& object, const char* name, const std::string& path, Read read) {
  return read(required_member(object, name, path), path + "." + name);
}
// Reads an optional member with `read`. Returns `default_value` if the member is absent or null.
template <class Read, class Default>
auto read_member(const JsonValue& object, const char* name, const std::string& path, Read read,
                 Default default_value) {
  const JsonValue* value = find_member(object, name);
  using Result = decltype(read(*value, path));
  return value == nullptr ? static_cast<Result>(default_value) : read(*value, path + "." + name);
}

// Returns the value whose name is `text`. Throws FieldError if `names` does not have it.
template <class T>
T parse_enum(const std::string& text, std::initializer_list<std::pair<const char*, T>> names,
             const std::string& path) {
  for (const auto& [name, value] : names)
    if (text == name) return value;
  throw_field_error(path, ("unknown value '" + text + "'").c_str());
}

}  // namespace configuration
