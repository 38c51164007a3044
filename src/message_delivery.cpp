// Which message is sent, held, retried, cancelled or answered.
#include <algorithm>
#include <cmath>

#include "dispatcher_state.hpp"

namespace dispatch {
namespace {

constexpr double kGainWeight = 0.3;    // of what a message has to gain, against what it loses by waiting
constexpr double kMinTimeLeft = 0.05;  // of the shortest objective: with less left, nothing is sent any more
constexpr double kBufferHighWater = 0.92;  // above this part of the buffer the least urgent are rejected
constexpr double kCancelLatencies = 8;     // after so many latencies an overtaken call is cancelled
constexpr double kTenantBurst = 2;         // messages, and seconds of the quota, that may be saved up

bool is_repeatable(const Message& message) { return message.message_class->idempotency != Idempotency::none; }
bool must_not_repeat(const Message& message) {
  return !is_repeatable(message) && message.possible_execution_zone;
}
bool has_key_window(const Message& message) {
  return message.message_class->idempotency == Idempotency::by_key && message.possible_execution_zone;
}
bool is_safe_to_resubmit(const Message& message) {
  const ClassSettings& message_class = *message.message_class;
  if (message_class.idempotency == Idempotency::idempotent) return true;
  if (message_class.idempotency == Idempotency::by_key && message_class.key_scope == KeyScope::all)
    return true;
  return message.in_flight.empty() && !message.possible_execution_zone;
}

double value_at(const Settings& settings, const Message& message, Time time) {
  if (time >= message.deadline) return 0;
  if (time <= message.objective) return message.weight;
  const ClassSettings& message_class = *message.message_class;
  const double late_fraction = message_class.late_weight_fraction;
  const double late_by = seconds(time - message.objective);
  if (settings.value_decay == ValueDecay::exponential) {
    const double left = std::exp2(-late_by / seconds(message_class.latency_objective));
    return message.weight * std::max(late_fraction, left);
  }
  const double span = std::max(1e-6, seconds(message.deadline - message.objective));
  return message.weight * (1 - (1 - late_fraction) * late_by / span);
}

// What waiting for one more shortest objective would lose, and a part of what there is to gain. Guards
// against a backlog served oldest first: those past their objective lose all the time, fresh ones nothing
// yet, so that every one comes late. Much more of it lets messages of great weight expire that would still be
// worth half of it.
double urgency(const RoundContext& round, const Message& message, Time answer_at) {
  const double value = value_at(round.settings(), message, answer_at);
  const double later = value_at(round.settings(), message, answer_at + micros(round.shortest_objective()));
  return value - later + kGainWeight * value;
}

// After this a message can't be sent any more: the deadline, or the end of its idempotency key's window.
// Guards against answers that come too late for a stall of a few rounds just before the deadline.
Time latest_send_time(const RoundContext& round, const Message& message) {
  const Time least_left = micros(kMinTimeLeft * round.shortest_objective());
  const Time latest = message.deadline - std::max(2 * round.settings().min_round_interval, least_left);
  if (!has_key_window(message)) return latest;
  const Time forgotten_at = message.possible_execution_sent_at + message.message_class->idempotency_window;
  return std::min(latest, forgotten_at - round.settings().min_round_interval);
}

}  // namespace

double Dispatcher::State::tenant_burst(const TenantSettings& tenant) const {
  return kTenantBurst + kTenantBurst * tenant.quota_per_second / settings.relay_count;
}

// Beyond its quota a tenant's messages have little weight; the quota is divided among the relays.
double Dispatcher::State::tenant_weight_fraction(int tenant) {
  if (tenant < 0 || tenant >= static_cast<int>(settings.tenants.size())) return 1;
  const auto i = static_cast<std::size_t>(tenant);
  const double quota = settings.tenants[i].quota_per_second / settings.relay_count;
  if (quota <= 0) return 1;
  tenant_buckets[i].refill(round.now(), quota, tenant_burst(settings.tenants[i]));
  if (tenant_buckets[i].tokens() < 1) return settings.over_quota_weight_fraction;
  tenant_buckets[i].take();
  return 1;
}

// When each Retry-After ends so late that no endpoint may be sent the message any more: the first such time;
// else kNever. Guards against holding what is lost until its deadline, its client none the wiser.
Time Dispatcher::State::blocked_until(const Message& message, Time latest_send) {
  Time first = kNever;
  for (EndpointState* const endpoint : directory.endpoints_of(message.destination))
    if (is_in_service(*endpoint))
      first = std::min(first, directory.scope_of(*endpoint).limiter.retry_after_until());
  return first >= latest_send ? first : kNever;
}

// The least at its destination; 0 where nothing is known of a failure there.
double Dispatcher::State::backoff_of(const Message& message) {
  double least = kUnlimited;
  for (EndpointState* const endpoint : directory.endpoints_of(message.destination))
    least = std::min(least, directory.scope_of(*endpoint).backoff.delay(round));
  return least < kUnlimited ? least : 0;
}

// A message of an earlier incarnation without a call in flight. One that must not be repeated fails at once,
// as no outcome of that incarnation will come any more. Where it may be running still, what follows it in its
// order waits.
void Dispatcher::State::resume(Message& message) {
  if (!message.order_key.empty() && message.possible_execution_zone)
    order_keys.keep_quiet(message.order_key,
                          message.possible_execution_sent_at + settings.order_key_quiet_period);
  if (message.attempts_made > 0)
    message.not_before = round.now() + micros(jittered(round, backoff_of(message)));
  fail_if_unsendable(message);
}

void Dispatcher::State::fail_if_unsendable(Message& message) {
  if (must_not_repeat(message) || message.attempts_made >= settings.max_attempts ||
      message.not_before >= latest_send_time(round, message))
    settle(message, FinalAnswer::failed);
}

// A call that was cancelled in silence is a failure; one that was overtaken says nothing of its endpoint.
bool Dispatcher::State::tells_of_endpoint(const event::AttemptEnded& attempt, const Call& call) const {
  if (attempt.outcome == Outcome::not_sent) return false;
  return attempt.outcome != Outcome::cancelled ||
         call.sent_at >= call.endpoint->health.record().last_served_at;
}

void Dispatcher::State::after_attempt(Message& message, EndpointState& endpoint, Time sent_at,
                                      const event::AttemptEnded& attempt) {
  const Outcome outcome = attempt.outcome;
  const bool never_ran =
      outcome == Outcome::rejected || outcome == Outcome::connect_failed || outcome == Outcome::not_sent;
  if (!never_ran && (!message.possible_execution_zone || sent_at < message.possible_execution_sent_at)) {
    message.possible_execution_zone = endpoint.info.zone;
    message.possible_execution_sent_at = sent_at;
  }
  const bool may_run_on =
      outcome == Outcome::timeout || outcome == Outcome::reset || outcome == Outcome::cancelled;
  if (may_run_on && !message.order_key.empty())
    order_keys.keep_quiet(message.order_key, round.now() + settings.order_key_quiet_period);
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
  const Time least = micros(initial_backoff(round));
  round.emit(action::Reject{message.id, std::max(std::min(retry_after, settings.max_retry_after), least)});
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
  if (!has_room_in_batch(*endpoint) && endpoint->health.is_healthy() &&
      !directory.scope_of(*endpoint).limiter.admit(round))
    return false;
  send(message, *endpoint);
  return true;
}

// Guards against a connection that comes up when the key is forgotten: the message would run twice.
Time Dispatcher::State::start_within(const Message& message) const {
  return has_key_window(message) ? latest_send_time(round, message) - round.now() : 0;
}

// Guards against calls taken and never answered: they would hold their places, and repeatable messages, until
// the long time-out that slow destinations need. Cancelled are calls that later ones have overtaken and,
// sooner, while calls are exhausted, also those since whose send nothing was served there. Unrepeatable
// messages, which it loses, have a latency objective's time first. May cut a call that is merely slow.
void Dispatcher::State::cancel_if_overdue(Message& message, CallSlots slots) {
  const auto [attempt, call_id] = *message.in_flight.begin();
  const Call& call = calls.at(call_id);
  const EndpointState& endpoint = *call.endpoint;
  const bool exhausted = slots == CallSlots::exhausted;
  const bool overtaken = call.sent_at < endpoint.health.record().latest_served_sent_at;
  const bool silent =
      call.sent_at >= endpoint.health.record().last_served_at;  // else it is slow, but at work
  if (message.cancelled_attempt == attempt || !(overtaken || (exhausted && silent))) return;
  const double objective = seconds(message.message_class->latency_objective);
  const double latencies = exhausted ? kOverdueLatencyMultiple : kCancelLatencies;
  double after = latencies * endpoint.latency.recent() + kOverdueSlackSeconds;
  // Later it has less weight; but where all destinations answer slowly, patience is cheaper than cancelling.
  if (exhausted) after = std::min(after, objective) * std::max(1.0, relative_latency);
  const Time due = call.sent_at + micros(std::max(is_repeatable(message) ? 0 : objective, after));
  if (round.now() < due) return round.wake_up_at(due);
  message.cancelled_attempt = attempt;
  round.emit(action::Cancel{message.id, attempt});
}

// Whether nothing can be done for the message any more; then it is answered.
bool Dispatcher::State::settle_if_hopeless(Message& message) {
  const bool in_flight = !message.in_flight.empty();
  const Time last =
      in_flight ? message.deadline - 2 * settings.min_round_interval : latest_send_time(round, message);
  if (round.now() >= last) {
    settle(message, FinalAnswer::failed);
    return true;
  }
  round.wake_up_at(last);
  if (in_flight) return false;
  const Time until = blocked_until(message, last);
  if (until >= kNever) return false;
  settle(message, FinalAnswer::resubmit, until - round.now());
  return true;
}

void Dispatcher::State::dispatch() {
  const bool exhausted = calls.size() >= static_cast<std::size_t>(settings.max_calls_in_flight);
  const CallSlots slots = exhausted ? CallSlots::exhausted : CallSlots::free;
  std::vector<std::pair<double, Message*>> waiting;
  std::vector<MessageId> ended;
  std::size_t held = 0;
  for (auto& [id, message] : messages) {
    if (message.settled) continue;
    held++;
    if (settle_if_hopeless(message)) {
      ended.push_back(id);
    } else if (!message.in_flight.empty()) {
      if (settings.cancellation) cancel_if_overdue(message, slots);
    } else if (message.not_before > round.now()) {
      round.wake_up_at(message.not_before);
    } else {
      waiting.emplace_back(urgency(round, message, round.now() + micros(kLatencyParameters.initial)),
                           &message);
    }
  }
  std::stable_sort(waiting.begin(), waiting.end(),
                   [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<Message*> unsent;
  for (auto& [urgency, message] : waiting)
    if (!try_send(*message)) unsent.push_back(message);
  reject_least_urgent(held, unsent, ended);
  for (const MessageId id : ended) forget_if_done(messages.find(id));
}

// The buffer nearly full: hands back what is least urgent, rather than have the next messages rejected.
void Dispatcher::State::reject_least_urgent(std::size_t held, std::vector<Message*>& unsent,
                                            std::vector<MessageId>& ended) {
  const auto high_water = static_cast<std::size_t>(kBufferHighWater * settings.max_open_messages);
  for (; held > std::max<std::size_t>(high_water, 1) && !unsent.empty(); held--, unsent.pop_back()) {
    Message& message = *unsent.back();
    if (!is_safe_to_resubmit(message)) continue;
    settle(message, FinalAnswer::resubmit);
    ended.push_back(message.id);
  }
}

}  // namespace dispatch
