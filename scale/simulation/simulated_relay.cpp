#include "simulation/simulated_relay.hpp"

#include <algorithm>
#include <utility>

namespace scale_tool::simulation {
namespace {

constexpr double kLateWeightFraction = 0.2;
constexpr double kIdempotentPriority = 1;
constexpr double kNonIdempotentPriority = 3;
constexpr Time kMaxRetryAfter = 3'000'000;   // microseconds
constexpr Time kDrainGrace = 2'000'000;      // microseconds
constexpr Time kFinalAnswerGrace = 100'000;  // microseconds

dispatch::ClassSettings class_settings(const ClassObjectives& objectives, double priority_weight,
                                       dispatch::Idempotency idempotency) {
  return {.priority_weight = priority_weight,
          .late_weight_fraction = kLateWeightFraction,
          .latency_objective = to_microseconds(objectives.latency_objective),
          .deadline = to_microseconds(objectives.deadline),
          .idempotency = idempotency};
}

// Returns whether it is certain that the destination has not executed the message in this attempt.
bool was_certainly_not_executed(const JournaledAttempt& attempt) {
  return attempt.outcome == dispatch::Outcome::rejected ||
         attempt.outcome == dispatch::Outcome::connect_failed;
}

dispatch::event::MessageRecovered recovered_message(dispatch::MessageId id, const JournaledMessage& message,
                                                    Time now) {
  dispatch::event::MessageRecovered event;
  event.message.id = id;
  event.message.destination = static_cast<dispatch::DestinationId>(message.destination);
  event.message.message_class = static_cast<int>(message.message_class);
  event.message.time_to_deadline = message.deadline - now;
  event.attempts_made = static_cast<int>(message.attempts.size());
  const auto possible_execution =
      std::find_if_not(message.attempts.begin(), message.attempts.end(), was_certainly_not_executed);
  if (possible_execution != message.attempts.end()) {
    event.possible_execution_zone = message.first_attempt_zone;
    event.possible_execution_sent_at = possible_execution->sent_at;
  }
  return event;
}

}  // namespace

dispatch::Settings dispatcher_settings(const FleetSettings& settings, RelayIndex relay) {
  dispatch::Settings result;
  result.classes = {
      class_settings(settings.workload.idempotent, kIdempotentPriority, dispatch::Idempotency::idempotent),
      class_settings(settings.workload.non_idempotent, kNonIdempotentPriority, dispatch::Idempotency::none)};
  result.kinds = {{}};
  result.weight_kind = dispatch::WeightKind::approximate;
  result.relay_count = settings.relay_count;
  result.relay_index = static_cast<int>(relay);
  result.zone = static_cast<int>(relay) % settings.network.zone_count;
  result.max_calls_in_flight = settings.relay.max_calls_in_flight;
  result.max_open_messages = settings.relay.max_open_messages;
  result.max_attempts = settings.relay.max_attempts;
  result.cancellation = true;
  result.min_round_interval = kMinRoundInterval;
  result.connect_timeout = kConnectTimeout;
  result.max_retry_after = kMaxRetryAfter;
  result.drain_grace = kDrainGrace;
  result.final_answer_grace = kFinalAnswerGrace;
  result.overload_multiple = settings.destination.overload_multiple;
  result.overload_duration = to_microseconds(settings.destination.overload_duration);
  result.slow_start_capacity_fraction = settings.destination.slow_start_capacity;
  result.slow_start_duration = to_microseconds(settings.destination.slow_start_duration);
  return result;
}

void SimulatedRelay::start(std::unique_ptr<dispatch::Dispatcher> dispatcher) {
  dispatcher_ = std::move(dispatcher);
}

void SimulatedRelay::kill() {
  incarnation_++;
  inbox_.clear();
  is_round_scheduled_ = false;
  limited_destinations_ = dispatcher_->limited_destinations();
  dispatcher_.reset();
}

std::optional<Time> SimulatedRelay::enqueue(Time now, dispatch::Event event) {
  if (!is_up()) return std::nullopt;
  inbox_.push_back(std::move(event));
  if (std::exchange(is_round_scheduled_, true)) return std::nullopt;
  return std::max(now, last_round_at_ + kMinRoundInterval);
}

std::vector<dispatch::Action> SimulatedRelay::run_round(Time now) {
  is_round_scheduled_ = false;
  last_round_at_ = now;
  const std::vector<dispatch::Event> events = std::exchange(inbox_, {});
  std::vector<dispatch::Action> actions;
  dispatcher_->handle(now, events, actions);
  return actions;
}

std::vector<dispatch::event::MessageRecovered> SimulatedRelay::recovered_messages(Time now) const {
  std::vector<dispatch::event::MessageRecovered> messages;
  messages.reserve(journal_.size());
  for (const auto& [id, message] : journal_) messages.push_back(recovered_message(id, message, now));
  return messages;
}

}  // namespace scale_tool::simulation
