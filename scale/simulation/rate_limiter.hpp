// The rate limits of modelled destinations.
#pragma once

#include <cstdint>
#include <optional>

#include "simulation/virtual_time.hpp"

namespace scale_tool::simulation {

// Whether calls that the limit rejects use it up as those that it admits do.
enum class RejectedCalls { free, counted };

// Admits calls up to a rate, whoever they are from. The times passed in never go back.
class RateLimiter {
 public:
  virtual ~RateLimiter() = default;

  // Nothing: the call is admitted. Otherwise it is rejected, and this is the time until the limit admits one
  // again.
  [[nodiscard]] virtual std::optional<Time> admit(Time now) = 0;
  // The fraction of the limit that is left, between 0 and 1.
  [[nodiscard]] virtual double remaining_fraction(Time now) = 0;
  // The time for which the limit holds: of a window, or until a token bucket is full. In seconds.
  [[nodiscard]] virtual double period() const = 0;
};

// Tokens come at a steady rate and each admitted call takes one.
// Invariant: there are never more tokens than come in the fill time, nor is the debt ever larger than that.
class TokenBucket : public RateLimiter {
 public:
  // `rate` in calls per second, `fill_time` in seconds. The bucket starts full.
  TokenBucket(double rate, double fill_time, RejectedCalls rejected_calls);

  std::optional<Time> admit(Time now) override;
  double remaining_fraction(Time now) override;
  double period() const override { return fill_time_; }

 private:
  void refill(Time now);
  double depth() const { return rate_ * fill_time_; }

  double rate_;
  double fill_time_;
  RejectedCalls rejected_calls_;
  double tokens_;  // below 0 where rejected calls count
  Time refilled_at_ = 0;
};

// Admits so many calls in each of successive windows of one length. They are whole calls, and so many that
// the mean over all windows is the rate. Invariant: `used_` counts the calls of the window `window_index_`
// alone.
class FixedWindow : public RateLimiter {
 public:
  // `rate` in calls per second, `length` in seconds; at time 0 the fraction `phase` of a window is over.
  FixedWindow(double rate, double length, double phase, RejectedCalls rejected_calls);

  std::optional<Time> admit(Time now) override;
  double remaining_fraction(Time now) override;
  double period() const override { return length_; }

 private:
  void advance(Time now);
  double allowance() const { return rate_ * length_; }

  double rate_;
  double length_;
  double phase_;
  RejectedCalls rejected_calls_;
  std::int64_t window_index_ = -1;
  std::int64_t used_ = 0;
};

}  // namespace scale_tool::simulation
