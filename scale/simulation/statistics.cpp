#include "simulation/statistics.hpp"

#include <algorithm>

#include "simulation/workload.hpp"

namespace scale_tool::simulation {

using dispatch::Outcome;

namespace {

constexpr std::uint64_t kFnvPrime = 0x100000001b3;
// An overrun is counted if a rate limit is exceeded for longer than the period of the limit plus this time.
constexpr double kAllowedOverrunSeconds = 2;

}  // namespace

void Digest::add(std::uint64_t value) { value_ = (value_ ^ value) * kFnvPrime; }

bool Statistics::counts_calls(Time now) const {
  return now >= to_microseconds(settings_.warm_up) && now < to_microseconds(settings_.duration);
}

bool Statistics::counts_message(Time now, Time deadline) const {
  return counts_calls(now) && deadline <= to_microseconds(settings_.duration);
}

void Statistics::record_call_sent(const Call& call) {
  if (counts_calls(call.sent_at)) counts_.calls++;
  digest_.add(static_cast<std::uint64_t>(call.sent_at) ^ (call.message << 20) ^ call.endpoint);
}

void Statistics::record_call_rejected(Time now) {
  if (counts_calls(now)) counts_.calls_rejected++;
}

void Statistics::record_call_end(Time now, Outcome outcome) {
  if (!counts_calls(now)) return;
  if (outcome == Outcome::succeeded)
    counts_.calls_succeeded++;
  else if (outcome != Outcome::rejected)
    counts_.calls_failed++;
}

void Statistics::record_observed_outcome(Time now, Outcome outcome) {
  digest_.add(static_cast<std::uint64_t>(now) * 31 + static_cast<std::uint64_t>(outcome));
}

void Statistics::record_message_end(Time now, dispatch::MessageId id, const JournaledMessage& message,
                                    MessageResult result) {
  const bool is_delivered = result == MessageResult::delivered;
  digest_.add(id * 7 + (is_delivered ? 1 : 0));
  if (!message.is_counted) return;
  const bool is_in_time = is_delivered && now <= message.deadline;
  const Time objective =
      to_microseconds(objectives(settings_.workload, message.message_class).latency_objective);
  counts_.messages++;
  if (is_in_time) counts_.delivered++;
  if (is_delivered && now <= message.arrived_at + objective) counts_.within_objective++;
  if (result == MessageResult::failed) counts_.failed++;
  if (result == MessageResult::rejected) counts_.rejected++;
  if (message.attempts.empty()) counts_.never_attempted++;
  if (!message.is_unaffected) return;
  counts_.unaffected_messages++;
  if (is_in_time) counts_.unaffected_delivered++;
}

void Statistics::add_destination(FleetResult& result, const Destination& destination,
                                 bool has_restarted_relays) const {
  result.calls_allowed += destination.rate_limit() * (settings_.duration - settings_.warm_up);
  if (destination.collapse_cause() != OverloadCause::none) result.collapses++;
  if (destination.collapse_cause() == OverloadCause::notified_relays) result.collapses_by_notified_relays++;
  if (!has_restarted_relays) return;
  const double overrun = destination.overrun_meter().longest_overrun();
  result.longest_overrun = std::max(result.longest_overrun, overrun);
  if (overrun > destination.rate_limiter().period() + kAllowedOverrunSeconds) result.overruns++;
}

FleetResult Statistics::result(const std::vector<Destination>& destinations,
                               bool has_restarted_relays) const {
  FleetResult result = counts_;
  result.destinations = static_cast<std::int64_t>(destinations.size());
  result.digest = digest_.value();
  for (const Destination& destination : destinations)
    add_destination(result, destination, has_restarted_relays);
  return result;
}

}  // namespace scale_tool::simulation
