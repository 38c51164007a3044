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

std::string text_of(const Value& value) {
  if (const auto* whole = std::get_if<std::int64_t>(&value)) return std::to_string(*whole);
  if (const auto* text = std::get_if<std::string>(&value)) return *text;
  std::ostringstream out;
  out << std::setprecision(4) << std::get<double>(value);
  return out.str();
}

bool same_columns(const Row& a, const Row& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const auto& x, const auto& y) { return x.first == y.first; });
}

}  // namespace

Report::Report(const std::string& json_path) {
  if (json_path.empty()) return;
  json_.open(json_path);
  if (!json_) throw BadInput(json_path + ": can't be written");
}

void Report::add(Row row) {
  if (json_.is_open()) json_ << json_line(row) << std::endl;
  rows_.push_back(std::move(row));
}

std::string Report::table() const {
  std::ostringstream out;
  for (std::size_t first = 0, last = 0; first < rows_.size(); first = last) {
    while (last < rows_.size() && same_columns(rows_[first], rows_[last])) last++;
    std::vector<std::size_t> width;
    for (const auto& [name, value] : rows_[first]) width.push_back(name.size());
    for (auto i = first; i < last; i++)
      for (std::size_t c = 0; c < width.size(); c++)
        width[c] = std::max(width[c], text_of(rows_[i][c].second).size());
    if (first > 0) out << '\n';
    for (std::size_t c = 0; c < width.size(); c++)
      out << (c > 0 ? "  " : "") << std::setw(static_cast<int>(width[c])) << rows_[first][c].first;
    out << '\n';
    for (auto i = first; i < last; i++) {
      for (std::size_t c = 0; c < width.size(); c++)
        out << (c > 0 ? "  " : "") << std::setw(static_cast<int>(width[c])) << text_of(rows_[i][c].second);
      out << '\n';
    }
  }
  return out.str();
}

std::string json_line(const Row& row) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.StartObject();
  for (const auto& [name, value] : row) {
    writer.Key(name.c_str());
    if (const auto* whole = std::get_if<std::int64_t>(&value))
      writer.Int64(*whole);
    else if (const auto* number = std::get_if<double>(&value))
      writer.Double(*number);
    else
      writer.String(std::get<std::string>(value).c_str());
  }
  writer.EndObject();
  return buffer.GetString();
}

void progress(const std::string& text) {
  if (::isatty(STDERR_FILENO) == 0) return;
  std::fprintf(stderr, "\r\033[K%s", text.c_str());
  std::fflush(stderr);
}

}  // namespace scale_tool
