#include "experiment.hpp"

#include <sstream>

namespace scale_tool {
namespace {

template <class T>
std::string range(T least, T most) {
  std::ostringstream out;
  out << "must lie between " << least << " and " << most;
  return out.str();
}

}  // namespace

Experiment::Experiment(const std::string& path, const std::string& table) : path_(path), name_(table) {
  if (path.empty()) return;
  try {
    file_ = toml::parse_file(path);
  } catch (const toml::parse_error& e) {
    const auto line = e.source().begin.line;
    throw BadInput(path + (line > 0 ? ":" + std::to_string(line) : "") + ": " + std::string(e.description()));
  }
  const toml::node* node = file_.get(table);
  if (node == nullptr) return;
  table_ = node->as_table();
  if (table_ == nullptr) bad(*node, "", "must be a table");
}

const toml::node* Experiment::find(const std::string& key) {
  known_.insert(key);
  return table_ == nullptr ? nullptr : table_->get(key);
}

void Experiment::bad(const toml::node& node, const std::string& key, const std::string& what) const {
  throw BadInput(path_ + ":" + std::to_string(node.source().begin.line) + ": " + name_ +
                 (key.empty() ? "" : "." + key) + ": " + what);
}

void Experiment::refuse(const std::string& key, const std::string& what) const {
  const toml::node* node = table_ == nullptr ? nullptr : table_->get(key);
  if (node == nullptr) throw BadInput(name_ + "." + key + ": " + what);
  bad(*node, key, what);
}

void Experiment::read(const std::string& key, double& value, double least, double most) {
  const toml::node* node = find(key);
  if (node == nullptr) return;
  const auto number = node->value<double>();
  if (!number || !(*number >= least && *number <= most)) bad(*node, key, range(least, most));
  value = *number;
}

void Experiment::read(const std::string& key, std::int64_t& value, std::int64_t least, std::int64_t most) {
  const toml::node* node = find(key);
  if (node == nullptr) return;
  const auto number = node->value_exact<std::int64_t>();
  if (!number || *number < least || *number > most) bad(*node, key, "a whole number, " + range(least, most));
  value = *number;
}

void Experiment::read(const std::string& key, std::vector<std::int64_t>& values, std::int64_t least,
                      std::int64_t most) {
  const toml::node* node = find(key);
  if (node == nullptr) return;
  const toml::array* list = node->as_array();
  if (list == nullptr || list->empty()) bad(*node, key, "must be a list of whole numbers");
  values.clear();
  for (const auto& one : *list) {
    const auto number = one.value_exact<std::int64_t>();
    if (!number || *number < least || *number > most)
      bad(one, key, "whole numbers, each " + range(least, most));
    values.push_back(*number);
  }
}

void Experiment::read(const std::string& key, bool& value) {
  const toml::node* node = find(key);
  if (node == nullptr) return;
  const auto on = node->value_exact<bool>();
  if (!on) bad(*node, key, "must be true or false");
  value = *on;
}

void Experiment::finish() const {
  if (table_ == nullptr) return;
  for (const auto& [key, node] : *table_)
    if (known_.count(std::string(key.str())) == 0) bad(node, std::string(key.str()), "unknown");
}

}  // namespace scale_tool
