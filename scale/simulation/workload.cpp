#include "simulation/workload.hpp"

#include <algorithm>
#include <cstddef>

namespace scale_tool::simulation {
namespace {

// Returns the index of the first element above the value, or of the last element if rounding errors leave
// none.
std::size_t first_above(const std::vector<double>& cumulative, double value) {
  const auto found = std::upper_bound(cumulative.begin(), cumulative.end(), value);
  return std::min(static_cast<std::size_t>(found - cumulative.begin()), cumulative.size() - 1);
}

}  // namespace

Workload::Workload(const FleetSettings& settings, const std::vector<Destination>& destinations,
                   RandomSource& random)
    : settings_(settings) {
  double rate = 0;
  for (const Destination& destination : destinations) {
    rate += destination.message_rate();
    cumulative_rates_.push_back(rate);
  }
  double share = 0;
  for (int i = 0; i < settings.relay_count; i++) {
    share += random.log_normal(1, settings.workload.relay_traffic_variation);
    cumulative_relay_shares_.push_back(share);
  }
  for (double& cumulative : cumulative_relay_shares_) cumulative /= share;
}

Time Workload::first_interval(RandomSource& random) const {
  return to_microseconds(random.exponential(1 / total_rate()));
}

Time Workload::next_interval(Time now, RandomSource& random) const {
  const WorkloadSettings& workload = settings_.workload;
  const bool is_burst =
      now >= to_microseconds(workload.burst_start) && now < to_microseconds(workload.burst_end);
  const double rate = is_burst ? total_rate() * workload.burst_load / workload.load : total_rate();
  return to_microseconds(random.exponential(1 / rate));
}

DestinationIndex Workload::draw_destination(RandomSource& random) const {
  return first_above(cumulative_rates_, random.uniform() * total_rate());
}

RelayIndex Workload::draw_relay(RandomSource& random) const {
  return first_above(cumulative_relay_shares_, random.uniform());
}

MessageClass Workload::draw_class(RandomSource& random) const {
  return random.bernoulli(settings_.workload.non_idempotent_fraction) ? MessageClass::non_idempotent
                                                                      : MessageClass::idempotent;
}

const ClassObjectives& objectives(const WorkloadSettings& settings, MessageClass message_class) {
  return message_class == MessageClass::idempotent ? settings.idempotent : settings.non_idempotent;
}

}  // namespace scale_tool::simulation
