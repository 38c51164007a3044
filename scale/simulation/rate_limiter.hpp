// Models the rate limits of destinations.
#pragma once

#include <cstdint>
#include <optional>

#include "simulation/virtual_time.hpp"

namespace scale_tool::simulation {

// Whether rejected calls use up the rate limit like admitted calls.
enum class RejectedCalls { not_counted, counted };

// Admits calls up to a rate, regardless of the relay that sent them. The times passed to the functions must
// not decrease.
class RateLimiter {
 public:
  virtual ~RateLimiter() = default;

  // Decides whether a call is admitted. Returns nothing for an admitted call; for a rejected call, the time
  // until the limit admits a call again.
  [[nodiscard]] virtual std::optional<Time> admit(Time now) = 0;
  // The unused fraction of the limit, between 0 and 1.
  [[nodiscard]] virtual double remaining_fraction(Time now) = 0;
  // The length of a fixed window or the time in which an empty token bucket fills up, in seconds.
  [[nodiscard]] virtual double period() const = 0;
};

// Adds tokens at a constant rate; each admitted call takes one.
// Invariant: the number of tokens is at most the depth, which is the number added in the fill time, and at
// least the negative depth.
class TokenBucket : public RateLimiter {
 public:
  // `rate` is in calls per second, `fill_time` in seconds. The bucket starts full.
  TokenBucket(double rate, double fill_time, RejectedCalls rejected_calls);

  std::optional<Time> admit(Time now) override;
  double remaining_fraction(Time now) override;
  double period() const override { return fill_time_; }

 private:
  void refill(Time now);
  // The number of tokens in a full bucket.
  double depth() const { return rate_ * fill_time_; }

  double rate_;
  double fill_time_;
  RejectedCalls rejected_calls_;
  double tokens_;  // can be below 0 if rejected calls are counted
  Time refilled_at_ = 0;
};

// Admits a limited number of calls in each of successive windows of equal length. The limit of each window is
// a whole number, chosen such that the mean over all windows is the rate.
//
// Invariant: `counted_calls_` is the number of calls counted in the window `window_index_`.
class FixedWindow : public RateLimiter {
 public:
  // `rate` is in calls per second, `length` in seconds. At time 0, the fraction `phase` of a window is over.
  FixedWindow(double rate, double length, double phase, RejectedCalls rejected_calls);

  std::optional<Time> admit(Time now) override;
  double remaining_fraction(Time now) override;
  double period() const override { return length_; }

 private:
  void advance(Time now);
  // The mean number of calls that a window admits.
  double allowance() const { return rate_ * length_; }

  double rate_;
  double length_;
  double phase_;
  RejectedCalls rejected_calls_;
  std::int64_t window_index_ = -1;
  std::int64_t counted_calls_ = 0;
};

}  // namespace scale_tool::simulation
