// What the components of the dispatcher share during a round: the time, the settings, random numbers and the
// list of actions.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/actions.hpp"
#include "dispatch/settings.hpp"
#include "time_units.hpp"

namespace dispatch {

/// The state of the current round. Random numbers depend only on the seed and on the order in which they are
/// drawn.
class RoundContext {
 public:
  RoundContext(Settings settings, std::uint64_t seed)
      : settings_(std::move(settings)),
        random_(seed),
        shortest_objective_(seconds(settings_.classes[0].latency_objective)),
        shortest_deadline_(seconds(settings_.classes[0].deadline)) {
    for (const auto& message_class : settings_.classes) {
      shortest_objective_ = std::min(shortest_objective_, seconds(message_class.latency_objective));
      shortest_deadline_ = std::min(shortest_deadline_, seconds(message_class.deadline));
    }
  }

  /// Begins a round at time `at`, or at the time of the previous round if that is later. The actions of the
  /// round are appended to `actions`, which must outlive the round.
  void begin(Time at, std::vector<Action>& actions) {
    now_ = std::max(now_, at);
    actions_ = &actions;
    next_wakeup_ = kNever;
  }

  Time now() const { return now_; }
  const Settings& settings() const { return settings_; }
  /// The shortest latency objective of all classes, in seconds.
  double shortest_objective() const { return shortest_objective_; }
  /// The shortest deadline of all classes, in seconds from arrival.
  double shortest_deadline() const { return shortest_deadline_; }

  /// Returns a uniformly distributed random number in [0, 1).
  double uniform() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  /// Appends an action; its type is one of the alternatives of Action.
  template <class ActionType>
  void emit(ActionType&& action) {
    actions_->emplace_back(std::forward<ActionType>(action));
  }
  /// Writes a line to the log: the name of an event, then its details as `key=value` words.
  void log(std::string text) { emit(action::Log{std::move(text)}); }
  /// Requests a round at that time, but not earlier than min_round_interval after this one.
  void wake_up_at(Time at) {
    next_wakeup_ = std::min(next_wakeup_, std::max(at, now_ + settings_.min_round_interval));
  }
  /// The earliest time for which a round was requested; kNever: none was.
  Time next_wakeup() const { return next_wakeup_; }

 private:
  Settings settings_;
  std::mt19937_64 random_;
  double shortest_objective_;
  double shortest_deadline_;
  Time now_ = 0;
  std::vector<Action>* actions_ = nullptr;
  Time next_wakeup_ = kNever;
};

}  // namespace dispatch
