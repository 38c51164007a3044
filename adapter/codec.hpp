// The simulator's wire, translated to and from the dispatcher's events and actions. No decisions.
//
// The simulator sends rounds: a line that begins the round, lines for any of the relays it plays, and a line
// that ends it. The answer to a round has the actions of each relay that had an event, and a line that ends
// it.
#pragma once

#include <memory>
#include <string>

namespace simulator_adapter {

/// The relays that the simulator plays, with a dispatcher each.
class Codec {
 public:
  Codec();
  ~Codec();
  Codec(const Codec&) = delete;
  Codec& operator=(const Codec&) = delete;

  /// Takes one line. Returns true when the line ends a round: `reply` then holds the whole answer.
  /// Throws configuration::FieldError on malformed input.
  [[nodiscard]] bool take(const std::string& line, std::string& reply);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace simulator_adapter
