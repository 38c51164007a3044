// Constants that several components share: the parameters of the estimators, and limits that depend on the
// number of relays.
#pragma once

#include "dispatch/settings.hpp"
#include "latency_estimator.hpp"
#include "rejection_statistics.hpp"
#include "use_gap_estimator.hpp"

namespace dispatch {

/// Time constant, in seconds, of the exponential average that estimates the rate of served calls.
inline constexpr double kServedRateTimeConstant = 4;
/// Time constant, in seconds, of the exponential average that estimates demand. Demand may be as low as a few
/// calls a minute.
inline constexpr double kDemandTimeConstant = 30;
inline constexpr LatencyEstimatorParameters kLatencyParameters = {
    .initial = 0.25, .recent_gain = 0.2, .typical_gain = 0.02, .max_relative = 20, .min_typical = 1e-3};
inline constexpr RejectionStatisticsParameters kRejectionStatisticsParameters = {.initial = 0.25,
                                                                                 .gain = 0.1};
/// Weight of the newest answer in the average of relative latencies.
inline constexpr double kRelativeLatencyGain = 0.1;
/// The use gap assumed before the first call, as a fraction of the idle timeout of connections.
inline constexpr double kInitialUseGapFraction = 0.5;
/// Backoff, in seconds, after the first poll of the endpoint list that failed.
inline constexpr double kInitialPollBackoff = 0.5;
inline constexpr UseGapEstimatorParameters kUseGapParameters = {.gain = 0.3, .max_gap = 100};

/// The largest number of relays of a small fleet. In a larger one, the calls that each relay needs to learn
/// something by itself add up to too many calls at one destination.
inline constexpr int kMaxSmallFleetRelays = 8;
inline bool is_large_fleet(const Settings& settings) { return settings.relay_count > kMaxSmallFleetRelays; }

/// In a small fleet, the fraction that is used of the load that overloads a destination in slow start.
inline constexpr double kSmallFleetOverloadBudgetFraction = 0.9;
/// The same fraction in a large fleet. It is smaller because a relay can only estimate its own share of the
/// load; a relay that uses 0.9 of its estimate can overload the destination on its own.
inline constexpr double kLargeFleetOverloadBudgetFraction = 0.67;
inline double overload_budget_fraction(const Settings& settings) {
  return is_large_fleet(settings) ? kLargeFleetOverloadBudgetFraction : kSmallFleetOverloadBudgetFraction;
}

}  // namespace dispatch
