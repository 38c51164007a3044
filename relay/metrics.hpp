// The relay's metrics for operators: counts of completed messages by class since the start of the process,
// and gauges.
//
// Invariant: each message is counted exactly once, when it completes. Operators' tools read the names of the
// metrics, so they must not change.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "dispatch/dispatcher.hpp"
#include "memory_account.hpp"
#include "settings_reader.hpp"

namespace message_relay {

// How a message completed.
enum class Completion {
  succeeded,  // delivered
  declined,   // rejected; submitting it again is harmless
  aborted     // given up after it may have been delivered
};

// Current values, collected from the components that own them each time the metrics are read.
struct Gauges {
  std::size_t outstanding = 0;  // number of open messages
  std::size_t discovered = 0;   // number of listed endpoints
  std::size_t limited = 0;      // number of destinations that may be returning from an outage
  std::size_t ejected = 0;      // number of listed endpoints that are ejected or suspended
  std::uint64_t forwards = 0;   // number of messages written completely to endpoints
};

// Counts of events by their reasons, as the names of a group of metrics.
struct ReasonCounts {
  std::string_view group;  // the first part of the names
  const std::map<std::string, std::uint64_t>& counts;
};

// Counts completed messages and renders all metrics as text.
class Metrics {
 public:
  // Counts start at 0 for every class, so that render() lists all classes from the beginning.
  explicit Metrics(const configuration::NameIndex& classes);

  // Counts one completed message. Classes that are not in the settings are ignored.
  void count(const std::string& message_class, Completion completion);

  // Returns one line "svc.NAME=NUMBER" for each metric.
  [[nodiscard]] std::string render(const Gauges& gauges) const;
  // Returns one line "svc.GROUP.REASON=NUMBER" for each reason, with underscores for the spaces of the
  // reason.
  [[nodiscard]] static std::string render(const ReasonCounts& reasons);
  // Returns one line "svc.memory.USE=BYTES" for each use, and one each for the capacity and for the number of
  // holders that were made to give up memory.
  [[nodiscard]] static std::string render(const MemoryAccount& memory);

  // Counts the end of an attempt by its outcome.
  void count_attempt(dispatch::Outcome outcome);
  [[nodiscard]] const std::map<std::string, std::uint64_t>& attempts() const { return attempts_; }

 private:
  struct CompletionCounts {
    std::uint64_t succeeded = 0;
    std::uint64_t declined = 0;
    std::uint64_t aborted = 0;
  };

  std::map<std::string, CompletionCounts> counts_;  // by class
  std::map<std::string, std::uint64_t> attempts_;   // that have ended, by outcome
};

}  // namespace message_relay
