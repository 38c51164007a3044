// The subcommands of scale_tool; each runs from the parser's callback.
#pragma once

#include <CLI/CLI.hpp>

namespace scale_tool {

void add_fleet(CLI::App& app);   // many instances of the module in virtual time
void add_slopes(CLI::App& app);  // the cost of each part against its size

}  // namespace scale_tool
