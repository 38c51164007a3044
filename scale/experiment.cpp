#include "experiment.hpp"

#include <algorithm>
#include <optional>
#include <sstream>

namespace scale_tool {
namespace {

template <class Number>
std::string range_problem(Number min, Number max) {
  std::ostringstream out;
  out << "must lie between " << min << " and " << max;
  return out.str();
}

std::optional<std::int64_t> integer_between(const toml::node& node, std::int64_t min, std::int64_t max) {
  const std::optional<std::int64_t> number = node.value_exact<std::int64_t>();
  if (!number || *number < min || *number > max) return std::nullopt;
  return number;
}

}  // namespace

ExperimentTable::ExperimentTable(const std::string& path, const std::string& table)
    : path_(path), table_name_(table) {
  if (path.empty()) return;
  try {
    file_ = toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    const auto line = error.source().begin.line;
    const std::string place = line > 0 ? path + ":" + std::to_string(line) : path;
    throw BadInput(place + ": " + std::string(error.description()));
  }
  const toml::node* node = file_.get(table);
  if (node == nullptr) return;
  table_ = node->as_table();
  if (table_ == nullptr) throw_error(*node, "", "must be a table");
}

const toml::node* ExperimentTable::find(const std::string& key) {
  requested_keys_.insert(key);
  return table_ == nullptr ? nullptr : table_->get(key);
}

void ExperimentTable::throw_error(const toml::node& node, const std::string& key,
                                  const std::string& problem) const {
  const std::string name = key.empty() ? table_name_ : table_name_ + "." + key;
  throw BadInput(path_ + ":" + std::to_string(node.source().begin.line) + ": " + name + ": " + problem);
}

void ExperimentTable::throw_invalid(const std::string& key, const std::string& problem) const {
  const toml::node* node = table_ == nullptr ? nullptr : table_->get(key);
  if (node == nullptr) throw BadInput(table_name_ + "." + key + ": " + problem);
  throw_error(*node, key, problem);
}

void ExperimentTable::read(const std::string& key, double& value, double min, double max) {
  const toml::node* node = find(key);
  if (node == nullptr) return;
  const std::optional<double> number = node->value<double>();
  const bool is_in_range = number && *number >= min && *number <= max;  // false for NaN too
  if (!is_in_range) throw_error(*node, key, range_problem(min, max));
  value = *number;
}

void ExperimentTable::read(const std::string& key, int& value, int min, int max) {
  std::int64_t number = value;
  read(key, number, std::int64_t{min}, std::int64_t{max});
  value = static_cast<int>(number);
}

void ExperimentTable::read(const std::string& key, std::int64_t& value, std::int64_t min, std::int64_t max) {
  const toml::node* node = find(key);
  if (node == nullptr) return;
  const auto number = integer_between(*node, min, max);
  if (!number) throw_error(*node, key, "a whole number, " + range_problem(min, max));
  value = *number;
}

void ExperimentTable::read(const std::string& key, std::vector<std::int64_t>& values, std::int64_t min,
                           std::int64_t max) {
  const toml::node* node = find(key);
  if (node == nullptr) return;
  const toml::array* list = node->as_array();
  if (list == nullptr || list->empty()) throw_error(*node, key, "must be a list of whole numbers");
  values.clear();
  for (const toml::node& element : *list) {
    const auto number = integer_between(element, min, max);
    if (!number) throw_error(element, key, "whole numbers, each " + range_problem(min, max));
    values.push_back(*number);
  }
}

void ExperimentTable::read(const std::string& key, bool& value) {
  const toml::node* node = find(key);
  if (node == nullptr) return;
  const std::optional<bool> flag = node->value_exact<bool>();
  if (!flag) throw_error(*node, key, "must be true or false");
  value = *flag;
}

void ExperimentTable::read_choice(const std::string& key, std::size_t& position,
                                  const std::vector<std::string>& choices) {
  const toml::node* node = find(key);
  if (node == nullptr) return;
  const std::optional<std::string> text = node->value_exact<std::string>();
  const auto found = text ? std::find(choices.begin(), choices.end(), *text) : choices.end();
  if (found == choices.end()) {
    std::string names;
    for (const std::string& choice : choices) names += (names.empty() ? "" : ", ") + choice;
    throw_error(*node, key, "must be one of " + names);
  }
  position = static_cast<std::size_t>(found - choices.begin());
}

void ExperimentTable::check_all_keys_read() const {
  if (table_ == nullptr) return;
  for (const auto& [key, node] : *table_) {
    const std::string name(key.str());
    if (!requested_keys_.contains(name)) throw_error(node, name, "unknown key");
  }
}

}  // namespace scale_tool
