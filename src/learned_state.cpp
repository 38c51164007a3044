#include "learned_state.hpp"

#include <array>
#include <charconv>
#include <optional>
#include <sstream>

namespace dispatch {
namespace {

std::optional<double> parse_number(const std::string& text) {
  double number = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed_to, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || parsed_to != end) return std::nullopt;
  return number;
}

std::optional<LearnedStateLine> parse_line(const std::string& text) {
  std::istringstream in(text);
  LearnedStateLine line;
  in >> line.name;
  const bool has_subject = line.name == kDestinationLine || line.name == kEndpointLine ||
                           line.name == kDestinationSlowStartLine || line.name == kEndpointSlowStartLine;
  if (has_subject) in >> line.subject;
  std::string field;
  while (in >> field) {
    const std::optional<double> number = parse_number(field);
    if (!number) return std::nullopt;
    line.fields.push_back(*number);
  }
  return line;
}

}  // namespace

void LearnedStateWriter::add_field(double value) {
  std::array<char, 64> digits{};
  const char* const end = std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
  text_ += ' ';
  text_.append(digits.data(), static_cast<std::size_t>(end - digits.data()));
}

std::vector<LearnedStateLine> parse_learned_state(const std::string& text) {
  std::vector<LearnedStateLine> lines;
  std::istringstream in(text);
  std::string line;
  if (!std::getline(in, line) || line != kLearnedStateHeader) return lines;
  while (std::getline(in, line))
    if (auto parsed = parse_line(line)) lines.push_back(std::move(*parsed));
  return lines;
}

}  // namespace dispatch
