// An experiment file: TOML, one table for each subcommand. What it leaves out keeps its default.
#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace scale_tool {

// An argument or a file that makes no sense: the message names it, and where it is a file, its line.
struct BadInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Experiment {
 public:
  // One table of the file. Throws BadInput. An empty path is a file without tables.
  Experiment(const std::string& path, const std::string& table);

  // Each reads its key into `value`, if it is there. Throws BadInput outside [least, most].
  void read(const std::string& key, double& value, double least, double most);
  void read(const std::string& key, std::int64_t& value, std::int64_t least, std::int64_t most);
  void read(const std::string& key, std::vector<std::int64_t>& values, std::int64_t least, std::int64_t most);
  void read(const std::string& key, bool& value);
  // Throws BadInput for a key whose value makes no sense beside others, or by more than its range.
  [[noreturn]] void refuse(const std::string& key, const std::string& what) const;
  // Throws BadInput for a key that nothing has read: a misspelt one would silently keep its default.
  void finish() const;

 private:
  const toml::node* find(const std::string& key);
  [[noreturn]] void bad(const toml::node& node, const std::string& key, const std::string& what) const;

  std::string path_, name_;
  toml::table file_;
  const toml::table* table_ = nullptr;
  std::set<std::string> known_;
};

}  // namespace scale_tool
