#include "report.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <iomanip>
#include <sstream>

#include "experiment.hpp"

namespace scale_tool {
namespace {

constexpr int kTablePrecision = 4;  // significant digits

std::string to_text(const Value& value) {
  if (const auto* integer = std::get_if<std::int64_t>(&value)) return std::to_string(*integer);
  if (const auto* text = std::get_if<std::string>(&value)) return *text;
  std::ostringstream out;
  out << std::setprecision(kTablePrecision) << std::get<double>(value);
  return out.str();
}

std::string to_json_line(const Row& row) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.StartObject();
  for (const Cell& cell : row) {
    writer.Key(cell.column.c_str());
    if (const auto* integer = std::get_if<std::int64_t>(&cell.value))
      writer.Int64(*integer);
    else if (const auto* number = std::get_if<double>(&cell.value))
      writer.Double(*number);
    else
      writer.String(std::get<std::string>(cell.value).c_str());
  }
  writer.EndObject();
  return buffer.GetString();
}

bool has_same_columns(const Row& left, const Row& right) {
  return std::equal(
      left.begin(), left.end(), right.begin(), right.end(),
      [](const Cell& left_cell, const Cell& right_cell) { return left_cell.column == right_cell.column; });
}

using TextRow = std::vector<std::string>;

// A row of column names, followed by the values of each row in [first, last).
std::vector<TextRow> text_rows(const Row* first, const Row* last) {
  std::vector<TextRow> text_rows_of_table(1);
  for (const Cell& cell : *first) text_rows_of_table.front().push_back(cell.column);
  for (const Row* row = first; row != last; row++) {
    TextRow& text_row = text_rows_of_table.emplace_back();
    for (const Cell& cell : *row) text_row.push_back(to_text(cell.value));
  }
  return text_rows_of_table;
}

// Writes the rows in [first, last), which all have the same columns, aligned to the right.
void write_table(std::ostream& out, const Row* first, const Row* last) {
  const std::vector<TextRow> table = text_rows(first, last);
  std::vector<std::size_t> widths(first->size());
  for (const TextRow& text_row : table)
    for (std::size_t i = 0; i < widths.size(); i++) widths[i] = std::max(widths[i], text_row[i].size());
  for (const TextRow& text_row : table) {
    for (std::size_t i = 0; i < widths.size(); i++)
      out << (i > 0 ? "  " : "") << std::setw(static_cast<int>(widths[i])) << text_row[i];
    out << '\n';
  }
}

}  // namespace

Report::Report(const std::string& json_path) {
  if (json_path.empty()) return;
  json_.open(json_path);
  if (!json_) throw BadInput(json_path + ": cannot open the file for the results for writing");
}

void Report::add(Row row) {
  if (json_.is_open()) json_ << to_json_line(row) << std::endl;
  rows_.push_back(std::move(row));
}

std::string Report::table() const {
  std::ostringstream out;
  const Row* const end = rows_.data() + rows_.size();
  for (const Row* first = rows_.data(); first != end;) {
    const Row* const last =
        std::find_if_not(first, end, [&](const Row& row) { return has_same_columns(*first, row); });
    if (first != rows_.data()) out << '\n';
    write_table(out, first, last);
    first = last;
  }
  return out.str();
}

void show_progress(const std::string& text) {
  if (::isatty(STDERR_FILENO) == 0) return;
  std::fprintf(stderr, "\r\033[K%s", text.c_str());
  std::fflush(stderr);
}

}  // namespace scale_tool
