// Estimates how long the connections to an endpoint stay idle between calls.
#pragma once

#include <algorithm>

#include "learned_state.hpp"
#include "time_units.hpp"

namespace dispatch {

/// The parameters of a UseGapEstimator.
struct UseGapEstimatorParameters {
  double gain;     ///< weight of the newest gap in the moving average
  double max_gap;  ///< longer gaps count as this one, in seconds
};

/// Estimates the average gap between the start or end of a call and the start of the next one.
class UseGapEstimator {
 public:
  /// The parameters must outlive the estimator. They are referenced, not copied, because there are many
  /// endpoints and all share one set.
  explicit UseGapEstimator(const UseGapEstimatorParameters& parameters) : parameters_(&parameters) {}

  /// Sets the average before the first call, in seconds.
  void set_initial_mean(double mean) { mean_ = mean; }
  void on_call_begun(Time now) {
    if (last_used_at_ > -kNever) {
      const double gap = std::min(seconds(now - last_used_at_), parameters_->max_gap);
      mean_ += parameters_->gain * (gap - mean_);
    }
    last_used_at_ = now;
  }
  void on_call_ended(Time now) { last_used_at_ = now; }
  /// Returns the average gap in seconds.
  double mean() const { return mean_; }

  template <class Visitor>
  void visit_learned_fields(Visitor&& visit) {
    visit_fields(visit, mean_, last_used_at_);
  }

 private:
  const UseGapEstimatorParameters* parameters_;
  double mean_ = 0;              // seconds
  Time last_used_at_ = -kNever;  // when a call last started or ended
};

}  // namespace dispatch
