// The subcommands of scale_tool. Each adds itself to the parser and runs from the parser's callback; there it
// throws BadInput, or std::exception for another failure.
#pragma once

#include <CLI/CLI.hpp>

namespace scale_tool {

// Many instances of the dispatcher in virtual time.
void add_fleet(CLI::App& app);
// The cost of each part against its size.
void add_slopes(CLI::App& app);

}  // namespace scale_tool
