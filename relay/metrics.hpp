// What the relay has done since its process started, by class, for its operators. Each event is counted at
// one point: where a message's end is settled.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "settings_reader.hpp"

namespace message_relay {

enum class Completion { succeeded, declined, aborted };

// What is so at present: asked of its owners when the figures are read.
struct Gauges {
  std::size_t outstanding = 0;  // taken and not yet ended
  std::size_t discovered = 0;   // endpoints in the list
  std::size_t ejected = 0;      // of them avoided now
  std::uint64_t forwards = 0;   // messages written whole to endpoints
};

class Metrics {
 public:
  // Every class shows from the start, at 0.
  explicit Metrics(const configuration::NameIndex& classes);

  void count(const std::string& message_class, Completion end);
  // One line "svc.NAME=NUMBER" each.
  std::string render(const Gauges& present) const;

 private:
  struct Ends {
    std::uint64_t succeeded = 0, declined = 0, aborted = 0;
  };
  std::map<std::string, Ends> ends_;
};

}  // namespace message_relay
