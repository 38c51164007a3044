// Statistics on rejections that the rate limiters of a relay share.
#pragma once

#include <cstddef>
#include <vector>

#include "dispatch/types.hpp"

namespace dispatch {

/// The parameters of RejectionStatistics.
struct RejectionStatisticsParameters {
  double initial;  ///< fraction that is assumed before the first call after a rejection
  double gain;     ///< weight of the newest call in the moving average
};

/// Estimates, by kind of destination, the fraction of calls after a rejection that are served.
class RejectionStatistics {
 public:
  RejectionStatistics(const RejectionStatisticsParameters& parameters, std::size_t kind_count)
      : parameters_(parameters), served_fractions_(kind_count, parameters.initial) {}

  /// Returns the fraction of the calls after a rejection that were served, 0 to 1.
  double served_fraction_after_rejection(std::size_t kind) const { return served_fractions_[kind]; }
  /// `served` is 1 for a call after a rejection that was served, 0 for one that was rejected again.
  void record_call_after_rejection(std::size_t kind, double served) {
    served_fractions_[kind] += parameters_.gain * (served - served_fractions_[kind]);
  }

  template <class Visitor>
  void visit_learned_fields(Visitor&& visit) {
    for (double& fraction : served_fractions_) visit(fraction);
  }

  Time next_gossip_at = 0;  ///< no rate limiter of the relay sends gossip before this time

 private:
  RejectionStatisticsParameters parameters_;
  std::vector<double> served_fractions_;  // fraction of the calls after a rejection, by kind
};

}  // namespace dispatch
