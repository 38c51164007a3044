// The program scale_tool: measures how the costs of the dispatcher and the relay grow with size, and
// simulates a fleet of relays.
#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>

#include "commands.hpp"
#include "experiment.hpp"

namespace {

// Exit statuses other than 0.
constexpr int kFailure = 1;
constexpr int kBadInput = 2;

int report_error(const std::exception& error, int exit_status) {
  std::cerr << "scale_tool: " << error.what() << '\n';
  return exit_status;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Scale tests of the relay and its dispatcher", "scale_tool"};
  app.require_subcommand(1);
  scale_tool::add_fleet_command(app);
  scale_tool::add_slopes_command(app);
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
