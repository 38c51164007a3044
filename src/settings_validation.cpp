// Checks that settings make sense before a dispatcher is built on them. Decides nothing about messages.
#include <stdexcept>
#include <string>

#include "dispatch/dispatcher.hpp"

namespace dispatch {

void validate(const Settings& s) {
  const auto need = [](bool ok, const char* what) {
    if (!ok) throw std::invalid_argument(std::string("settings: ") + what);
  };
  need(!s.classes.empty(), "classes: at least one is needed");
  for (const auto& c : s.classes) {
    need(c.latency_objective > 0, "classes.latency_objective: must be above 0");
    need(c.deadline > 0, "classes.deadline: must be above 0");
    need(c.priority_weight >= 0 && c.late_weight_fraction >= 0,
         "classes.priority_weight and late_weight_fraction: must not be negative");
    need(c.idempotency_window >= 0, "classes.idempotency_window: must not be negative");
  }
  for (const auto& k : s.kinds) need(k.max_batch_size >= 1, "kinds.max_batch_size: must be 1 or more");
  for (const auto& t : s.tenants)
    need(t.quota_per_second >= 0, "tenants.quota_per_second: must not be negative");
  need(s.relay_count >= 1, "relay_count: must be 1 or more");
  need(s.max_calls_in_flight >= 1, "max_calls_in_flight: must be 1 or more");
  need(s.max_open_messages >= 1, "max_open_messages: must be 1 or more");
  need(s.max_attempts >= 1, "max_attempts: must be 1 or more");
  need(s.min_round_interval >= 0, "min_round_interval: must not be negative");
  need(s.connect_timeout >= 0, "connect_timeout: must not be negative");
  need(s.connection_idle_timeout >= 0, "connection_idle_timeout: must not be negative");
  need(s.drain_grace >= 0 && s.max_poll_interval >= 0 && s.order_key_quiet_period >= 0 &&
           s.final_answer_grace >= 0,
       "drain_grace, max_poll_interval, order_key_quiet_period, final_answer_grace: must not be negative");
  need(s.overload_multiple > 0, "overload_multiple: must be above 0");
  need(s.overload_duration >= 0 && s.slow_start_duration >= 0,
       "overload_duration and slow_start_duration: must not be negative");
  need(s.slow_start_capacity_fraction >= 0 && s.slow_start_capacity_fraction <= 1,
       "slow_start_capacity_fraction: must lie between 0 and 1");
}

}  // namespace dispatch
