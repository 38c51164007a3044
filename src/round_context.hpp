// What the parts of the dispatcher share during a round: time, settings, random numbers and the actions.
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

/// Decides nothing. Random numbers are drawn in the order of the calls; equal seeds give equal numbers.
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

  /// Begins a round, which appends its actions to `actions`. Time never goes back.
  void begin(Time at, std::vector<Action>& actions) {
    now_ = std::max(now_, at);
    actions_ = &actions;
    next_wakeup_ = kNever;
  }

  Time now() const { return now_; }
  const Settings& settings() const { return settings_; }
  /// The least latency objective, and the least deadline, of all classes; in seconds.
  double shortest_objective() const { return shortest_objective_; }
  double shortest_deadline() const { return shortest_deadline_; }

  /// A random number from 0 up to, but not including, 1.
  double uniform() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  /// Appends one of the types of Action.
  template <class OneAction>
  void emit(OneAction&& action) {
    actions_->emplace_back(std::forward<OneAction>(action));
  }
  /// A line for the log: an event, and what tells more of it, as `key=value` words.
  void log(std::string text) { emit(action::Log{std::move(text)}); }
  /// Asks for a round at that time, or as soon after it as rounds may follow one another.
  void wake_up_at(Time at) {
    next_wakeup_ = std::min(next_wakeup_, std::max(at, now_ + settings_.min_round_interval));
  }
  /// The earliest round asked for; kNever: none.
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
