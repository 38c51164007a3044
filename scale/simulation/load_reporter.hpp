// The load reports that a modelled destination adds to its replies.
#pragma once

#include "fleet.hpp"
#include "simulation/random_source.hpp"
#include "simulation/rate_limiter.hpp"
#include "simulation/virtual_time.hpp"

namespace scale_tool::simulation {

// Reports what is left of a rate limit, with noise. The value is measured once in a period and is published
// some time after that.
// Invariant: `published_` is the last value whose publication time has come, `pending_` a later one or the
// same.
class LoadReporter {
 public:
  // `rate_limit` in calls per second. The settings must outlive this.
  LoadReporter(const DestinationSettings& settings, double rate_limit)
      : settings_(settings), rate_limit_(rate_limit) {}

  [[nodiscard]] dispatch::LoadReport report(Time now, RateLimiter& limiter, RandomSource& random);

 private:
  double with_noise(double value, RandomSource& random) const;

  const DestinationSettings& settings_;
  double rate_limit_;
  double published_ = 1;
  double pending_ = 1;
  Time measured_at_ = -kNever;
  Time publish_at_ = kNever;
};

}  // namespace scale_tool::simulation
