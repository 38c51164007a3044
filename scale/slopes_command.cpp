// scale_tool slopes: arguments, and which parts are measured.
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <iostream>
#include <memory>

#include "commands.hpp"
#include "slopes.hpp"

namespace scale_tool {
namespace {

struct Part {
  const char* name;
  void (*measure)(Slopes&);
};
const std::vector<Part> kParts{
    {"module", module_slopes}, {"journal", journal_slopes}, {"list", list_slopes}, {"relay", relay_slopes}};

struct Arguments {
  std::string experiment, json, relay;
  std::vector<std::string> only;
};

std::string beside_this_program() {
  std::error_code bad;
  return (std::filesystem::read_symlink("/proc/self/exe", bad).parent_path() / "message_relay").string();
}

void run(const Arguments& arguments) {
  const auto wanted = [&](const char* name) {
    const auto& only = arguments.only;
    return only.empty() || std::find(only.begin(), only.end(), name) != only.end();
  };
  SlopesSettings settings;
  Experiment experiment(arguments.experiment, "slopes");
  settings.read(experiment);
  experiment.finish();
  settings.relay_program = arguments.relay.empty() ? beside_this_program() : arguments.relay;
  if (wanted("relay") && ::access(settings.relay_program.c_str(), X_OK) != 0)
    throw BadInput(settings.relay_program + ": not a program that can be run");
  Report report(arguments.json);
  Slopes slopes(report, settings);
  for (const auto& part : kParts) {
    if (!wanted(part.name)) continue;
    slopes.begin(part.name);
    part.measure(slopes);
    slopes.end();
  }
  std::cout << report.table();
}

}  // namespace

void add_slopes(CLI::App& app) {
  const auto arguments = std::make_shared<Arguments>();
  CLI::App* command =
      app.add_subcommand("slopes", "The cost of each part against its size, with a line through it");
  command->add_option("--experiment", arguments->experiment, "TOML file; its table [slopes] is read");
  command->add_option("--json", arguments->json, "file for the results, a JSON line each");
  command->add_option("--relay", arguments->relay,
                      "the relay's program; else message_relay, in this one's folder");
  std::vector<std::string> names;
  for (const auto& part : kParts) names.emplace_back(part.name);
  command->add_option("--only", arguments->only, "parts to measure, instead of all")
      ->check(CLI::IsMember(names));
  command->callback([arguments] { run(*arguments); });
}

}  // namespace scale_tool
