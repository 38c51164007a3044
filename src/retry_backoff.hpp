// How long a retry waits (LIMD: linear increase, multiplicative decrease).
//
// Invariant: the delay is 0, or lies between the least and the longest backoff. It grows by a fixed step on a
// failure, at most once a round, shrinks by a factor on a success, and halves by itself while unused.
#pragma once

#include <algorithm>
#include <cmath>

#include "learned_state.hpp"
#include "round_context.hpp"

namespace dispatch {

// The source's example figures are 2, 4 and 1 seconds with factor 0.2. Their ratios are kept; the unit is a
// part of the shortest latency objective, because seconds are long against our deadlines.
inline constexpr double kBackoffUnitOfObjective = 0.1;
inline constexpr double kInitialDelay = 2, kDelayIncrement = 4, kMinDelay = 1, kMaxDelay = 20;  // in units
inline constexpr double kDelayHalfLife = 20;                                                    // in units
inline constexpr double kDelayDecrease = 0.2;
inline constexpr double kJitter = 0.25;

/// The unit, the least delay after a failure, that after a first failure, and the longest; in seconds.
inline double backoff_unit(const RoundContext& round) {
  return kBackoffUnitOfObjective * round.shortest_objective();
}
inline double min_backoff(const RoundContext& round) { return kMinDelay * backoff_unit(round); }
inline double initial_backoff(const RoundContext& round) { return kInitialDelay * backoff_unit(round); }
inline double max_backoff(const RoundContext& round) { return kMaxDelay * backoff_unit(round); }

/// The duration, shortened or lengthened at random, so that relays that wait alike do not come back together.
inline double jittered(RoundContext& round, double duration) {
  return duration * (1 + kJitter * (2 * round.uniform() - 1));
}
/// The duration that jittered() lengthens to no more than `limit`.
inline double limit_before_jitter(double limit) { return limit / (1 + kJitter); }

/// The backoff of all that share one rate limit.
class RetryBackoff {
 public:
  /// The delay now, in seconds; 0: no failure is remembered.
  double delay(const RoundContext& round) const {
    const double unused_for = seconds(round.now() - changed_at_);
    const double aged = delay_ * std::exp2(-unused_for / (kDelayHalfLife * backoff_unit(round)));
    return aged < min_backoff(round) / 2 ? 0 : aged;
  }
  void on_failure(const RoundContext& round) {
    // Departure from the source: the failures of one round are one event, else calls in flight together would
    // multiply the delay.
    if (delay_ > 0 && changed_at_ == round.now()) return;
    const double current = delay(round);
    const double grown = std::min(current + kDelayIncrement * backoff_unit(round), max_backoff(round));
    delay_ = current == 0 ? initial_backoff(round) : grown;
    changed_at_ = round.now();
  }
  void on_success(const RoundContext& round) {
    const double current = delay(round);
    delay_ = current == 0 ? 0 : std::max(current * kDelayDecrease, min_backoff(round));
    changed_at_ = round.now();
  }

  template <class Visitor>
  void visit_learned_fields(Visitor&& visit) {
    visit_fields(visit, delay_, changed_at_);
  }

 private:
  double delay_ = 0;     // seconds, as of changed_at_
  Time changed_at_ = 0;  // the last failure or success
};

}  // namespace dispatch
