// Logs the changes of an endpoint's health.
#pragma once

#include <array>
#include <string>

#include "dispatch/events.hpp"
#include "learned_records.hpp"
#include "round_context.hpp"

namespace dispatch {

/// The cause of a change, which is logged under the name of its enumerator.
enum class HealthChangeCause {
  // Causes of an ejection.
  connect_failed,
  errors,
  no_answer,
  all_rejected,
  sibling_failures,
  // Causes of a change to slow start or to health.
  probe_succeeded,
  late_answer,
  operator_resumed,
  slow_start_complete
};

/// Returns the cause of an ejection for the outcome of a failed call.
inline HealthChangeCause cause_of(Outcome outcome) {
  if (outcome == Outcome::connect_failed) return HealthChangeCause::connect_failed;
  return outcome == Outcome::error ? HealthChangeCause::errors : HealthChangeCause::no_answer;
}

/// Logs that the endpoint changed to `state`.
inline void log_health_change(RoundContext& round, HealthState state, const EndpointId& id,
                              HealthChangeCause cause) {
  // Indexed by HealthState and by HealthChangeCause.
  static constexpr std::array kEvents = {"endpoint_healthy", "endpoint_ejected", "endpoint_slow_start"};
  static constexpr std::array kCauses = {"connect_failed", "errors",           "no_answer",
                                         "all_rejected",   "sibling_failures", "probe_succeeded",
                                         "late_answer",    "operator_resumed", "slow_start_complete"};
  round.log(kEvents[static_cast<std::size_t>(state)] + std::string(" endpoint=") + id +
            " cause=" + kCauses[static_cast<std::size_t>(cause)]);
}

}  // namespace dispatch
