// Creates the load reports that a modelled destination adds to its replies.
#pragma once

#include "fleet.hpp"
#include "simulation/random_source.hpp"
#include "simulation/rate_limiter.hpp"
#include "simulation/virtual_time.hpp"

namespace scale_tool::simulation {

// Reports the remaining fraction of a rate limit, with random noise. The fraction is measured at most once in
// a report period and appears in the reports after the report delay.
//
// Invariant: `published_` is the last measurement that has been published. `pending_` is a later measurement,
// or the same.
class LoadReporter {
 public:
  // `rate_limit` is in calls per second. `settings` must outlive this object.
  LoadReporter(const DestinationSettings& settings, double rate_limit)
      : settings_(settings), rate_limit_(rate_limit) {}

  [[nodiscard]] dispatch::LoadReport report(Time now, RateLimiter& limiter, RandomSource& random);

 private:
  double with_noise(double value, RandomSource& random) const;

  const DestinationSettings& settings_;
  double rate_limit_;
  double published_ = 1;  // fraction of the rate limit
  double pending_ = 1;    // fraction of the rate limit
  Time measured_at_ = -kNever;
  Time publish_at_ = kNever;  // kNever once `pending_` has been published
};

}  // namespace scale_tool::simulation
