// What the relay has done since its process started, by class, for its operators. Each event is counted at
// one point: where a message's end is settled.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "settings_reader.hpp"

namespace message_relay {

enum class End { succeeded, declined, aborted };

// What is so at present: asked of its owners when the figures are read.
struct Present {
  std::size_t outstanding = 0;  // taken and not yet ended
  std::size_t discovered = 0;   // endpoints in the list
  std::size_t ejected = 0;      // of them avoided now
  std::uint64_t forwards = 0;   // messages written whole to endpoints
};

class Figures {
 public:
  // Every class shows from the start, at 0.
  explicit Figures(const configuration::Names& classes);

  void count(const std::string& message_class, End end);
  // One line "svc.NAME=NUMBER" each.
  std::string text(const Present& present) const;

 private:
  struct Ends {
    std::uint64_t succeeded = 0, declined = 0, aborted = 0;
  };
  std::map<std::string, Ends> ends_;
};

}  // namespace message_relay
