// Decides whether there is room for another message among those that are open.
#include "dispatch/admission_limits.hpp"

#include <algorithm>

namespace dispatch {
namespace {

/// Pipelined messages may use this fraction, a half, of the limit.
constexpr std::size_t kPipelinedDivisor = 2;
/// Connections are held to their share while more than this fraction, three quarters, of the limit is used.
constexpr std::size_t kShareThresholdNumerator = 3;
constexpr std::size_t kShareThresholdDenominator = 4;

bool are_shares_in_force(const OpenMessages& open) {
  return open.total * kShareThresholdDenominator >= open.limit * kShareThresholdNumerator;
}

// The equal share of each connection, including the one of the new message.
std::size_t share_of_connection(const OpenMessages& open) {
  const std::size_t connections = open.connections + (open.of_connection == 0 ? 1 : 0);
  return std::max<std::size_t>(open.limit / connections, 1);
}

}  // namespace

AdmissionDecision decide_admission(const OpenMessages& open, Submission submission) {
  if (open.total >= open.limit) return AdmissionDecision::limit_reached;
  if (submission == Submission::pipelined && open.total >= open.limit / kPipelinedDivisor)
    return AdmissionDecision::pipelined_limit_reached;
  if (are_shares_in_force(open) && open.of_connection >= share_of_connection(open))
    return AdmissionDecision::connection_share_reached;
  return AdmissionDecision::admit;
}

}  // namespace dispatch
