// `scale_tool slopes`: its arguments, and which parts are measured.
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

struct Part {
  std::string name;
  void (*measure)(SlopeRecorder&) = nullptr;
};

const std::vector<Part>& parts() {
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
  std::vector<std::string> only;  // names of parts; empty: all

  [[nodiscard]] bool selects(const std::string& part) const {
    return only.empty() || std::find(only.begin(), only.end(), part) != only.end();
  }
};

std::string relay_program_beside_this_one() {
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
      arguments.relay_program.empty() ? relay_program_beside_this_one() : arguments.relay_program;
  if (arguments.selects("relay") && ::access(settings.relay_program.c_str(), X_OK) != 0)
    throw BadInput(settings.relay_program + ": not a program that can be run");
  return settings;
}

void run(const Arguments& arguments) {
  const SlopesSettings settings = read_settings(arguments);
  Report report(arguments.json_file);
  for (const Part& part : parts()) {
    if (!arguments.selects(part.name)) continue;
    SlopeRecorder recorder(report, settings, part.name);
    part.measure(recorder);
    recorder.report_lines();
  }
  std::cout << report.table();
}

}  // namespace

void add_slopes_command(CLI::App& app) {
  const auto arguments = std::make_shared<Arguments>();
  CLI::App* command =
      app.add_subcommand("slopes", "The cost of each part against its size, with a line through it");
  command->add_option("--experiment", arguments->experiment_file, "TOML file; its table [slopes] is read");
  command->add_option("--json", arguments->json_file, "file for the results, a JSON line each");
  command->add_option("--relay", arguments->relay_program,
                      "the relay's program; else message_relay, in this one's folder");
  std::vector<std::string> names;
  for (const Part& part : parts()) names.push_back(part.name);
  command->add_option("--only", arguments->only, "parts to measure, instead of all")
      ->check(CLI::IsMember(names));
  command->callback([arguments] { run(*arguments); });
}

}  // namespace scale_tool
