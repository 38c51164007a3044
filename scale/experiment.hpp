// Reads an experiment file: TOML with one table for each subcommand. A key that is left out keeps its
// default.
#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace scale_tool {

// Thrown for an invalid argument or file. The message names the argument, or the file with the line and the
// key.
struct BadInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One table of an experiment file.
// Invariant: `table_` points into `file_`, or is null if the file has no such table; `requested_keys_` holds
// the keys that read() has been called for, whether or not the table has them.
class ExperimentTable {
 public:
  // An empty path stands for a file without tables. Throws BadInput if the file can't be read or parsed, or
  // if `table` is not a table in it.
  ExperimentTable(const std::string& path, const std::string& table);
  ~ExperimentTable() = default;
  ExperimentTable(const ExperimentTable&) = delete;
  ExperimentTable& operator=(const ExperimentTable&) = delete;

  // Each stores the value of the key, or leaves the argument unchanged if the table doesn't have the key.
  // Throws BadInput for a value of another type or outside [min, max].
  void read(const std::string& key, double& value, double min, double max);
  void read(const std::string& key, int& value, int min, int max);
  void read(const std::string& key, std::int64_t& value, std::int64_t min, std::int64_t max);
  void read(const std::string& key, std::vector<std::int64_t>& values, std::int64_t min, std::int64_t max);
  void read(const std::string& key, bool& value);
  // Stores the position of the key's text among `choices`.
  void read_choice(const std::string& key, std::size_t& position, const std::vector<std::string>& choices);
  // Throws BadInput for a value that is invalid for a reason other than its type and range.
  [[noreturn]] void throw_invalid(const std::string& key, const std::string& problem) const;
  // Throws BadInput if the table has a key that was not read. Guards against a misspelt key, whose setting
  // would silently keep its default.
  void check_all_keys_read() const;

 private:
  const toml::node* find(const std::string& key);
  [[noreturn]] void throw_error(const toml::node& node, const std::string& key,
                                const std::string& problem) const;

  std::string path_;
  std::string table_name_;
  toml::table file_;
  const toml::table* table_ = nullptr;
  std::set<std::string> requested_keys_;
};

}  // namespace scale_tool
