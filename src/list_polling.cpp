// When the endpoint list is fetched again, and whether a cached one may be used until then.
#include <algorithm>
#include <utility>

#include "dispatcher_state.hpp"
#include "shared_constants.hpp"

namespace dispatch {
namespace {

constexpr double kAssumedKnownAfter = 6;  // seconds after a change, arrived or not, it counts as known;
constexpr double kAnswerTime = 1;         // seconds; this is kept back for the answer to come
constexpr double kMaxListAge = kAssumedKnownAfter - kAnswerTime;
constexpr double kPollSpacing = 0.1;  // seconds between the polls of all relays of a large fleet together
constexpr double kMaxPushedPollGap = 0.25;  // seconds
constexpr double kPollGapOfGrace = 0.125;   // part of a drain's grace

}  // namespace

void Dispatcher::State::on_cached_list() {
  if (!settings.subscribes_to_list) return;
  next_poll_at = round.now() + micros(round.uniform() * poll_spread());
  if (settings.list_is_pushed)
    wait_for_list_until =
        round.now() + micros(std::min(2 * pushed_poll_gap(), round.shortest_objective() / 2));
}

// Lost by all relays at once, the list is polled by one after the other; the longer polls fail, the rarer.
// What is known serves meanwhile. Where lists are pushed, what it misses binds at once, and after silence or
// a move soon, so there it is polled at once, or within a part of that.
void Dispatcher::State::on(const event::EndpointListSubscriptionLost& loss) {
  const bool was_subscribed = std::exchange(subscribed, false);
  const bool failed = loss.reason == event::SubscriptionLossReason::failed;
  const bool relocated = loss.reason == event::SubscriptionLossReason::relocated;
  if (!relocated) wait_for_list_until = std::min(wait_for_list_until, round.now());
  if (settings.list_is_pushed) {
    const double gap = pushed_poll_gap();
    const bool at_once = (was_subscribed || relocated) && round.now() - last_poll_at > micros(gap);
    next_poll_at = at_once ? round.now() : round.now() + micros(jittered(round, gap));
    return;
  }
  // Until it is polled, a change may have waited as long as the poll or the watch that brought none.
  Time waited = settings.subscription_timeout;
  if (failed) waited = was_subscribed ? 0 : settings.poll_timeout;
  const double spread = std::min(poll_spread(), kMaxListAge - seconds(waited));
  if (!failed) {
    next_poll_at = round.now() + micros(round.uniform() * spread);
    return;
  }
  const double least = was_subscribed ? 0 : spread / 2;
  const double turn = least + round.uniform() * (spread - least);
  const double backoff = jittered(round, poll_gap);
  next_poll_at = round.now() + micros(std::max(backoff, turn));
  poll_gap = std::min(2 * poll_gap, limit_before_jitter(kMaxListAge - seconds(settings.poll_timeout)));
}

// Between two polls of an agent that does not answer: often enough to hear of a drain within its grace.
double Dispatcher::State::pushed_poll_gap() const {
  if (settings.drain_grace <= 0) return kMaxPushedPollGap;
  return std::min(kPollGapOfGrace * seconds(settings.drain_grace), kMaxPushedPollGap);
}

// Guards against a discovery that the polls of many relays, started or cut off together, keep from answering
// any; and against a list that is older than the time after which its changes count as known.
double Dispatcher::State::poll_spread() const {
  if (!is_large_fleet(settings) || settings.list_is_pushed) return 0;
  return std::min(kPollSpacing * settings.relay_count, kMaxListAge);
}

void Dispatcher::State::poll_list() {
  if (!settings.subscribes_to_list) return;
  if (round.now() < next_poll_at) return round.wake_up_at(next_poll_at);
  next_poll_at = kNever;  // one answer or one loss comes
  last_poll_at = round.now();
  round.emit(action::Subscribe{true});
}

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
