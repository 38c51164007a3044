// Backoff before retries: linear increase, multiplicative decrease (LIMD).
//
// Invariant: the delay is 0 or lies between half the minimum and the maximum backoff. It grows by a fixed
// step on a failure, at most once per round, shrinks by a factor on a success, and decays exponentially in
// between.
#pragma once

#include <algorithm>
#include <cmath>

#include "learned_state.hpp"
#include "round_context.hpp"

namespace dispatch {

// The LIMD reference gives as its example an initial delay of 2 s, an increment of 4 s, a minimum of 1 s and
// a decrease by the factor 0.2. The ratios are kept. The unit is a fraction of the shortest latency objective
// instead of a second, because seconds are long compared with the deadlines of messages.

inline constexpr double kBackoffUnitFraction = 0.1;  // of the shortest latency objective
inline constexpr double kInitialDelayUnits = 2;      // after a first failure
inline constexpr double kDelayIncrementUnits = 4;    // on a further failure
inline constexpr double kMinDelayUnits = 1;          // of a delay after a success
inline constexpr double kMaxDelayUnits = 20;
inline constexpr double kDelayHalfLifeUnits = 20;    // without a further failure or success
inline constexpr double kDelayDecreaseFactor = 0.2;  // on a success
inline constexpr double kJitterFraction = 0.25;

/// Returns the unit of the backoff, in seconds.
inline double backoff_unit(const RoundContext& round) {
  return kBackoffUnitFraction * round.shortest_objective();
}
/// Returns the minimum to which a success reduces the delay, in seconds.
inline double min_backoff(const RoundContext& round) { return kMinDelayUnits * backoff_unit(round); }
/// Returns the delay after the first failure, in seconds.
inline double initial_backoff(const RoundContext& round) { return kInitialDelayUnits * backoff_unit(round); }
/// Returns the longest delay, in seconds.
inline double max_backoff(const RoundContext& round) { return kMaxDelayUnits * backoff_unit(round); }

/// Returns the duration, shortened or lengthened at random by up to kJitterFraction, so that relays that wait
/// for the same duration do not resume at the same time.
inline double jittered(RoundContext& round, double duration) {
  return duration * (1 + kJitterFraction * (2 * round.uniform() - 1));
}
/// Returns the longest duration that jittered() does not lengthen beyond `limit`.
inline double limit_before_jitter(double limit) { return limit / (1 + kJitterFraction); }

/// The backoff of the endpoints that share one rate limit.
class RetryBackoff {
 public:
  /// Returns the current delay in seconds; 0 if there was no failure or its delay has decayed.
  double delay(const RoundContext& round) const {
    const double elapsed = seconds(round.now() - changed_at_);
    const double decayed = delay_ * std::exp2(-elapsed / (kDelayHalfLifeUnits * backoff_unit(round)));
    return decayed < min_backoff(round) / 2 ? 0 : decayed;
  }
  void on_failure(const RoundContext& round) {
    // In contrast to the LIMD reference, the failures of one round count once. Otherwise calls that are in
    // flight together would multiply the delay.
    if (delay_ > 0 && changed_at_ == round.now()) return;
    const double current = delay(round);
    const double increased =
        std::min(current + kDelayIncrementUnits * backoff_unit(round), max_backoff(round));
    delay_ = current == 0 ? initial_backoff(round) : increased;
    changed_at_ = round.now();
  }
  void on_success(const RoundContext& round) {
    const double current = delay(round);
    delay_ = current == 0 ? 0 : std::max(current * kDelayDecreaseFactor, min_backoff(round));
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
