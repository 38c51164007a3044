// Translates between the simulator's protocol and the dispatcher's events and actions. Makes no delivery
// decisions itself.
//
// The simulator sends rounds. A round consists of a line that begins it, lines for any of the simulated
// relays, and a line that ends it. The reply to a round contains the actions of each relay that the round
// named, and a line that ends the reply.
#pragma once

#include <memory>
#include <string>

namespace simulator_adapter {

/// Holds the simulated relays, each with its own dispatcher, and processes the simulator's lines.
class Codec {
 public:
  Codec();
  ~Codec();
  Codec(const Codec&) = delete;
  Codec& operator=(const Codec&) = delete;

  /// Processes one line. Returns true if the line ends a round; `reply` then holds the complete reply. Throws
  /// configuration::FieldError on malformed input.
  [[nodiscard]] bool process_line(const std::string& line, std::string& reply);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace simulator_adapter
