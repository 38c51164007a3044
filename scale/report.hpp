// Results of a run as rows of named values, written as JSON lines to a file and as a table for the console.
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

// Collects result rows. Invariant: the JSON file, if there is one, has a line for each row.
class Report {
 public:
  // Opens the JSON file for writing; an empty path means no file. Throws BadInput if it can't be opened.
  explicit Report(const std::string& json_path);

  // Adds a row and flushes it to the file at once, so that an interrupted run keeps its results so far.
  void add(Row row);
  // All rows so far as text in aligned columns. A row whose columns differ from those of the previous row
  // starts a new table.
  [[nodiscard]] std::string table() const;
  [[nodiscard]] const std::vector<Row>& rows() const { return rows_; }

 private:
  std::vector<Row> rows_;
  std::ofstream json_;
};

// Replaces the progress line on standard error. Does nothing if standard error is not a terminal.
void show_progress(const std::string& text);

}  // namespace scale_tool
