// yarrowwood_scale slopes: arguments, and which parts are measured.
#include <algorithm>
#include <iostream>
#include <memory>

#include "commands.hpp"
#include "slopes.hpp"

namespace yarrowwood::scale {
namespace {

struct Part {
  const char* name;
  void (*measure)(Slopes&);
};
const std::vector<Part> kParts{{"module", module_slopes}, {"journal", journal_slopes}, {"list", list_slopes}};

struct Arguments {
  std::string experiment, json;
  std::vector<std::string> only;
};

void run(const Arguments& arguments) {
  SlopesSettings settings;
  Experiment experiment(arguments.experiment, "slopes");
  settings.read(experiment);
  experiment.finish();
  Report report(arguments.json);
  Slopes slopes(report, settings);
  const auto wanted = [&](const char* name) {
    const auto& only = arguments.only;
    return only.empty() || std::find(only.begin(), only.end(), name) != only.end();
  };
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
  std::vector<std::string> names;
  for (const auto& part : kParts) names.emplace_back(part.name);
  command->add_option("--only", arguments->only, "parts to measure, instead of all")
      ->check(CLI::IsMember(names));
  command->callback([arguments] { run(*arguments); });
}

}  // namespace yarrowwood::scale
