// The subcommand `scale_tool slopes`: parses its arguments, measures the selected parts and prints the
// report.
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <iostream>
#include <memory>

#include "commands.hpp"
#include "experiment.hpp"
#include "slopes.hpp"

namespace scale_tool {
namespace {

// A part of the relay that can be measured, under its name in the arguments and in the report.
struct Part {
  std::string name;
  void (*measure)(SlopeRecorder&) = nullptr;
};

const std::vector<Part>& measurable_parts() {
  static const std::vector<Part> kParts{{"module", measure_module},
                                        {"journal", measure_journal},
                                        {"list", measure_endpoint_list},
                                        {"relay", measure_relay}};
  return kParts;
}

struct Arguments {
  std::string experiment_file;
  std::string json_file;
  std::string relay_program;
  std::vector<std::string> selected_parts;  // names; empty means all parts

  [[nodiscard]] bool selects(const std::string& part) const {
    return selected_parts.empty() ||
           std::find(selected_parts.begin(), selected_parts.end(), part) != selected_parts.end();
  }
};

// The path of message_relay in the directory of the running program.
std::string default_relay_program() {
  std::error_code ignored;
  const auto this_program = std::filesystem::read_symlink("/proc/self/exe", ignored);
  return (this_program.parent_path() / "message_relay").string();
}

SlopesSettings read_settings(const Arguments& arguments) {
  SlopesSettings settings;
  ExperimentTable experiment(arguments.experiment_file, "slopes");
  settings.read(experiment);
  experiment.check_all_keys_read();
  settings.relay_program =
      arguments.relay_program.empty() ? default_relay_program() : arguments.relay_program;
  if (arguments.selects("relay") && ::access(settings.relay_program.c_str(), X_OK) != 0)
    throw BadInput(settings.relay_program + ": the relay program is missing or not executable");
  return settings;
}

void run(const Arguments& arguments) {
  const SlopesSettings settings = read_settings(arguments);
  Report report(arguments.json_file);
  for (const Part& part : measurable_parts()) {
    if (!arguments.selects(part.name)) continue;
    SlopeRecorder recorder(report, settings, part.name);
    part.measure(recorder);
    recorder.report_fitted_lines();
  }
  std::cout << report.table();
}

}  // namespace

void add_slopes_command(CLI::App& app) {
  const auto arguments = std::make_shared<Arguments>();
  CLI::App* command =
      app.add_subcommand("slopes", "Measure the cost of each part over its size and fit a line");
  command->add_option("--experiment", arguments->experiment_file,
                      "TOML file with the settings in the table [slopes]");
  command->add_option("--json", arguments->json_file, "file for the results, one JSON object per line");
  command->add_option("--relay", arguments->relay_program,
                      "relay program; by default message_relay in the directory of this program");
  std::vector<std::string> part_names;
  for (const Part& part : measurable_parts()) part_names.push_back(part.name);
  command->add_option("--only", arguments->selected_parts, "parts to measure; by default all")
      ->check(CLI::IsMember(part_names));
  command->callback([arguments] { run(*arguments); });
}

}  // namespace scale_tool
