// Results: rows of named values, one JSON line each where a file is asked for, and a table for people.
#pragma once

#include <cstdint>
#include <fstream>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace scale_tool {

using Value = std::variant<std::int64_t, double, std::string>;
using Row = std::vector<std::pair<std::string, Value>>;

class Report {
 public:
  // An empty path: no file. Throws BadInput where the file can't be written.
  explicit Report(const std::string& json_path);

  // Written to the file at once, so that a run that is stopped leaves what it measured.
  void add(Row row);
  // All rows so far, aligned; rows with other columns than the one before begin a table of their own.
  std::string table() const;
  const std::vector<Row>& rows() const { return rows_; }

 private:
  std::vector<Row> rows_;
  std::ofstream json_;
};

std::string json_line(const Row& row);
// A line on standard error that the next one overwrites; nothing where that is no terminal's.
void progress(const std::string& text);

}  // namespace scale_tool
