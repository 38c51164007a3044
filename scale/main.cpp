// scale_tool: what the module and the relay cost, and how a fleet of them fares, against size.
#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>

#include "commands.hpp"
#include "experiment.hpp"

int main(int argc, char** argv) {
  namespace scale = scale_tool;
  constexpr int kBadInput = 2;
  CLI::App app{"Scale tests of the relay and its decision module", "scale_tool"};
  app.require_subcommand(1);
  scale::add_fleet(app);
  scale::add_slopes(app);
  try {
    app.parse(argc, argv);
    return 0;
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : kBadInput;
  } catch (const scale::BadInput& e) {
    std::cerr << "scale_tool: " << e.what() << '\n';
    return kBadInput;
  } catch (const std::exception& e) {
    std::cerr << "scale_tool: " << e.what() << '\n';
    return 1;
  }
}
