// simulator_adapter: reads rounds of the simulator's protocol from standard input and writes each reply to
// standard output with one flush. The exit status is 0 at the end of input and 1 on a malformed line or if
// the output can't be written.
#include <iostream>
#include <string>

#include "codec.hpp"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  simulator_adapter::Codec codec;
  std::string line, reply;
  for (std::size_t line_number = 1; std::getline(std::cin, line); line_number++) {
    try {
      if (line.empty() || !codec.process_line(line, reply)) continue;
    } catch (const std::exception& e) {
      std::cerr << "simulator_adapter: line " << line_number << ": " << e.what() << std::endl;
      return 1;
    }
    std::cout << reply << std::flush;
    if (!std::cout) return 1;
  }
  return 0;
}
