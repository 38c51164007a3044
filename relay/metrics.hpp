// What the relay has done since its process started, for its operators: counts by class, and gauges.
//
// Invariant: each message is counted once, where it completes. The names are an exchanged format: operators'
// tools read them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "settings_reader.hpp"

namespace message_relay {

// How a message completed: delivered; rejected, so that handing it in again is harmless; given up after it
// may have been delivered.
enum class Completion { succeeded, declined, aborted };

// Present values, asked of their owners when the metrics are read.
struct Gauges {
  std::size_t outstanding = 0;  // open messages
  std::size_t discovered = 0;   // listed endpoints
  std::size_t ejected = 0;      // of them avoided now
  std::uint64_t forwards = 0;   // messages written completely to endpoints
};

class Metrics {
 public:
  // Every class is rendered from the start, at 0.
  explicit Metrics(const configuration::NameIndex& classes);

  // Classes that the settings do not have are not counted.
  void count(const std::string& message_class, Completion completion);

  // One line "svc.NAME=NUMBER" each.
  [[nodiscard]] std::string render(const Gauges& gauges) const;

 private:
  struct CompletionCounts {
    std::uint64_t succeeded = 0;
    std::uint64_t declined = 0;
    std::uint64_t aborted = 0;
  };

  std::map<std::string, CompletionCounts> counts_;  // by class
};

}  // namespace message_relay
