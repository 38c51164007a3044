// Polls the endpoint list and decides whether a cached list may be used until an answer arrives.
#include <algorithm>
#include <utility>

#include "dispatcher_state.hpp"
#include "shared_constants.hpp"

namespace dispatch {
namespace {

/// Seconds after a change of the list from which the relay is expected to know it, received or not.
constexpr double kListChangeKnownAfter = 6;
/// Seconds of that time that are reserved for the answer to a poll.
constexpr double kPollAnswerReserve = 1;
/// The longest time, in seconds, that may pass between a change of the list and the poll that fetches it.
constexpr double kMaxListAge = kListChangeKnownAfter - kPollAnswerReserve;
/// Mean time, in seconds, between two polls of a large fleet, counted over all relays.
constexpr double kFleetPollInterval = 0.1;
/// The longest time, in seconds, between two polls of the agent that discovery pushes the list to.
constexpr double kMaxAgentPollInterval = 0.25;
/// The longest time between two polls of that agent, as a fraction of the drain grace.
constexpr double kAgentPollGraceFraction = 0.125;

}  // namespace

// Schedules a poll for the current list. With list_is_pushed the answer is expected soon, and no message is
// sent on the basis of the cached list until then.
void Dispatcher::State::on_cached_list() {
  if (!settings.subscribes_to_list) return;
  next_poll_at = round.now() + micros(round.uniform() * poll_spread());
  if (settings.list_is_pushed)
    wait_for_list_until =
        round.now() + micros(std::min(2 * agent_poll_interval(), round.shortest_objective() / 2));
}

// When all relays lose the subscription at once, they poll one after the other, and less often the longer
// polls fail. The known list stays in use meanwhile. With list_is_pushed, a relay is expected to know missed
// changes at once, or soon after a silence or a relocation. It therefore polls at once or after the agent
// poll interval, which is short compared with that time.
void Dispatcher::State::on(const event::EndpointListSubscriptionLost& loss) {
  const bool was_subscribed = std::exchange(subscribed, false);
  const bool failed = loss.reason == event::SubscriptionLossReason::failed;
  const bool relocated = loss.reason == event::SubscriptionLossReason::relocated;
  if (!relocated) wait_for_list_until = std::min(wait_for_list_until, round.now());
  if (settings.list_is_pushed) {
    const double interval = agent_poll_interval();
    const bool poll_now = (was_subscribed || relocated) && round.now() - last_poll_at > micros(interval);
    next_poll_at = poll_now ? round.now() : round.now() + micros(jittered(round, interval));
    return;
  }
  // The poll or subscription that just ended brought no change. A change may be unnoticed for as long as it
  // lasted.
  Time unnoticed_for = settings.subscription_timeout;
  if (failed) unnoticed_for = was_subscribed ? 0 : settings.poll_timeout;
  const double spread = std::min(poll_spread(), kMaxListAge - seconds(unnoticed_for));
  if (!failed) {
    next_poll_at = round.now() + micros(round.uniform() * spread);
    return;
  }
  const double min_delay = was_subscribed ? 0 : spread / 2;
  const double spread_delay = min_delay + round.uniform() * (spread - min_delay);
  const double backoff = jittered(round, poll_backoff);
  next_poll_at = round.now() + micros(std::max(backoff, spread_delay));
  poll_backoff =
      std::min(2 * poll_backoff, limit_before_jitter(kMaxListAge - seconds(settings.poll_timeout)));
}

// Returns the seconds between two polls of an agent that does not answer. They are short enough to learn of a
// drain within its grace.
double Dispatcher::State::agent_poll_interval() const {
  if (settings.drain_grace <= 0) return kMaxAgentPollInterval;
  return std::min(kAgentPollGraceFraction * seconds(settings.drain_grace), kMaxAgentPollInterval);
}

// Returns the seconds over which the relays of a large fleet spread their polls. Guards against overloading
// discovery: the polls of many relays that start or lose their subscription together would keep it from
// answering any of them. Also guards against a list that misses changes for longer than
// kListChangeKnownAfter.
double Dispatcher::State::poll_spread() const {
  if (!is_large_fleet(settings) || settings.list_is_pushed) return 0;
  return std::min(kFleetPollInterval * settings.relay_count, kMaxListAge);
}

void Dispatcher::State::poll_list() {
  if (!settings.subscribes_to_list) return;
  if (round.now() < next_poll_at) return round.wake_up_at(next_poll_at);
  next_poll_at = kNever;  // the poll ends with exactly one event: a list or a lost subscription
  last_poll_at = round.now();
  round.emit(action::Subscribe{true});
}

// Returns whether messages may be sent on the basis of the known list. A cached list is used, and this is
// logged, once the wait for a current one is over.
bool Dispatcher::State::may_use_list() {
  if (wait_for_list_until <= 0) return true;
  if (round.now() < wait_for_list_until) {
    round.wake_up_at(wait_for_list_until);
    return false;
  }
  round.log("endpoint_list_cached_in_use cause=no_list_received");
  wait_for_list_until = 0;
  return true;
}

}  // namespace dispatch
