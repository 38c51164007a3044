// Results: rows of named values, as JSON lines in a file and as a table for people.
#pragma once

#include <cstdint>
#include <fstream>
#include <string>
#include <variant>
#include <vector>

namespace scale_tool {

using Value = std::variant<std::int64_t, double, std::string>;

struct Cell {
  std::string column;
  Value value;
};
using Row = std::vector<Cell>;

// Invariant: the file, if there is one, has a line for each row.
class Report {
 public:
  // An empty path: no file. Throws BadInput where the file can't be written.
  explicit Report(const std::string& json_path);

  // The row is in the file at once, so that a run that is stopped leaves what it measured.
  void add(Row row);
  // All rows so far, aligned. A row with other columns than the one before begins a table of its own.
  [[nodiscard]] std::string table() const;
  [[nodiscard]] const std::vector<Row>& rows() const { return rows_; }

 private:
  std::vector<Row> rows_;
  std::ofstream json_;
};

// Replaces the progress line on standard error; does nothing where that is not a terminal.
void progress(const std::string& text);

}  // namespace scale_tool
