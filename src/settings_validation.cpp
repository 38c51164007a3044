// Checks that the settings are within their ranges before a dispatcher is created.
#include <stdexcept>
#include <string>

#include "dispatch/dispatcher.hpp"

namespace dispatch {

void validate(const Settings& settings) {
  const auto require = [](bool valid, const char* requirement) {
    if (!valid) throw std::invalid_argument(std::string("settings: ") + requirement);
  };
  require(!settings.classes.empty(), "classes: must contain at least one class");
  for (const auto& message_class : settings.classes) {
    require(message_class.latency_objective > 0, "classes.latency_objective: must be greater than 0");
    require(message_class.deadline > 0, "classes.deadline: must be greater than 0");
    require(message_class.priority_weight >= 0 && message_class.late_weight_fraction >= 0,
            "classes.priority_weight and late_weight_fraction: must not be negative");
    require(message_class.idempotency_window >= 0, "classes.idempotency_window: must not be negative");
  }
  for (const auto& kind : settings.kinds)
    require(kind.max_batch_size >= 1, "kinds.max_batch_size: must be at least 1");
  for (const auto& tenant : settings.tenants)
    require(tenant.quota_per_second >= 0, "tenants.quota_per_second: must not be negative");
  require(settings.relay_count >= 1, "relay_count: must be at least 1");
  require(settings.max_calls_in_flight >= 1, "max_calls_in_flight: must be at least 1");
  require(settings.max_open_messages >= 1, "max_open_messages: must be at least 1");
  require(settings.max_attempts >= 1, "max_attempts: must be at least 1");
  require(settings.max_batch_bytes >= 0, "max_batch_bytes: must not be negative");
  require(settings.min_round_interval >= 0, "min_round_interval: must not be negative");
  require(settings.connect_timeout >= 0, "connect_timeout: must not be negative");
  require(settings.connection_idle_timeout >= 0, "connection_idle_timeout: must not be negative");
  require(
      settings.drain_grace >= 0 && settings.max_poll_interval >= 0 && settings.order_key_quiet_period >= 0 &&
          settings.final_answer_grace >= 0,
      "drain_grace, max_poll_interval, order_key_quiet_period and final_answer_grace: must not be negative");
  require(settings.overload_multiple > 0, "overload_multiple: must be greater than 0");
  require(settings.overload_duration >= 0 && settings.slow_start_duration >= 0,
          "overload_duration and slow_start_duration: must not be negative");
  require(settings.slow_start_capacity_fraction >= 0 && settings.slow_start_capacity_fraction <= 1,
          "slow_start_capacity_fraction: must be between 0 and 1");
}

}  // namespace dispatch
