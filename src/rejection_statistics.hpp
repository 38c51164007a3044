// What the rate limiters of a relay share.
#pragma once

#include <cstddef>
#include <vector>

#include "dispatch/types.hpp"

namespace dispatch {

/// How the average follows its input.
struct RejectionStatisticsParameters {
  double initial;  // assumed before the first such call
  double gain;     // weight of the newest call
};

/// How often a call that follows a rejection is served, by kind of destination.
class RejectionStatistics {
 public:
  RejectionStatistics(const RejectionStatisticsParameters& parameters, std::size_t kind_count)
      : parameters_(parameters), served_(kind_count, parameters.initial) {}

  double served_after_rejection(std::size_t kind) const { return served_[kind]; }
  /// A call after a rejection was served (1) or rejected again (0).
  void record_after_rejection(std::size_t kind, double served) {
    served_[kind] += parameters_.gain * (served - served_[kind]);
  }

  template <class Visitor>
  void visit_learned_fields(Visitor&& visit) {
    for (double& share : served_) visit(share);
  }

  Time next_gossip_at = 0;  // kept for the rate limiters: none of them gossips before

 private:
  RejectionStatisticsParameters parameters_;
  std::vector<double> served_;
};

}  // namespace dispatch
