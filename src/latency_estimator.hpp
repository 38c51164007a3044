// The latency of an endpoint, as averages that forget.
#pragma once

#include <algorithm>

#include "learned_state.hpp"

namespace dispatch {

/// How an average follows its input.
struct LatencyEstimatorParameters {
  double initial;       // seconds; assumed before the first answer
  double recent_gain;   // weight of the newest answer in the recent latency,
  double typical_gain;  // and in the typical one
  double max_relative;  // one answer counts as no more typical latencies than this;
  double min_typical;   // for which no typical latency counts as less than this, in seconds
};

/// Latencies in seconds. The recent one follows answers, and calls without an answer lengthen it; the typical
/// one follows answers slowly.
class LatencyEstimator {
 public:
  /// The parameters must outlive it; endpoints are many, and all share one set.
  explicit LatencyEstimator(const LatencyEstimatorParameters& parameters)
      : parameters_(&parameters), recent_(parameters.initial) {}

  double recent() const { return recent_; }
  /// Returns the latency in typical ones, as they were before it.
  double add_answer(double latency) {
    recent_ += parameters_->recent_gain * (latency - recent_);
    if (typical_ == 0) typical_ = latency;
    const double relative =
        std::min(latency / std::max(typical_, parameters_->min_typical), parameters_->max_relative);
    typical_ += parameters_->typical_gain * (latency - typical_);
    return relative;
  }
  /// A call was given up after that time: the recent latency is at least as long, but at most doubles.
  void add_unanswered(double waited) { recent_ = std::max(recent_, std::min(recent_ * 2, waited)); }

  template <class Visitor>
  void visit_learned_fields(Visitor&& visit) {
    visit_fields(visit, recent_, typical_);
  }

 private:
  const LatencyEstimatorParameters* parameters_;
  double recent_;
  double typical_ = 0;
};

}  // namespace dispatch
