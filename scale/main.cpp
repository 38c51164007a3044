// scale_tool: what the dispatcher and the relay cost against size, and how a fleet of them fares.
#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>

#include "commands.hpp"
#include "experiment.hpp"

namespace {

// Exit statuses beside 0.
constexpr int kFailure = 1;
constexpr int kBadInput = 2;

int report_error(const std::exception& error, int exit_status) {
  std::cerr << "scale_tool: " << error.what() << '\n';
  return exit_status;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Scale tests of the relay and its decision module", "scale_tool"};
  app.require_subcommand(1);
  scale_tool::add_fleet(app);
  scale_tool::add_slopes(app);
  try {
    app.parse(argc, argv);
    return 0;
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kBadInput;
  } catch (const scale_tool::BadInput& error) {
    return report_error(error, kBadInput);
  } catch (const std::exception& error) {
    return report_error(error, kFailure);
  }
}
