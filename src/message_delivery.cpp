// Decides which messages are sent, held, retried, cancelled or settled.
#include <algorithm>
#include <cmath>

#include "dispatcher_state.hpp"

namespace dispatch {
namespace {

/// Weight of a message's current value in its urgency; the value that it loses by waiting has the weight 1.
constexpr double kCurrentValueWeight = 0.3;
/// No attempt begins with less time left to the deadline than this fraction of the shortest latency
/// objective.
constexpr double kMinRemainingTimeFraction = 0.05;
/// The fraction of max_open_messages above which the least urgent messages are rejected.
constexpr double kBufferHighWaterFraction = 0.92;
/// While call slots are free, an overtaken call is cancelled after this multiple of the endpoint's recent
/// latency, plus kOverdueSlackSeconds.
constexpr double kCancelLatencyMultiple = 8;
/// Messages of a tenant's burst in addition to the quota of kTenantBurstTime.
constexpr double kTenantBurstMessages = 2;
/// Seconds for which a tenant may save up its quota.
constexpr double kTenantBurstTime = 2;

bool is_repeatable(const Message& message) { return message.message_class->idempotency != Idempotency::none; }
bool must_not_repeat(const Message& message) {
  return !is_repeatable(message) && message.possible_execution_zone;
}
bool is_bound_by_key_window(const Message& message) {
  return message.message_class->idempotency == Idempotency::by_key && message.possible_execution_zone;
}
bool is_safe_to_resubmit(const Message& message) {
  const ClassSettings& message_class = *message.message_class;
  if (message_class.idempotency == Idempotency::idempotent) return true;
  if (message_class.idempotency == Idempotency::by_key && message_class.key_scope == KeyScope::all)
    return true;
  return message.in_flight.empty() && !message.possible_execution_zone;
}

// Returns the value of delivering the message at `time`.
double value_at(const Settings& settings, const Message& message, Time time) {
  if (time >= message.deadline) return 0;
  if (time <= message.full_value_until) return message.weight;
  const ClassSettings& message_class = *message.message_class;
  const double late_fraction = message_class.late_weight_fraction;
  const double lateness = seconds(time - message.full_value_until);
  if (settings.value_decay == ValueDecay::exponential) {
    const double remaining = std::exp2(-lateness / seconds(message_class.latency_objective));
    return message.weight * std::max(late_fraction, remaining);
  }
  const double span = std::max(1e-6, seconds(message.deadline - message.full_value_until));
  return message.weight * (1 - (1 - late_fraction) * lateness / span);
}

// Returns the value that the message would lose by waiting for another shortest latency objective, plus the
// fraction kCurrentValueWeight of its current value. The second term guards against sending a backlog oldest
// first: messages past their objective lose value all the time and new ones do not lose any yet, so that
// every message would be delivered late. With a much larger fraction, messages of great weight expire
// although their delivery would still be worth half of that weight.
double urgency(const RoundContext& round, const Message& message, Time answer_at) {
  const double value = value_at(round.settings(), message, answer_at);
  const double value_after_wait =
      value_at(round.settings(), message, answer_at + micros(round.shortest_objective()));
  return value - value_after_wait + kCurrentValueWeight * value;
}

// Returns the time after which no attempt of the message may begin: shortly before its deadline or before the
// end of its idempotency window. The margin to the deadline guards against final answers that are too late
// because rounds stall briefly just before the deadline.
Time latest_send_time(const RoundContext& round, const Message& message) {
  const Time min_remaining = micros(kMinRemainingTimeFraction * round.shortest_objective());
  const Time latest = message.deadline - std::max(2 * round.settings().min_round_interval, min_remaining);
  if (!is_bound_by_key_window(message)) return latest;
  const Time window_end = message.possible_execution_sent_at + message.message_class->idempotency_window;
  return std::min(latest, window_end - round.settings().min_round_interval);
}

}  // namespace

double Dispatcher::State::tenant_burst(const TenantSettings& tenant) const {
  return kTenantBurstMessages + kTenantBurstTime * tenant.quota_per_second / settings.relay_count;
}

// Returns the factor on the weight of a new message: 1 within the tenant's quota, otherwise
// over_quota_weight_fraction. Each relay applies an equal share of the quota.
double Dispatcher::State::tenant_weight_fraction(int tenant) {
  if (tenant < 0 || tenant >= static_cast<int>(settings.tenants.size())) return 1;
  const auto index = static_cast<std::size_t>(tenant);
  const double quota = settings.tenants[index].quota_per_second / settings.relay_count;
  if (quota <= 0) return 1;
  tenant_buckets[index].refill(round.now(), quota, tenant_burst(settings.tenants[index]));
  if (tenant_buckets[index].tokens() < 1) return settings.over_quota_weight_fraction;
  tenant_buckets[index].take();
  return 1;
}

// Returns the earliest end of a Retry-After at the message's destination if no Retry-After there ends before
// the latest send time, otherwise kNever. Guards against holding a message that can no longer be delivered
// until its deadline, while its client waits for an answer.
Time Dispatcher::State::blocked_until(const Message& message, Time latest_send) {
  Time earliest = kNever;
  for (EndpointState* const endpoint : directory.endpoints_of(message.destination))
    if (is_in_service(*endpoint))
      earliest = std::min(earliest, directory.scope_of(*endpoint).limiter.retry_after_until());
  return earliest >= latest_send ? earliest : kNever;
}

// Returns the shortest backoff delay at the message's destination in seconds, or 0 if none is in effect.
double Dispatcher::State::shortest_backoff(const Message& message) {
  double shortest = kUnlimited;
  for (EndpointState* const endpoint : directory.endpoints_of(message.destination))
    shortest = std::min(shortest, directory.scope_of(*endpoint).backoff.delay(round));
  return shortest < kUnlimited ? shortest : 0;
}

// Continues with a recovered message that has no call in flight. A message that must not be repeated fails at
// once, as no outcome of the earlier process will arrive any more. If the message may still be executing, the
// next messages of its order key wait.
void Dispatcher::State::resume_delivery(Message& message) {
  if (!message.order_key.empty() && message.possible_execution_zone)
    order_keys.extend_quiet_period(message.order_key,
                                   message.possible_execution_sent_at + settings.order_key_quiet_period);
  if (message.attempts_made > 0)
    message.not_before = round.now() + micros(jittered(round, shortest_backoff(message)));
  fail_if_unsendable(message);
}

void Dispatcher::State::fail_if_unsendable(Message& message) {
  if (must_not_repeat(message) || message.attempts_made >= settings.max_attempts ||
      message.not_before >= latest_send_time(round, message))
    settle(message, FinalAnswer::failed);
}

// Returns whether the outcome counts for the endpoint. A cancelled call counts as a failure if the endpoint
// has served no call since it was sent. Otherwise later calls were answered before it, and nothing can be
// concluded.
bool Dispatcher::State::outcome_reflects_endpoint(const event::AttemptEnded& attempt,
                                                  const Call& call) const {
  if (attempt.outcome == Outcome::not_sent) return false;
  return attempt.outcome != Outcome::cancelled ||
         call.sent_at >= call.endpoint->health.record().last_served_at;
}

void Dispatcher::State::record_message_outcome(Message& message, EndpointState& endpoint, Time sent_at,
                                               const event::AttemptEnded& attempt) {
  const Outcome outcome = attempt.outcome;
  const bool not_executed =
      outcome == Outcome::rejected || outcome == Outcome::connect_failed || outcome == Outcome::not_sent;
  if (!not_executed && (!message.possible_execution_zone || sent_at < message.possible_execution_sent_at)) {
    message.possible_execution_zone = endpoint.info.zone;
    message.possible_execution_sent_at = sent_at;
  }
  const bool may_be_executing =
      outcome == Outcome::timeout || outcome == Outcome::reset || outcome == Outcome::cancelled;
  if (may_be_executing && !message.order_key.empty())
    order_keys.extend_quiet_period(message.order_key, round.now() + settings.order_key_quiet_period);
  if (attempt.message_settled || outcome == Outcome::succeeded) message.settled = true;
  if (message.settled || !message.in_flight.empty()) return;
  const double delay = std::max(directory.scope_of(endpoint).backoff.delay(round), min_backoff(round));
  message.not_before = round.now() + micros(jittered(round, delay));
  fail_if_unsendable(message);
}

void Dispatcher::State::settle(Message& message, FinalAnswer answer, Time retry_after) {
  if (message.settled) return;
  message.settled = true;
  if (answer == FinalAnswer::failed || !is_safe_to_resubmit(message))
    return round.emit(action::Fail{message.id});
  const Time min_retry_after = micros(initial_backoff(round));
  round.emit(
      action::Reject{message.id, std::max(std::min(retry_after, settings.max_retry_after), min_retry_after)});
}

bool Dispatcher::State::try_send(Message& message) {
  if (message.attempts_made >= settings.max_attempts) return false;
  if (!may_use_list()) return false;
  if (!message.order_key.empty()) {
    const OrderKeys::Queue& queue = order_keys.at(message.order_key);
    if (queue.messages.front() != message.id) return false;
    if (message.attempts_made == 0 && round.now() < queue.quiet_until) {
      round.wake_up_at(queue.quiet_until);
      return false;
    }
  }
  EndpointState* const endpoint = select_endpoint(message);
  if (endpoint == nullptr) return false;
  if (!can_join_call(message, *endpoint) && endpoint->health.is_healthy() &&
      !directory.scope_of(*endpoint).limiter.admit(round))
    return false;
  send(message, *endpoint);
  return true;
}

// Returns how long the first byte may take to leave; 0: no limit. Guards against a connection that is
// established only after the destination has forgotten the idempotency key: the message would be executed
// twice.
Time Dispatcher::State::start_within(const Message& message) const {
  return is_bound_by_key_window(message) ? latest_send_time(round, message) - round.now() : 0;
}

// Cancels an overdue call that was overtaken, which means that a call sent later to its endpoint has been
// served. While the call slots are exhausted, it cancels sooner, and also calls whose endpoint has served
// nothing since they were sent. Guards against endpoints that accept calls and never answer: the calls would
// occupy their slots, and delay messages that may be repeated, until the long timeout that slow destinations
// need. A message that must not be repeated is lost by the cancellation, so its call first gets the time of a
// latency objective. The cancelled call may be merely slow.
void Dispatcher::State::cancel_if_overdue(Message& message, CallSlots slots) {
  const auto [attempt, call_id] = *message.in_flight.begin();
  const Call& call = calls.at(call_id);
  const EndpointState& endpoint = *call.endpoint;
  const bool exhausted = slots == CallSlots::exhausted;
  const bool overtaken = call.sent_at < endpoint.health.record().latest_served_sent_at;
  // Otherwise the endpoint is slow but still serves calls.
  const bool silent = call.sent_at >= endpoint.health.record().last_served_at;
  if (message.cancelled_attempt == attempt || !(overtaken || (exhausted && silent))) return;
  const double objective = seconds(message.message_class->latency_objective);
  const double latency_multiple = exhausted ? kOverdueLatencyMultiple : kCancelLatencyMultiple;
  double cancel_after = latency_multiple * endpoint.latency.recent() + kOverdueSlackSeconds;
  // After its objective the message loses value. Where all destinations answer slowly, though, waiting longer
  // costs less than cancelling.
  if (exhausted) cancel_after = std::min(cancel_after, objective) * std::max(1.0, relative_latency);
  const Time cancel_at =
      call.sent_at + micros(std::max(is_repeatable(message) ? 0 : objective, cancel_after));
  if (round.now() < cancel_at) return round.wake_up_at(cancel_at);
  message.cancelled_attempt = attempt;
  round.emit(action::Cancel{message.id, attempt});
}

// Settles the message if it can no longer be delivered. Returns whether it was settled.
bool Dispatcher::State::settle_if_undeliverable(Message& message) {
  const bool in_flight = !message.in_flight.empty();
  const Time latest =
      in_flight ? message.deadline - 2 * settings.min_round_interval : latest_send_time(round, message);
  if (round.now() >= latest) {
    settle(message, FinalAnswer::failed);
    return true;
  }
  round.wake_up_at(latest);
  if (in_flight) return false;
  const Time retry_at = blocked_until(message, latest);
  if (retry_at >= kNever) return false;
  settle(message, FinalAnswer::resubmit, retry_at - round.now());
  return true;
}

void Dispatcher::State::dispatch() {
  const bool exhausted = calls.size() >= static_cast<std::size_t>(settings.max_calls_in_flight);
  const CallSlots slots = exhausted ? CallSlots::exhausted : CallSlots::free;
  std::vector<std::pair<double, Message*>> sendable;
  std::vector<MessageId> settled_ids;
  std::size_t open_count = 0;
  for (auto& [id, message] : messages) {
    if (message.settled) continue;
    open_count++;
    if (settle_if_undeliverable(message)) {
      settled_ids.push_back(id);
    } else if (!message.in_flight.empty()) {
      if (settings.cancellation) cancel_if_overdue(message, slots);
    } else if (message.not_before > round.now()) {
      round.wake_up_at(message.not_before);
    } else {
      sendable.emplace_back(urgency(round, message, round.now() + micros(kLatencyParameters.initial)),
                            &message);
    }
  }
  std::stable_sort(sendable.begin(), sendable.end(),
                   [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<Message*> unsent;
  for (auto& [urgency, message] : sendable)
    if (!try_send(*message)) unsent.push_back(message);
  reject_least_urgent(open_count, unsent, settled_ids);
  for (const MessageId id : settled_ids) remove_if_done(messages.find(id));
}

// Rejects the least urgent unsent messages while the message buffer is nearly full. Otherwise the buffer
// would fill up and the relay would reject the next arrivals, urgent or not.
void Dispatcher::State::reject_least_urgent(std::size_t open_count, std::vector<Message*>& unsent,
                                            std::vector<MessageId>& settled_ids) {
  const auto high_water = static_cast<std::size_t>(kBufferHighWaterFraction * settings.max_open_messages);
  for (; open_count > std::max<std::size_t>(high_water, 1) && !unsent.empty();
       open_count--, unsent.pop_back()) {
    Message& message = *unsent.back();
    if (!is_safe_to_resubmit(message)) continue;
    settle(message, FinalAnswer::resubmit);
    settled_ids.push_back(message.id);
  }
}

}  // namespace dispatch
