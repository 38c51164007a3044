// An experiment file: TOML with one table for each subcommand. A key that it leaves out keeps its default.
#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace scale_tool {

// An argument or a file that makes no sense. The message names it, in a file with the line and the key.
struct BadInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One table of a file.
// Invariant: `table_` points into `file_`, or is null where there is no such table; `known_keys_` are those
// that something has tried to read.
class Experiment {
 public:
  // An empty path is a file without tables. Throws BadInput where the file can't be read or parsed.
  Experiment(const std::string& path, const std::string& table);
  ~Experiment() = default;
  Experiment(const Experiment&) = delete;
  Experiment& operator=(const Experiment&) = delete;

  // Each reads its key into `value`, if it is there. Throws BadInput for a value of another type or outside
  // [min, max].
  void read(const std::string& key, double& value, double min, double max);
  void read(const std::string& key, int& value, int min, int max);
  void read(const std::string& key, std::int64_t& value, std::int64_t min, std::int64_t max);
  void read(const std::string& key, std::vector<std::int64_t>& values, std::int64_t min, std::int64_t max);
  void read(const std::string& key, bool& value);
  // Throws BadInput for a key whose value is wrong by more than its type and range.
  [[noreturn]] void reject(const std::string& key, const std::string& problem) const;
  // Throws BadInput for a key that nothing has read: a misspelt one would silently keep its default.
  void finish() const;

 private:
  const toml::node* find(const std::string& key);
  [[noreturn]] void fail(const toml::node& node, const std::string& key, const std::string& problem) const;

  std::string path_;
  std::string table_name_;
  toml::table file_;
  const toml::table* table_ = nullptr;
  std::set<std::string> known_keys_;
};

}  // namespace scale_tool
