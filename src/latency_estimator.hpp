// Estimates the latency of an endpoint by exponentially weighted moving averages.
#pragma once

#include <algorithm>

#include "learned_state.hpp"

namespace dispatch {

/// The parameters of a LatencyEstimator.
struct LatencyEstimatorParameters {
  double initial;       ///< recent latency before the first answer, in seconds
  double recent_gain;   ///< weight of the newest answer in the recent latency
  double typical_gain;  ///< weight of the newest answer in the typical latency
  double max_relative;  ///< upper bound of add_answer()'s result, in typical latencies
  double min_typical;   ///< lower bound of the typical latency to which answers are compared, in seconds
};

/// Estimates a recent and a typical latency, in seconds. The recent latency follows the answers and rises on
/// calls without an answer. The typical latency follows the answers slowly.
class LatencyEstimator {
 public:
  /// The parameters must outlive the estimator. They are referenced, not copied, because there are many
  /// endpoints and all share one set.
  explicit LatencyEstimator(const LatencyEstimatorParameters& parameters)
      : parameters_(&parameters), recent_(parameters.initial) {}

  double recent() const { return recent_; }
  /// Returns the ratio of `latency` to the typical latency before this answer, at most
  /// LatencyEstimatorParameters::max_relative.
  double add_answer(double latency) {
    recent_ += parameters_->recent_gain * (latency - recent_);
    if (typical_ == 0) typical_ = latency;
    const double relative =
        std::min(latency / std::max(typical_, parameters_->min_typical), parameters_->max_relative);
    typical_ += parameters_->typical_gain * (latency - typical_);
    return relative;
  }
  /// A call was abandoned after `waited` seconds. Raises the recent latency to this time, but at most doubles
  /// it.
  void add_unanswered(double waited) { recent_ = std::max(recent_, std::min(recent_ * 2, waited)); }

  template <class Visitor>
  void visit_learned_fields(Visitor&& visit) {
    visit_fields(visit, recent_, typical_);
  }

 private:
  const LatencyEstimatorParameters* parameters_;
  double recent_;
  double typical_ = 0;  // 0: no answer yet
};

}  // namespace dispatch
