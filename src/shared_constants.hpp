// Constants that several parts share: the parameters of estimators, and what depends on the size of the
// fleet.
#pragma once

#include "dispatch/settings.hpp"
#include "latency_estimator.hpp"
#include "rejection_statistics.hpp"
#include "use_gap_estimator.hpp"

namespace dispatch {

inline constexpr double kServedRateMemory = 4;  // seconds; of estimated rates of served calls
inline constexpr double kDemandMemory = 30;     // seconds; of estimated demand, which may be calls a minute
inline constexpr LatencyEstimatorParameters kLatencyParameters = {
    .initial = 0.25, .recent_gain = 0.2, .typical_gain = 0.02, .max_relative = 20, .min_typical = 1e-3};
inline constexpr RejectionStatisticsParameters kRejectionStatisticsParameters = {.initial = 0.25,
                                                                                 .gain = 0.1};
inline constexpr double kRelativeLatencyGain = 0.1;  // weight of the newest answer
inline constexpr double kInitialUseGap = 0.5;        // in idle time-outs
inline constexpr double kInitialPollGap = 0.5;       // seconds; after the first poll that failed
inline constexpr UseGapEstimatorParameters kUseGapParameters = {.gain = 0.3, .max_gap = 100};

/// Beyond a small fleet, what each relay needs by itself to learn something adds up to too much at a
/// destination.
inline constexpr int kSmallFleet = 8;
inline bool is_large_fleet(const Settings& settings) { return settings.relay_count > kSmallFleet; }

/// The part that is used of the load which overloads a destination in slow start. In a large fleet a relay
/// only guesses its own part of the load, and using so much of it alone breaks the rule.
inline constexpr double kOverloadBudgetSmallFleet = 0.9;
inline constexpr double kOverloadBudgetLargeFleet = 0.67;
inline double overload_budget(const Settings& settings) {
  return is_large_fleet(settings) ? kOverloadBudgetLargeFleet : kOverloadBudgetSmallFleet;
}

}  // namespace dispatch
