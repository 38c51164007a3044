// The subcommands of scale_tool. Each function adds one subcommand to the parser, which runs it from a
// callback. The callback throws BadInput for an invalid argument or file and another std::exception for any
// other failure.
#pragma once

#include <CLI/CLI.hpp>

namespace scale_tool {

// Adds `fleet`: simulates many instances of the dispatcher in virtual time.
void add_fleet_command(CLI::App& app);
// Adds `slopes`: measures how the cost of each part of the relay grows with its size.
void add_slopes_command(CLI::App& app);

}  // namespace scale_tool
