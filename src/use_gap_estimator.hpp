// How long the connections to an endpoint stay unused between calls.
#pragma once

#include <algorithm>

#include "learned_state.hpp"
#include "time_units.hpp"

namespace dispatch {

/// How the average follows its input.
struct UseGapEstimatorParameters {
  double gain;     // weight of the newest gap
  double max_gap;  // seconds; a longer one counts as this
};

/// The average gap from the begin or end of a call to the begin of the next one.
class UseGapEstimator {
 public:
  /// The parameters must outlive it; endpoints are many, and all share one set.
  explicit UseGapEstimator(const UseGapEstimatorParameters& parameters) : parameters_(&parameters) {}

  /// Before the first call the average is that many seconds.
  void start(double mean) { mean_ = mean; }
  void on_call_begun(Time now) {
    if (used_at_ > -kNever) {
      const double gap = std::min(seconds(now - used_at_), parameters_->max_gap);
      mean_ += parameters_->gain * (gap - mean_);
    }
    used_at_ = now;
  }
  void on_call_ended(Time now) { used_at_ = now; }
  double mean() const { return mean_; }

  template <class Visitor>
  void visit_learned_fields(Visitor&& visit) {
    visit_fields(visit, mean_, used_at_);
  }

 private:
  const UseGapEstimatorParameters* parameters_;
  double mean_ = 0;         // seconds
  Time used_at_ = -kNever;  // the last time a call began or ended
};

}  // namespace dispatch
