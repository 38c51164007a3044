// Reading JSON fields, with the place in the message for the one line on what is malformed.
#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <initializer_list>
#include <stdexcept>
#include <string>
#include <utility>

namespace configuration {

// What is wrong with a message, and where in it.
class FieldError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

using JsonValue = rapidjson::Value;

[[noreturn]] inline void throw_field_error(const std::string& path, const char* what) {
  throw FieldError(path + ": " + what);
}

// The member, or nullptr where it is absent or null.
inline const JsonValue* find_member(const JsonValue& object, const char* name) {
  const auto it = object.FindMember(name);
  return it == object.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}
inline const JsonValue& required_member(const JsonValue& object, const char* name, const std::string& path) {
  const JsonValue* v = find_member(object, name);
  if (v == nullptr) throw_field_error(path + "." + name, "missing");
  return *v;
}

inline std::string as_string(const JsonValue& v, const std::string& path) {
  if (!v.IsString()) throw_field_error(path, "must be a string");
  return {v.GetString(), v.GetStringLength()};
}
inline std::int64_t as_integer(const JsonValue& v, const std::string& path) {
  if (!v.IsInt64()) throw_field_error(path, "must be an integer");
  return v.GetInt64();
}
inline std::uint64_t as_unsigned(const JsonValue& v, const std::string& path) {
  if (!v.IsUint64()) throw_field_error(path, "must be a whole number");
  return v.GetUint64();
}
inline int as_int(const JsonValue& v, const std::string& path) {
  if (!v.IsInt()) throw_field_error(path, "must be an integer");
  return v.GetInt();
}
inline double as_double(const JsonValue& v, const std::string& path) {
  if (!v.IsNumber()) throw_field_error(path, "must be a number");
  return v.GetDouble();
}
inline bool as_bool(const JsonValue& v, const std::string& path) {
  if (!v.IsBool()) throw_field_error(path, "must be true or false");
  return v.GetBool();
}
inline const JsonValue& as_object(const JsonValue& v, const std::string& path) {
  if (!v.IsObject()) throw_field_error(path, "must be an object");
  return v;
}
inline const JsonValue& as_array(const JsonValue& v, const std::string& path) {
  if (!v.IsArray()) throw_field_error(path, "must be an array");
  return v;
}

// A required field, and one that may be absent or null, read by one of the readers above.
template <class Read>
auto read_member(const JsonValue& object, const char* name, const std::string& path, Read read) {
  return read(required_member(object, name, path), path + "." + name);
}
template <class Read, class Default>
auto read_member(const JsonValue& object, const char* name, const std::string& path, Read read,
                 Default absent) {
  const JsonValue* v = find_member(object, name);
  using Result = decltype(read(*v, path));
  return v == nullptr ? static_cast<Result>(absent) : read(*v, path + "." + name);
}

// The value that a word of the wire stands for.
template <class T>
T parse_enum(const std::string& text, std::initializer_list<std::pair<const char*, T>> words,
             const std::string& path) {
  for (const auto& [name, value] : words)
    if (text == name) return value;
  throw_field_error(path, ("unknown word '" + text + "'").c_str());
}

}  // namespace configuration
