// The decisions of dispatch. Interface: include/dispatch/dispatcher.hpp
//
// Read top to bottom: constants; what is kept of endpoints, rate limits and messages; learning from
// outcomes (LIMD delay, pace, health); the list; the one gate that every send passes; choosing what goes
// next; ends and timers.
#include "dispatch/dispatcher.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>

#include "learned_state.hpp"
#include "rate_estimator.hpp"
#include "records.hpp"
#include "time_units.hpp"

namespace dispatch {
namespace {

// ---- Constants. Times in seconds, unless derived from settings where they are used. ----
// LIMD. The source's example figures are 2, 4, 1 with factor 0.2; their ratios are kept, the unit is
// a share of the shortest aim, because its seconds are long against our deadlines.
constexpr double kBackoffUnitOfObjective = 0.1;
constexpr double kInitialDelay = 2, kDelayIncrement = 4, kMinDelay = 1, kMaxDelay = 20;  // in units
constexpr double kDelayDecrease = 0.2, kJitter = 0.25;
constexpr double kDelayHalfLife = 20;  // units: an unused D halves in this time
// Pace.
constexpr double kServedRateMemory = 4;  // memory of served-rate estimates
constexpr double kDemandMemory = 30;     // and of what a relay asks of an endpoint, calls a minute
constexpr double kRateDecrease = 0.85;   // on a further refusal
constexpr double kRejectionGap = 0.3;    // refusals closer than this are one event
constexpr double kInitialServedAfterRejection = 0.25,
                 kServedAfterRejectionGain = 0.1;  // share served after a refusal: assumed; weight
constexpr double kRateGrowth = 0.15;               // growth a second while calls are served
constexpr double kRateStep = 0.25;                 // and calls in a shortest aim, a second, on top
constexpr double kMaxRateOverServed = 1.25;  // a cut starts from no more than this times the served rate
constexpr double kMinRecentServes = 2;       // recent serves under which a relay's own pace says little
constexpr double kMinAdmission = 0.02,
                 kAdmissionDecrease = 0.5;  // share let through: at least, and after a refusal
constexpr double kGossipGap =
    0.03;                           // seconds between notes of all relays together: they cost by the receiver
constexpr int kSmallFleet = 8;      // up to which the signs that each relay needs by itself are not too many
constexpr double kBurstTime = 0.3;  // seconds of pace that may be saved up
// Pace by shares of a limit that was told, one for each relay of many. Times such a share:
constexpr double kQuotaDecrease = 0.5, kMinQuota = 0.3;  // factor on a refusal, and the least
constexpr double kSafeQuota = 0.8,
                 kQuotaGrowth = 0.25;  // with which the limit fills again; growth to it a second
constexpr double kInitialQuota = 1;    // before the first answer
constexpr double kAmpleRemaining = 0.5,
                 kQuotaIncrement = 0.2;  // on a serve that tells of this part of the limit left
constexpr double kMaxQuota = 4;          // above it the pace is unbounded again
// One pace for all thin targets, whose told limits leave this relay less than so many calls in a shortest
// deadline.
constexpr double kLowRateCalls = 1;
constexpr double kTargetRejectedShare = 0.23;  // share of calls refused that is held: 0.3 for each one served
constexpr double kLowRateGain = 0.05;          // weight of the newest call in that share, and in the pace
constexpr double kMinDemandFactor = 0.1,
                 kMaxDemandFactor = 2;  // times what is asked for; above it the pace is unbounded again
constexpr double kMinBurstCalls = 2;    // calls that may be saved up at least
// Health.
constexpr int kEjectionFailures = 3;        // bad signs without a serve that close an endpoint
constexpr int kShutRejections = 4;          // refusals without a serve that mean shut, not limited,
constexpr double kShutTime = 1.5;           // when they span this time
constexpr double kMaxFailureShare = 0.5;    // share of failing calls that closes an endpoint
constexpr double kFailureShareGain = 0.15;  // weight of the newest call in that share
constexpr double kOverdueLatencies = 4;     // a call out this many usual latencies, plus
constexpr double kOverdueSlack = 0.3;       // this, is a bad sign
constexpr double kOverloadBudgetSmallFleet =
    0.9;  // part of the push-over budget used; two thirds where own rates are
constexpr double kOverloadBudgetLargeFleet = 0.67;  // guesses, of many relays: so much alone breaks the rule
constexpr double kMinEndpointRate = 3;  // calls a second of all relays that an endpoint is taken to get
constexpr double kEvidenceTime = 3;     // seconds of own calls that must fail to close, kCloseRun at most
// Stray failures: resets and errors at endpoints that serve on.
constexpr double kIsolatedFailureGain = 0.02;      // weight of the newest call in their share,
constexpr double kOwnIsolatedFailureGain = 0.1;    // and in the share of one endpoint, which sees fewer
constexpr double kMinIsolatedFailureShare = 0.05;  // share from which on they are reckoned with
constexpr double kMaxChance = 0.003;       // a run that is likelier than this by chance closes nothing
constexpr int kIsolatedFailuresOfRun = 2;  // of one run counted at most: the rest may be an outage
constexpr int kMaxEjectionFailures = 8;    // bad signs that close whatever the chance
// Queue.
constexpr double kGainWeight = 0.3;  // weight of what a message has to win, against what it loses by waiting
// Slots.
constexpr double kEndpointSlots = 0.5;   // share of the slots for one endpoint at most
constexpr double kProbeSlots = 0.25;     // for trial calls of all closed endpoints
constexpr double kSuspectSlots = 0.125;  // while doubtful
constexpr int kFreeCalls = 3;            // calls out that need no served rate to justify them
// Time-outs.
constexpr double kTimeoutLatencies = 8;               // usual latencies
constexpr double kRepeatableTimeoutObjectives = 2.5;  // least time-out of repeatable messages, in aims
constexpr double kUnrepeatableTimeoutObjectives = 5;  // and of the others, which a time-out loses
constexpr double kLatencyGain = 0.2, kTypicalLatencyGain = 0.02,
                 kSlownessGain = 0.1;     // weights of the newest answer
constexpr double kMaxSlowness = 20;       // one answer counts as no more usual latencies than this
constexpr double kInitialLatency = 0.25;  // assumed before the first answer
// Connections.
constexpr double kUseGapGain = 0.3, kMaxUseGap = 100;  // weight of the newest gap between calls; the longest
constexpr double kSparedIdleConnections =
    8;  // idle connections of all relays that a crowded endpoint is trusted to spare
constexpr double kLongUseGap = 2.5;  // mean gaps, in idle times, over which it is hardly used again
constexpr double kCrowdedTime =
    30;  // seconds for which it is taken to be crowded after a connect that failed
// List and buffer.
constexpr double kMinTimeLeft = 0.05;    // of the shortest aim: with less time left, nothing is sent any more
constexpr double kInitialPollGap = 0.5;  // the first gap after a call that failed
constexpr double kPollSpacing =
    0.1;  // seconds between the calls for the list of all relays together, where many
// A change counts as told so long after it, arrived or not; this is kept back for the answer to come.
constexpr double kAssumedKnownAfter = 6, kPollAnswerTime = 1;
constexpr double kPollGapOfGrace = 0.125, kMaxPushedPollGap = 0.25;  // share of a drain's grace; seconds
constexpr double kBufferHighWater = 0.92;  // above this share of the buffer the least worth is refused

const std::string kGossipRejected = "1r";  // a note between relays: its version, its kind, then the endpoint
constexpr double kUnlimited = std::numeric_limits<double>::infinity();

}  // namespace

struct RateLimitScope {            // what shares one limit: a destination, or a route apart
  double delay = 0;                // D, in seconds; 0: no failure remembered
  Time delay_changed_at = 0;       // when D last changed (a round counts as one failure)
  double rate_limit = kUnlimited;  // calls a second of this relay
  double tokens = 1;
  Time tokens_at = 0, decreased_at = -kNever, raised_at = 0;
  Time retry_after_until = 0;  // told wait
  double limit = 0;            // calls a second that it takes of all relays together, as told; 0: not told
  RateEstimator served{kServedRateMemory};
  int rejections = 0, failures = 0;  // since the last serve
  std::size_t kind = 0;
  template <class F>
  void visit_learned_fields(F&& f) {
    f(delay), f(delay_changed_at), f(rate_limit), f(tokens), f(tokens_at), f(decreased_at), f(raised_at),
        f(retry_after_until), served.visit_learned_fields(f);
    f(rejections), f(admission_probability), f(admission_changed_at), f(gossiped_at), f(admission_held_until),
        f(first_rejection_at), f(limit);
  }
  double admission_probability =
      1;  // share of attempts let through after refusals that this relay or others met
  Time admission_changed_at = -kNever, gossiped_at = -kNever, admission_held_until = 0;
  Time first_rejection_at = 0;
};

enum class HealthState { healthy, ejected, slow_start };

struct EndpointState {
  Endpoint info;
  RateLimitScope own;  // used where routes are apart
  bool independent_route = false;
  int max_batch_size = 1, batch_size = 1;  // messages in a call: at most, and as trusted now
  std::set<std::uint64_t> calls;           // out, oldest first
  double latency = kInitialLatency;        // recent, stretched by calls without an answer
  double typical_latency = 0;              // long-run latency of the served ones
  RateEstimator served{kServedRateMemory}, demand{kDemandMemory};  // calls served; first tries while open
  double failure_share = 0;
  int consecutive_failures = 0;                // failed calls since the last serve
  int isolated_failures = 0;                   // resets and errors among them
  double isolated_failure_share = 0;           // of its calls that fail while it serves on
  Time served_at = 0, newest_served_send = 0;  // last serve, and the newest send among those served
  bool last_failure_may_have_run = false;      // the last failure may have run
  bool idle_connections_closed = false;        // idle connections were dropped in this spell
  double mean_use_gap = 0;                     // between calls, in the mean
  Time last_used_at = -kNever;                 // last time a call began or ended
  HealthState health = HealthState::healthy;
  bool suspended = false;        // by operators
  double expected_rate = 0;      // served calls a second before the trouble
  Time health_changed_at = 0;    // of the present health
  double slow_start_tokens = 0;  // calls allowed while closed or in the ramp
  Time slow_start_tokens_at = 0, next_probe_at = 0;
  int concurrency_cap = 0;  // calls out at which connects failed; 0: unknown
  Time concurrency_cap_changed_at = 0, last_connect_failure_at = -kNever;
  std::uint64_t current_call = 0;  // call begun in this round, for bundling
  template <class F>
  void visit_learned_fields(F&& f) {
    own.visit_learned_fields(f), served.visit_learned_fields(f), demand.visit_learned_fields(f);
    f(batch_size), f(latency), f(typical_latency), f(failure_share), f(consecutive_failures),
        f(isolated_failures), f(isolated_failure_share), f(served_at);
    f(newest_served_send), f(last_failure_may_have_run), f(idle_connections_closed), f(mean_use_gap),
        f(last_used_at), f(health), f(expected_rate), f(health_changed_at);
    f(slow_start_tokens), f(slow_start_tokens_at), f(next_probe_at), f(concurrency_cap),
        f(concurrency_cap_changed_at), f(last_connect_failure_at);
  }
};

struct DestinationState {
  RateLimitScope scope;  // used where endpoints share a limit
  std::vector<EndpointState*> endpoints;
};

struct LowRatePacer {  // of all calls to thin targets together
  double demand_factor = kUnlimited, tokens = 1,
         refused = 0;  // what is asked for; calls saved up; share refused lately
  Time at = 0;
  RateEstimator demand{kDemandMemory};
  template <class F>
  void visit_learned_fields(F&& f) {
    f(demand_factor), f(tokens), f(refused), f(at), demand.visit_learned_fields(f);
  }
};

struct OrderKeyQueue {
  std::deque<MessageId> message_ids;
  Time quiet_until = 0;
};

struct FleetStatistics {  // learnt of no endpoint in particular
  std::vector<double>
      served_after_rejection;         // by kind: share of calls served that come after a refusal there
  double isolated_failure_share = 0;  // of calls that fail at endpoints which serve on
  double slowness = 1;                // recent latencies of all serves, in usual ones
  template <class F>
  void visit_learned_fields(F&& f) {
    f(isolated_failure_share), f(slowness);
    for (auto& share : served_after_rejection) f(share);
  }
};

struct Dispatcher::State : FleetStatistics {
  Settings settings;
  std::mt19937_64 random;
  Time now = 0;
  std::vector<Action>* out = nullptr;
  std::map<EndpointId, EndpointState> endpoints;
  std::map<DestinationId, DestinationState> destinations;
  std::map<MessageId, Message> messages;
  std::map<std::string, OrderKeyQueue> keys;
  std::deque<std::pair<Time, std::string>>
      quiet_keys;  // keys after an attempt in doubt, soonest rested first
  bool list_changed = false;
  std::map<std::uint64_t, Call> calls;
  std::uint64_t next_call = 1;
  std::vector<double> tenant_tokens;
  std::vector<Time> tenant_tokens_at;
  double backoff_unit = 0.1, shortest_objective = 1, shortest_deadline = 1;
  LowRatePacer low_rate;
  Time next_gossip_at = 0, timer_at = kNever, next_poll_at = kNever, last_poll_at = -kNever,
       next_wakeup = kNever;
  Time wait_for_list_until = 0;  // until then nothing is sent by the list of an earlier life
  bool subscribed = false;
  double poll_gap = kInitialPollGap;
  std::set<EndpointId> suspended;                          // by operators, listed or not
  std::map<std::uint64_t, std::uint64_t> recovered_calls;  // calls of an earlier life, and their numbers here
  std::set<EndpointId> endpoints_with_ended_calls;         // endpoints at which a call ended in this round

  State(const Settings& s, std::uint64_t seed) : settings(s), random(seed) {
    shortest_objective = seconds(settings.classes[0].latency_objective),
    shortest_deadline = seconds(settings.classes[0].deadline);
    for (const auto& c : settings.classes) {
      shortest_objective = std::min(shortest_objective, seconds(c.latency_objective));
      shortest_deadline = std::min(shortest_deadline, seconds(c.deadline));
    }
    backoff_unit = kBackoffUnitOfObjective * shortest_objective;
    for (const auto& t : settings.tenants) tenant_tokens.push_back(tenant_burst(t));
    served_after_rejection.assign(settings.kinds.size() + 1, kInitialServedAfterRejection);
    tenant_tokens_at.assign(settings.tenants.size(), 0);
  }

  double uniform() { return static_cast<double>(random() >> 11) * 0x1.0p-53; }
  double overload_budget() const {
    return settings.relay_count > kSmallFleet ? kOverloadBudgetLargeFleet : kOverloadBudgetSmallFleet;
  }
  double jittered(double d) { return d * (1 + kJitter * (2 * uniform() - 1)); }
  double tenant_burst(const TenantSettings& t) const {
    return 2 + 2 * t.quota_per_second / settings.relay_count;
  }
  void log(const std::string& text) { out->push_back(action::Log{text}); }
  void wake_up_at(Time t) {
    next_wakeup = std::min(next_wakeup, std::max(t, now + settings.min_round_interval));
  }

  RateLimitScope& scope_of(EndpointState& e) {
    return e.independent_route ? e.own : destinations[e.info.destination].scope;
  }

  // ---- The LIMD delay: fixed step up on failure, factor down on success, aged when unused. ----
  double current_delay(const RateLimitScope& t) const {
    const double aged =
        t.delay * std::exp2(-seconds(now - t.delay_changed_at) / (kDelayHalfLife * backoff_unit));
    return aged < kMinDelay * backoff_unit / 2 ? 0 : aged;
  }
  void increase_delay(RateLimitScope& t) {
    // Departure: failures told in one round are one event, else calls out together multiply D.
    if (t.delay > 0 && t.delay_changed_at == now) return;
    const double d = current_delay(t);
    t.delay = d == 0 ? kInitialDelay * backoff_unit
                     : std::min(d + kDelayIncrement * backoff_unit, kMaxDelay * backoff_unit);
    t.delay_changed_at = now;
  }
  void decrease_delay(RateLimitScope& t) {
    const double d = current_delay(t);
    t.delay = d == 0 ? 0 : std::max(d * kDelayDecrease, kMinDelay * backoff_unit);
    t.delay_changed_at = now;
  }

  // ---- The pace: unbounded, set at the first refusal, cut on further ones, raised while served. ----
  // A relay that calls seldom has no served rate to go by: it may make one call a D, rarer with each refusal
  // in a row, the more so where such calls were mostly refused again (refused calls use up some limits).
  // Few relays need not go below one call in the longest D. Guards against a pace that a burst of refusals
  // cuts to one call in hours, from which no serve ever raises it.
  double min_rate(const RateLimitScope& t) const {
    const double least = std::pow(served_after_rejection[t.kind], t.rejections) /
                         std::max(current_delay(t), kInitialDelay * backoff_unit);
    return settings.relay_count > kSmallFleet ? least : std::max(least, 1 / (kMaxDelay * backoff_unit));
  }
  void record_after_rejection(const RateLimitScope& t, double served) {
    double& share = served_after_rejection[t.kind];
    if (t.rejections > 0) share += kServedAfterRejectionGain * (served - share);
  }
  // This relay's part of a limit that was told: all relays at it together just use the limit. 0: none told,
  // or few relays, whose own rates tell more.
  double quota(const RateLimitScope& t) const {
    return settings.relay_count > kSmallFleet ? t.limit / settings.relay_count : 0;
  }
  bool is_low_rate(const RateLimitScope& t) const {
    const double part = quota(t);
    return part > 0 && part * shortest_deadline < kLowRateCalls;
  }
  double token_quota(const RateLimitScope& t) const { return is_low_rate(t) ? 0 : quota(t); }
  // Until its answers tell the limit, the list's weight stands for it. Guards against a release: the relays
  // that were killed together know nothing, and all that comes to them again would go to the endpoints at
  // once.
  void start_limited(RateLimitScope& t, double weight) {
    if (t.limit > 0 || settings.weights == WeightKind::none) return;
    t.limit = weight;
    if (token_quota(t) == 0) return;
    t.rate_limit = kInitialQuota * token_quota(t);
    t.tokens = uniform(), t.tokens_at = t.raised_at = now;
  }
  void on_rejection_at_limit(RateLimitScope& t) {
    if (now - t.decreased_at < micros(kRejectionGap)) return;
    if (const double part = token_quota(t); part > 0) {
      const double from = std::min(t.rate_limit, std::max(part, t.served.rate(now)));
      t.rate_limit = std::max(from * kQuotaDecrease, kMinQuota * part);
      t.decreased_at = t.raised_at = now;
      // Refused together, told the same wait and paced alike, they would all come again together: nothing is
      // saved up until the wait is over, and each goes on from anywhere around nothing.
      t.tokens = uniform() - 0.5, t.tokens_at = std::max(now, t.retry_after_until);
      return;
    }
    const double least = min_rate(t), recent = std::max(t.served.rate(now), least);
    if (t.rate_limit == kUnlimited) t.tokens = 0;
    t.rate_limit = t.rate_limit == kUnlimited
                       ? recent
                       : std::max(std::min(t.rate_limit, kMaxRateOverServed * recent) * kRateDecrease, least);
    t.decreased_at = t.raised_at = t.tokens_at = now;
  }
  // What all relays meet: a share of the attempts let through, cut and raised as the pace is, told to the
  // others where notes are allowed. Guards against a limit that hundreds of relays overrun, each with a call
  // a minute and no rate of its own to pace by. A note is a hint: it closes nothing; its effect grows back.
  // May hold messages needlessly for a few seconds where a refusal was a passing clump's.
  double admission_probability(const RateLimitScope& t) const {
    return std::min(1.0,
                    t.admission_probability * std::exp(kRateGrowth * seconds(now - t.admission_changed_at)));
  }
  void reduce_admission(RateLimitScope& t, const EndpointState& e, bool own) {
    const double cut = std::clamp(2 * served_after_rejection[t.kind], kAdmissionDecrease, 1.0);
    // Where most calls after a refusal are served, waiting D is enough.
    if (cut >= 1 || now - t.admission_changed_at < micros(kRejectionGap) || token_quota(t) > 0) return;
    t.admission_probability = std::max(kMinAdmission, admission_probability(t) * cut);
    t.admission_changed_at = now;
    const bool tell =
        own && settings.gossip && now >= next_gossip_at && now - t.gossiped_at >= micros(shortest_objective);
    if (tell) out->push_back(action::SendGossip{-1, kGossipRejected + e.info.id});
    if (tell) next_gossip_at = now + micros(jittered(kGossipGap * settings.relay_count));
    if (tell || !own) t.gossiped_at = now;
  }
  // Whether this attempt is let through; else the target is held for a while.
  bool admits(RateLimitScope& t) {
    double share = admission_probability(t);
    // Refused twice and not served between: it may be shut, so no more than it stands when it returns cold.
    // With few relays the run of refusals that closes comes soon enough; one of each of many is too much.
    if (t.rejections >= 2 && settings.relay_count > kSmallFleet && token_quota(t) == 0)
      share = std::min(share, settings.overload_multiple * overload_budget() * settings.slow_start_capacity);
    if (t.served.rate(now) * kServedRateMemory >= kMinRecentServes || uniform() < share) return true;
    t.admission_held_until = now + micros(jittered(kMaxDelay * backoff_unit));
    return wake_up_at(t.admission_held_until), false;
  }
  void on(const event::GossipReceived& ev) {
    if (ev.payload.rfind(kGossipRejected, 0) != 0) return;
    const auto it = endpoints.find(ev.payload.substr(kGossipRejected.size()));
    if (it != endpoints.end()) reduce_admission(scope_of(it->second), it->second, false);
  }
  // Its own serves teach a relay that calls seldom too slowly that a limit has room again; what the answers
  // tell of all relays' calls does. Guards against a limit left half unused while messages for it die.
  void raise_rate(RateLimitScope& t, const LoadReport& report) {
    if (const double part = token_quota(t); part > 0 && t.rate_limit != kUnlimited) {
      if (report.remaining_fraction >= kAmpleRemaining)
        t.rate_limit = std::max(t.rate_limit + kQuotaIncrement * part, kSafeQuota * part);
      if (t.rate_limit > kMaxQuota * part) t.rate_limit = kUnlimited;
      t.raised_at = now;
      return;
    }
    const double dt = std::min(seconds(now - t.raised_at), std::max(1.0, 2 / t.rate_limit));
    if (t.rate_limit != kUnlimited)
      t.rate_limit += dt * (kRateGrowth * t.rate_limit + kRateStep / shortest_objective);
    t.raised_at = now;
  }
  Time token_ready_at(RateLimitScope& t) {
    if (t.rate_limit == kUnlimited) return now;
    if (now < t.tokens_at) return t.tokens_at;
    // Of a refusal long ago nothing is left but that all relays together stay below the limit.
    if (const double part = token_quota(t); t.rate_limit < kSafeQuota * part)
      t.rate_limit =
          std::min(kSafeQuota * part, t.rate_limit + kQuotaGrowth * part * seconds(now - t.tokens_at));
    t.tokens = std::min(t.tokens + t.rate_limit * seconds(now - t.tokens_at),
                        std::max(1.0, t.rate_limit * kBurstTime));
    t.tokens_at = now;
    return t.tokens >= 1 ? now : now + micros((1 - t.tokens) / t.rate_limit) + 1;
  }

  // ---- The pace of all thin targets together. A share of a limit that is a call in minutes says nothing to
  // a message that lives for seconds; how calls fare over all such targets tells in seconds what the fleet
  // asks of them. Guards against limits left unused by thousands of shares, and against a fleet that has no
  // other sign of asking too much. May hold back calls to sound targets while most others are over their
  // limits.
  Time low_rate_ready_at(const RateLimitScope& t, const Message& m) {
    if (low_rate.demand_factor == kUnlimited || !is_low_rate(t)) return now;
    const double rate_limit = low_rate.demand_factor * low_rate.demand.rate(now),
                 most = std::max(kMinBurstCalls, rate_limit * shortest_objective);
    low_rate.tokens = std::min(low_rate.tokens + rate_limit * seconds(now - low_rate.at), most);
    low_rate.at = now;
    // What is short goes to first tries: most of a destination's retries are refused again while it is full.
    const double need = m.attempts_made > 0 ? std::max(1.0, most / 2) : 1;
    return low_rate.tokens >= need ? now
                                   : now + micros((need - low_rate.tokens) / std::max(rate_limit, 1e-9)) + 1;
  }
  void record_low_rate_demand(const Message& m) {
    const auto d = destinations.find(m.destination);
    if (d == destinations.end() || d->second.endpoints.empty()) return;
    if (is_low_rate(scope_of(*d->second.endpoints.front()))) low_rate.demand.add_event(now);
  }
  void record_low_rate_outcome(const RateLimitScope& t, bool refused) {
    if (!is_low_rate(t)) return;
    low_rate.refused += kLowRateGain * (refused - low_rate.refused);
    if (low_rate.demand_factor != kUnlimited)
      low_rate.demand_factor =
          std::max(kMinDemandFactor,
                   low_rate.demand_factor * std::exp(kLowRateGain * (kTargetRejectedShare - refused)));
    else if (low_rate.refused > kTargetRejectedShare)
      low_rate.demand_factor = low_rate.tokens = 1, low_rate.at = now;
    if (low_rate.demand_factor > kMaxDemandFactor) low_rate.demand_factor = kUnlimited;
  }

  // ---- Health: one ladder for every symptom. ----
  int overdue(const EndpointState& e) const {
    const Time late = micros(kOverdueLatencies * e.latency + kOverdueSlack);
    int n = 0;
    // Only calls sent since the last serve: one lost among many answered is no sign of silence.
    for (auto id : e.calls) n += now - calls.at(id).sent_at > late && calls.at(id).sent_at >= e.served_at;
    return n;
  }
  void eject(EndpointState& e, const char* why) {
    if (e.health == HealthState::healthy) {
      // Each relay starts anywhere between two of its trials, else those of many would come together.
      e.expected_rate = expected_rate(e), e.slow_start_tokens = uniform(), e.slow_start_tokens_at = now;
    }
    if (e.health != HealthState::ejected) log("endpoint_ejected endpoint=" + e.info.id + " cause=" + why);
    e.health = HealthState::ejected;
    e.health_changed_at = now;
    e.next_probe_at = now + probe_gap(e);
  }
  // Calls a second that this relay may count on as its part of what an endpoint takes when it is sound: what
  // it asked of it, or its share of a limit that was told, which is less than the capacity.
  double expected_rate(EndpointState& e) {
    const auto siblings =
        static_cast<double>(e.independent_route ? 1 : destinations[e.info.destination].endpoints.size());
    const double part = quota(scope_of(e)) / std::max(1.0, siblings);
    return std::max({e.demand.rate(now), part, part > 0 ? 0 : kMinEndpointRate / settings.relay_count});
  }
  Time probe_gap(EndpointState& e) {
    return micros(jittered(std::max(current_delay(scope_of(e)), kInitialDelay * backoff_unit)));
  }
  // Calls a second that an endpoint out or returning may get from this relay: its part, by its own first
  // tries, of what the endpoint stands for sure. No floor: with hundreds of relays that each see a call a
  // minute, floors of one call each would push it over. What is known of an outage ages out.
  Time health_span() const { return std::max(settings.slow_start_duration, micros(shortest_objective)); }
  double slow_start_rate(const EndpointState& e) const {
    double warm = settings.slow_start_capacity;
    if (e.health == HealthState::slow_start)
      warm +=
          (1 - settings.slow_start_capacity) * seconds(now - e.health_changed_at) / seconds(health_span());
    const double multiple = settings.overload_multiple * overload_budget() * std::min(warm, 1.0);
    // Not served since: perhaps it returned only now, so no more than was asked of it before, backlog or not.
    return e.expected_rate * (on_probation(e) ? std::min(multiple, 1.0) : multiple);
  }
  Time slow_start_ready_at(EndpointState& e) {
    if (e.health == HealthState::healthy) return now;
    if (now >= e.health_changed_at + health_span()) {
      // The ramp comes after trials too that the budget never allowed: held messages must not go all at once.
      const bool warm = e.health == HealthState::slow_start;
      e.health = warm ? HealthState::healthy : HealthState::slow_start, e.health_changed_at = now;
      if (warm) e.consecutive_failures = 0, e.failure_share = 0;
      log(warm ? "endpoint_healthy endpoint=" + e.info.id + " cause=slow_start_complete"
               : "endpoint_slow_start endpoint=" + e.info.id + " cause=ejection_expired");
      if (warm) return now;
    }
    const Time end = e.health_changed_at + health_span();
    const double rate = slow_start_rate(e);
    e.slow_start_tokens = std::min(1.0, e.slow_start_tokens + rate * seconds(now - e.slow_start_tokens_at));
    e.slow_start_tokens_at = now;
    const Time ready =
        e.slow_start_tokens >= 1
            ? now
            : std::min(end, now + micros((1 - e.slow_start_tokens) / std::max(rate, 1e-9)) + 1);
    return e.health == HealthState::ejected ? std::max(ready, e.next_probe_at) : ready;
  }

  void on_success(EndpointState& e, Time sent, const event::AttemptEnded& ev) {
    const Time latency = ev.latency;
    RateLimitScope& t = scope_of(e);
    e.served_at = now, e.newest_served_send = std::max(e.newest_served_send, sent);
    t.served.add_event(now), e.served.add_event(now);
    record_after_rejection(t, 1), record_low_rate_outcome(t, false);
    t.rejections = t.failures = 0;
    e.latency += kLatencyGain * (seconds(latency) - e.latency);
    if (e.typical_latency == 0) e.typical_latency = seconds(latency);
    slowness += kSlownessGain *
                (std::min(seconds(latency) / std::max(e.typical_latency, 1e-3), kMaxSlowness) - slowness);
    e.typical_latency += kTypicalLatencyGain * (seconds(latency) - e.typical_latency);
    e.failure_share *= 1 - kFailureShareGain;
    decrease_delay(t), raise_rate(t, ev.load_report);
    if (e.health == HealthState::ejected) {
      // Closed on overdue calls alone and they came after all: slow, not out, so nothing is cold.
      e.health = e.consecutive_failures == 0 && e.failure_share < kMaxFailureShare / 2
                     ? HealthState::healthy
                     : HealthState::slow_start;
      // It came back some time since the last failure. Many relays that each take it to be now, one after the
      // other as their trials fall due, would start their ramps seconds late.
      e.health_changed_at = e.health == HealthState::slow_start ? now - (now - e.health_changed_at) / 2 : now;
      e.slow_start_tokens_at = now;
      log(e.health == HealthState::healthy
              ? "endpoint_healthy endpoint=" + e.info.id + " cause=late_answer"
              : "endpoint_slow_start endpoint=" + e.info.id + " cause=probe_succeeded");
    }
    for (; e.isolated_failures > 0; e.isolated_failures--) {
      isolated_failure_share += kIsolatedFailureGain * (1 - isolated_failure_share);
      e.isolated_failure_share += kOwnIsolatedFailureGain * (1 - e.isolated_failure_share);
    }
    isolated_failure_share *= 1 - kIsolatedFailureGain,
        e.isolated_failure_share *= 1 - kOwnIsolatedFailureGain;
    e.consecutive_failures = 0, e.idle_connections_closed = false;
    e.batch_size = std::min(e.batch_size + 1, e.max_batch_size);
    if (e.concurrency_cap > 0 && now - e.concurrency_cap_changed_at > micros(2))
      e.concurrency_cap++, e.concurrency_cap_changed_at = now;
  }
  void on_rejected(EndpointState& e) {
    RateLimitScope& t = scope_of(e);
    increase_delay(t);
    record_after_rejection(t, 0);
    if (t.rejections++ == 0) t.first_rejection_at = now;
    if (e.health != HealthState::ejected) on_rejection_at_limit(t), reduce_admission(t, e, true);
    if (e.health == HealthState::healthy) record_low_rate_outcome(t, true);
    e.last_failure_may_have_run = false;
    // Shut, not limited: nothing was served between the refusals.
    const bool shut = t.rejections >= kShutRejections && now - t.first_rejection_at >= micros(kShutTime);
    if (!shut && e.health == HealthState::healthy) return;
    e.consecutive_failures = std::max(e.consecutive_failures, 1);
    if (e.independent_route)
      return shut || e.health == HealthState::ejected ? eject(e, "all_rejected") : void();
    for (auto* other : destinations[e.info.destination].endpoints)
      if (shut || other->health == HealthState::ejected)
        other->consecutive_failures++, eject(*other, "all_rejected");
  }
  // Where this relay calls seldom, fewer signs must do, else each relay's would come too late.
  int failures_needed(EndpointState& e) const {
    return std::clamp(static_cast<int>(std::ceil(kEvidenceTime * e.demand.rate(now))), 1, kEjectionFailures);
  }
  // Where calls fail now and then, everywhere or at this endpoint, a run of failures must be longer to tell
  // an outage. Guards against closing sound endpoints one after the other on a day of stray resets, and for
  // good the few that they strike. 1: no strays to speak of.
  double isolated_failure_share_at(const EndpointState& e) const {
    return std::max(isolated_failure_share, e.isolated_failure_share);
  }
  int failures_beyond_chance(const EndpointState& e) const {
    const double share = isolated_failure_share_at(e);
    if (share < kMinIsolatedFailureShare) return 1;
    return std::min(kMaxEjectionFailures,
                    static_cast<int>(std::ceil(std::log(kMaxChance) / std::log(share))));
  }
  void on_failure(EndpointState& e, const event::AttemptEnded& ev, int taken) {
    increase_delay(scope_of(e));
    if (ev.outcome == Outcome::connect_failed) e.last_connect_failure_at = now;
    if (ev.outcome == Outcome::connect_failed && e.consecutive_failures == 0 && !e.calls.empty() &&
        overdue(e) == 0 && e.health == HealthState::healthy) {
      // Connects fail while calls are out and answered: its table of connections may be full.
      e.concurrency_cap = std::max<int>(1, static_cast<int>(e.calls.size()));
      e.concurrency_cap_changed_at = now;
    }
    e.consecutive_failures++;
    if (ev.outcome == Outcome::reset || ev.outcome == Outcome::error)
      e.isolated_failures = std::min(e.isolated_failures + 1, kIsolatedFailuresOfRun);
    e.last_failure_may_have_run = ev.outcome != Outcome::connect_failed;
    e.failure_share += kFailureShareGain * (1 - e.failure_share);
    if (ev.outcome == Outcome::timeout || ev.outcome == Outcome::cancelled) {
      e.latency = std::max(e.latency, std::min(e.latency * 2, seconds(ev.latency)));
      close_idle_connections(e);
    }
    // In the ramp two in a row close again: one stray failure must not start the ramp anew.
    // A single error proves little: some come from sound endpoints too.
    const int chance = failures_beyond_chance(e);
    // A call's messages share its fate: failing calls take fewer along. Guards against whole bundles lost
    // to a doubtful endpoint, and against one that stumbles over large bundles only. Not where it may be a
    // stray failure: under a limit of calls, small bundles would starve the rest.
    const bool lost = ev.outcome != Outcome::connect_failed;
    if (lost && (chance == 1 || e.consecutive_failures > 1))
      e.batch_size = std::max(1, std::min(e.batch_size, taken) / 2);
    const int few = std::max({failures_needed(e), ev.outcome == Outcome::error ? 2 : 1, chance});
    const int run = e.health == HealthState::healthy      ? std::max(kEjectionFailures, chance)
                    : e.health == HealthState::slow_start ? std::max(kEjectionFailures - 1, chance)
                                                          : 1;
    const double most_fail = kMaxFailureShare + (chance > 1 ? isolated_failure_share_at(e) : 0);
    if (e.consecutive_failures >= few || e.consecutive_failures + overdue(e) >= run ||
        e.failure_share > most_fail)
      eject(e, ev.outcome == Outcome::connect_failed ? "connect_failed"
               : ev.outcome == Outcome::error        ? "errors"
                                                     : "no_answer");
    // Endpoints that share a limit mostly go out together: as many signs at any of them as close one close
    // all. Fewer where this relay calls seldom; in larger fleets for silence too, which is told late.
    const bool silent = ev.outcome == Outcome::timeout || ev.outcome == Outcome::cancelled;
    const bool soon = is_low_rate(scope_of(e)) || (silent && settings.relay_count > kSmallFleet);
    if (++scope_of(e).failures < (soon ? few : std::max(kEjectionFailures, chance)) || e.independent_route)
      return;
    for (auto* other : destinations[e.info.destination].endpoints)
      // One that has answered since this call was sent is at work.
      if (other->health == HealthState::healthy && other->served_at <= now - ev.latency)
        other->consecutive_failures++, eject(*other, "sibling_failures");
  }
  // Guards against unsafe messages lost in silence: a fresh connection fails provably, an old one doesn't.
  void close_idle_connections(EndpointState& e) {
    if (e.idle_connections_closed) return;
    e.idle_connections_closed = true;
    out->push_back(action::CloseIdleConnections{e.info.id});
  }

  // Guards against connection tables filled by idle connections of many relays: one that will hardly be used
  // again before its end is closed once its call is over, where a connect failed sooner. All are not: where
  // relays are many, nearly each call would cost a handshake.
  void close_unused_connections() {
    for (const auto& id : endpoints_with_ended_calls) {
      EndpointState& e = endpoints.at(id);
      const bool crowded = now < e.last_connect_failure_at + micros(kCrowdedTime);
      const double gaps = std::max(kSparedIdleConnections / settings.relay_count, crowded ? 0 : kLongUseGap);
      if (e.mean_use_gap > seconds(settings.connection_idle_timeout) * gaps)
        out->push_back(action::CloseIdleConnections{id});
    }
    endpoints_with_ended_calls.clear();
  }

  // ---- The list. ----
  void add_or_update(const Endpoint& info) {
    list_changed = true;
    auto [it, fresh] = endpoints.try_emplace(info.id);
    EndpointState& e = it->second;
    e.info = info;
    const auto place = std::min(static_cast<std::size_t>(std::max(info.kind, 0)), settings.kinds.size());
    const KindSettings kind = place < settings.kinds.size() ? settings.kinds[place] : KindSettings{};
    e.own.kind = destinations[info.destination].scope.kind = place;
    e.independent_route = kind.independent_routes, e.max_batch_size = kind.max_batch_size;
    start_limited(scope_of(e), info.weight);
    if (fresh) e.suspended = suspended.count(info.id) > 0;
    if (fresh)
      e.batch_size = e.max_batch_size, e.mean_use_gap = seconds(settings.connection_idle_timeout) / 2,
      e.demand.start(now);
    if (!fresh) return;
    auto& siblings = destinations[info.destination].endpoints;
    // A new endpoint of a destination that is out or returning is no way around its siblings' state.
    const EndpointState* model = nullptr;
    for (const auto* other : siblings)
      if (model == nullptr || other->health == HealthState::healthy) model = other;
    if (model != nullptr && !e.independent_route && model->health != HealthState::healthy) {
      e.health = model->health, e.health_changed_at = model->health_changed_at,
      e.expected_rate = model->expected_rate;
      e.slow_start_tokens_at = now, e.next_probe_at = now, e.slow_start_tokens = uniform();
    }
    siblings.push_back(&e);
  }
  void on(const event::EndpointListSnapshot& ev) {
    for (auto& [id, e] : endpoints) e.info.status = EndpointStatus::removed;
    list_changed = true;
    for (const auto& info : ev.endpoints) add_or_update(info);
    if (!ev.cached) return on_list_received();
    if (!settings.subscribes_to_list) return;
    next_poll_at = now + micros(uniform() * poll_spread());
    if (settings.list_is_pushed)
      wait_for_list_until = now + micros(std::min(2 * pushed_poll_gap(), shortest_objective / 2));
  }
  void on(const event::EndpointListUpdate& ev) {
    for (const auto& info : ev.endpoints) add_or_update(info);
    on_list_received();
  }
  void on_list_received() {
    subscribed = true, poll_gap = kInitialPollGap, next_poll_at = kNever, wait_for_list_until = 0;
  }
  // What is suspended is restarted meanwhile: it comes back cold, as after an outage.
  void on(const event::EndpointSuspension& ev) {
    const bool changed =
        ev.suspended ? suspended.insert(ev.endpoint).second : suspended.erase(ev.endpoint) > 0;
    const auto it = endpoints.find(ev.endpoint);
    if (!changed || it == endpoints.end()) return;
    EndpointState& e = it->second;
    e.suspended = ev.suspended;
    if (ev.suspended) return close_idle_connections(e);
    if (e.health == HealthState::healthy) e.expected_rate = expected_rate(e);
    e.health = HealthState::slow_start, e.health_changed_at = e.slow_start_tokens_at = now,
    e.slow_start_tokens = uniform();
    e.consecutive_failures = 0, e.failure_share = 0;
    log("endpoint_slow_start endpoint=" + ev.endpoint + " cause=operator_resumed");
  }
  // Lost by all relays at once, it is asked for again by one after the other; the longer it turns callers
  // away, the rarer. What is known serves meanwhile. Where lists are pushed what it misses binds at once, and
  // after silence or a move soon, so there it is asked for at once, or within a part of that.
  void on(const event::EndpointListLost& ev) {
    const bool had = std::exchange(subscribed, false);
    if (ev.reason != event::ListLossReason::relocated)
      wait_for_list_until = std::min(wait_for_list_until, now);
    if (settings.list_is_pushed) {
      const bool at_once = (had || ev.reason == event::ListLossReason::relocated) &&
                           now - last_poll_at > micros(pushed_poll_gap());
      next_poll_at = at_once ? now : now + micros(jittered(pushed_poll_gap()));
      return;
    }
    // Until it is asked for again, a change may have waited as long as the call or the watch that brought
    // none.
    const Time gone = ev.reason != event::ListLossReason::failed ? settings.watch_timeout
                      : had                                      ? 0
                                                                 : settings.poll_timeout;
    const double most = kAssumedKnownAfter - kPollAnswerTime - seconds(gone),
                 spread = std::min(poll_spread(), most);
    if (ev.reason == event::ListLossReason::failed) {
      const double least = had ? 0 : spread / 2;
      next_poll_at = now + micros(std::max(jittered(poll_gap), least + uniform() * (spread - least)));
      poll_gap =
          std::min(2 * poll_gap,
                   (kAssumedKnownAfter - kPollAnswerTime - seconds(settings.poll_timeout)) / (1 + kJitter));
    } else {
      next_poll_at = now + micros(uniform() * spread);
    }
  }
  // Between two calls to an agent that does not answer: often enough to hear of a drain within its grace.
  double pushed_poll_gap() const {
    return settings.drain_grace > 0
               ? std::min(kPollGapOfGrace * seconds(settings.drain_grace), kMaxPushedPollGap)
               : kMaxPushedPollGap;
  }
  // Guards against a discovery that the calls of many relays, started or cut off together, keep from
  // answering any; and against a list that is older than the time after which its changes count as told.
  double poll_spread() const {
    if (settings.relay_count <= kSmallFleet || settings.list_is_pushed) return 0;
    return std::min(kPollSpacing * settings.relay_count, kAssumedKnownAfter - kPollAnswerTime);
  }
  void poll_list() {
    if (now < next_poll_at) return wake_up_at(next_poll_at);
    next_poll_at = kNever, last_poll_at = now;  // one answer or one failure comes
    out->push_back(action::Subscribe{true});
  }

  // ---- Messages. ----
  double value_at(const Message& m, Time t) const {
    if (t >= m.deadline) return 0;
    if (t <= m.objective) return m.weight;
    const double late = m.message_class->late_weight_fraction, past = seconds(t - m.objective);
    if (settings.decay == ValueDecay::exponential)
      return m.weight * std::max(late, std::exp2(-past / seconds(m.message_class->latency_objective)));
    return m.weight * (1 - (1 - late) * past / std::max(1e-6, seconds(m.deadline - m.objective)));
  }
  // What waiting one more short aim would lose, and a part of what is there to win. Guards against a backlog
  // served oldest first: those past their aim lose all the time, fresh ones nothing yet, so that every one
  // comes late. Much more of it lets dear messages die late that would still be worth their half.
  double urgency(const Message& m, Time answer) const {
    const double v = value_at(m, answer);
    return v - value_at(m, answer + micros(shortest_objective)) + kGainWeight * v;
  }
  void on(const event::Arrival& ev) {
    Message& m = messages[ev.id];
    m.id = ev.id, m.destination = ev.destination, m.order_key = ev.order_key;
    m.message_class = &settings.classes[static_cast<std::size_t>(ev.message_class)];
    m.deadline = now + ev.time_to_deadline, m.not_before = now;
    m.objective = m.deadline - m.message_class->deadline + m.message_class->latency_objective;
    m.weight = m.message_class->priority_weight * tenant_weight_fraction(ev.tenant);
    if (!m.message_class->ordered) m.order_key.clear();
    if (!m.order_key.empty()) keys[m.order_key].message_ids.push_back(m.id);
    record_low_rate_demand(m);
  }
  // Back from an earlier life. An attempt that may have run bars an unsafe message from all but failing; at
  // once, for no outcome of that life will come any more.
  void on(const event::MessageRecovered& ev) {
    on(ev.message);
    Message& m = messages.at(ev.message.id);
    m.attempts_made = ev.attempts_made;
    m.possible_execution_zone = ev.possible_execution_zone,
    m.possible_execution_sent_at = ev.possible_execution_sent_at;
    if (ev.in_flight) return recover_call(m, *ev.in_flight);
    // It may be running still: what comes behind it in its order waits as after any attempt in doubt.
    if (!m.order_key.empty() && m.possible_execution_zone)
      keep_quiet(m.order_key, m.possible_execution_sent_at + settings.order_key_quiet_period);
    if (m.attempts_made > 0) m.not_before = now + micros(jittered(min_current_delay(m)));
    const bool barred = m.message_class->idempotency == Idempotency::none && m.possible_execution_zone;
    if (!barred && m.attempts_made < settings.max_attempts && m.not_before < latest_send_time(m)) return;
    settle(m, false);
    forget_if_done(messages.find(m.id));
  }
  // The least D at its destination: 0 where nothing is known of a failure there.
  double min_current_delay(const Message& m) {
    const auto destination = destinations.find(m.destination);
    double least = kUnlimited;
    if (destination != destinations.end())
      for (auto* e : destination->second.endpoints) least = std::min(least, current_delay(scope_of(*e)));
    return least < kUnlimited ? least : 0;
  }
  // A call that is still out holds its slot and its message, and tells what becomes of the endpoint.
  void recover_call(Message& m, const event::CallInFlight& o) {
    if (endpoints.count(o.endpoint) == 0)
      add_or_update({.id = o.endpoint, .destination = m.destination, .status = EndpointStatus::removed});
    EndpointState& e = endpoints.at(o.endpoint);
    const auto [at, fresh] = recovered_calls.try_emplace(o.call_id, next_call);
    if (fresh) calls[next_call++] = Call{&e, o.sent_at, 0, 0, false}, e.calls.insert(at->second);
    Call& call = calls.at(at->second);
    call.message_count++, call.unsettled_count++;
    m.in_flight[o.attempt] = at->second;
  }
  std::string learned_state() {
    LearnedStateWriter writer;
    writer.add_line(kRelayLine, static_cast<FleetStatistics&>(*this));
    writer.add_line(kLowRateLine, low_rate);
    for (auto& [id, d] : destinations) writer.add_line(kDestinationLine + ' ' + std::to_string(id), d.scope);
    for (auto& [id, e] : endpoints) writer.add_line(kEndpointLine + ' ' + id, e);
    return writer.text();
  }
  void on(const event::LearnedStateRestored& ev) {
    for (const auto& message_ids : parse_learned_state(ev.learned_state)) {
      if (message_ids.name == kRelayLine) {
        restore_fields(message_ids, static_cast<FleetStatistics&>(*this));
      } else if (message_ids.name == kLowRateLine) {
        restore_fields(message_ids, low_rate);
      } else if (message_ids.name == kDestinationLine) {
        const auto it = std::find_if(destinations.begin(), destinations.end(), [&](const auto& d) {
          return std::to_string(d.first) == message_ids.subject;
        });
        if (it != destinations.end()) restore_fields(message_ids, it->second.scope);
      } else if (message_ids.name == kEndpointLine) {
        const auto it = endpoints.find(message_ids.subject);
        if (it != endpoints.end()) restore_fields(message_ids, it->second);
      }
    }
  }
  // Beyond its share a tenant's messages are worth little; the share is split over the relays.
  double tenant_weight_fraction(int tenant) {
    if (tenant < 0 || tenant >= static_cast<int>(settings.tenants.size())) return 1;
    const auto i = static_cast<std::size_t>(tenant);
    const double quota = settings.tenants[i].quota_per_second / settings.relay_count;
    if (quota <= 0) return 1;
    const double tokens = tenant_tokens[i] + quota * seconds(now - tenant_tokens_at[i]);
    tenant_tokens[i] = std::min(tokens, tenant_burst(settings.tenants[i]));
    tenant_tokens_at[i] = now;
    if (tenant_tokens[i] < 1) return settings.over_quota_weight_fraction;
    tenant_tokens[i] -= 1;
    return 1;
  }
  bool is_safe_to_resubmit(const Message& m) const {
    if (m.message_class->idempotency == Idempotency::idempotent) return true;
    if (m.message_class->idempotency == Idempotency::by_key && m.message_class->key_scope == KeyScope::all)
      return true;
    return m.in_flight.empty() && !m.possible_execution_zone;
  }
  void settle(Message& m, bool again, Time come_back = 0) {
    if (m.settled) return;
    m.settled = true;
    const Time soonest = micros(backoff_unit * kInitialDelay);
    if (again && is_safe_to_resubmit(m))
      out->push_back(action::Reject{m.id, std::max(std::min(come_back, settings.max_retry_after), soonest)});
    else
      out->push_back(action::Fail{m.id});
  }
  // Forgets a message that is over and has nothing out, and lets the next of its key step up.
  void forget_if_done(std::map<MessageId, Message>::iterator it) {
    Message& m = it->second;
    if (!m.settled || !m.in_flight.empty()) return;
    if (!m.order_key.empty()) {
      auto& message_ids = keys[m.order_key].message_ids;
      message_ids.erase(std::find(message_ids.begin(), message_ids.end(), m.id));
      remove_key_if_unused(m.order_key);
    }
    messages.erase(it);
  }
  void keep_quiet(const std::string& key, Time until) {
    keys[key].quiet_until = std::max(keys[key].quiet_until, until);
    quiet_keys.emplace_back(until, key);
  }
  void remove_key_if_unused(const std::string& key) {
    const auto it = keys.find(key);
    if (it != keys.end() && it->second.message_ids.empty() && now >= it->second.quiet_until) keys.erase(it);
  }
  // Nothing is kept for ever: keys go when they are empty and rested; endpoints that left the list, when
  // their calls are over and what is known of an outage there has aged out; destinations with their last
  // endpoint.
  void remove_unused() {
    for (; !quiet_keys.empty() && quiet_keys.front().first <= now; quiet_keys.pop_front())
      remove_key_if_unused(quiet_keys.front().second);
    if (!list_changed) return;
    list_changed = false;
    const auto leaves = [this](const EndpointState& e) {
      const bool known = e.health != HealthState::healthy && now < e.health_changed_at + health_span();
      return e.info.status == EndpointStatus::removed && e.calls.empty() && !known &&
             e.own.retry_after_until <= now;
    };
    for (auto it = destinations.begin(); it != destinations.end();) {
      std::erase_if(it->second.endpoints, [&](const EndpointState* e) { return leaves(*e); });
      const bool done = it->second.endpoints.empty() && it->second.scope.retry_after_until <= now;
      it = done ? destinations.erase(it) : std::next(it);
    }
    std::erase_if(endpoints, [&](const auto& entry) { return leaves(entry.second); });
  }
  void on(const event::ClientCancelled& ev) {
    auto it = messages.find(ev.id);
    if (it == messages.end()) return;
    it->second.settled = true;
    forget_if_done(it);
  }
  void on(const event::TimerExpired&) {
    if (now >= timer_at) timer_at = kNever;
  }
  void on(const event::HealthCheckEnded&) {}

  void on(const event::AttemptEnded& ev) {
    auto it = messages.find(ev.id);
    if (it == messages.end()) return;
    Message& m = it->second;
    auto attempt = m.in_flight.find(ev.attempt);
    if (attempt == m.in_flight.end()) return;
    auto call_it = calls.find(attempt->second);
    Call& call = call_it->second;
    EndpointState& e = *call.endpoint;
    const Time sent = call.sent_at;
    Time& retry_after_until = scope_of(e).retry_after_until;
    if (ev.load_report.rate_limit > 0) scope_of(e).limit = ev.load_report.rate_limit;
    if (ev.retry_after > 0) retry_after_until = std::max(retry_after_until, now + ev.retry_after);
    m.in_flight.erase(attempt);
    const bool last = --call.unsettled_count == 0;
    if (last) e.calls.erase(call_it->first);
    // A call that we gave up in silence is a failure; one that was overtaken says nothing of the endpoint.
    const bool overtaken = ev.outcome == Outcome::cancelled && sent < e.served_at;
    if (!call.outcome_recorded && ev.outcome != Outcome::not_sent && !overtaken) {
      call.outcome_recorded = true;
      if (ev.outcome == Outcome::succeeded)
        on_success(e, sent, ev);
      else if (ev.outcome == Outcome::rejected)
        on_rejected(e);
      else
        on_failure(e, ev, call.message_count);
    }
    if (last) calls.erase(call_it), e.last_used_at = now, endpoints_with_ended_calls.insert(e.info.id);

    const bool never_ran = ev.outcome == Outcome::rejected || ev.outcome == Outcome::connect_failed ||
                           ev.outcome == Outcome::not_sent;
    if (!never_ran && (!m.possible_execution_zone || sent < m.possible_execution_sent_at))
      m.possible_execution_zone = e.info.zone, m.possible_execution_sent_at = sent;
    const bool doubt =
        ev.outcome == Outcome::timeout || ev.outcome == Outcome::reset || ev.outcome == Outcome::cancelled;
    if (doubt && !m.order_key.empty()) keep_quiet(m.order_key, now + settings.order_key_quiet_period);
    if (ev.message_settled || ev.outcome == Outcome::succeeded) m.settled = true;
    if (!m.settled && m.in_flight.empty()) {
      // A retry waits the jittered D; one that would come too late, or may not be made, ends here.
      const double d = std::max(current_delay(scope_of(e)), kMinDelay * backoff_unit);
      m.not_before = now + micros(jittered(d));
      const bool barred = m.message_class->idempotency == Idempotency::none && m.possible_execution_zone;
      if (barred || m.attempts_made >= settings.max_attempts || m.not_before >= latest_send_time(m))
        settle(m, false);
    }
    forget_if_done(it);
  }
  // After this a send can't be made any more: the deadline, or the end of the key's window.
  Time latest_send_time(const Message& m) const {
    // Guards against ends that are told too late: a stall of a few rounds just before the deadline.
    Time t =
        m.deadline - std::max(2 * settings.min_round_interval, micros(kMinTimeLeft * shortest_objective));
    if (m.message_class->idempotency == Idempotency::by_key && m.possible_execution_zone)
      t = std::min(t, m.possible_execution_sent_at + m.message_class->idempotency_window -
                          settings.min_round_interval);
    return t;
  }

  // When told waits end so late that no endpoint of its destination may be sent the message any more: that
  // time; else kNever. Guards against holding what is lost until its deadline, its client none the wiser.
  Time blocked_until(const Message& m) {
    const auto destination = destinations.find(m.destination);
    Time first = kNever;
    if (destination == destinations.end()) return first;
    for (auto* e : destination->second.endpoints)
      if (usable(*e)) first = std::min(first, scope_of(*e).retry_after_until);
    return first >= latest_send_time(m) ? first : kNever;
  }

  // ---- The gate. Every send passes here; it tells when to look again. ----
  bool usable(const EndpointState& e) const {
    return e.info.status == EndpointStatus::active && !e.suspended;
  }
  bool may_send(const Message& m, EndpointState& e, Time& when) {
    if (!usable(e)) return false;
    const bool keyed_by_zone =
        m.message_class->idempotency == Idempotency::by_key && m.message_class->key_scope == KeyScope::zone;
    if (keyed_by_zone && m.possible_execution_zone && e.info.zone != *m.possible_execution_zone) return false;
    RateLimitScope& t = scope_of(e);
    const Time held = std::max(t.retry_after_until, t.admission_held_until);
    if (held > now) return when = std::min(when, held), false;
    if (has_room_in_batch(e)) return true;
    if (calls.size() >= static_cast<std::size_t>(settings.max_calls_in_flight)) return false;
    const Time ready = std::max({slow_start_ready_at(e), token_ready_at(t), low_rate_ready_at(t, m)});
    if (ready > now) return when = std::min(when, ready), false;
    if (e.health == HealthState::ejected && m.message_class->idempotency == Idempotency::none &&
        e.last_failure_may_have_run && now < m.objective) {
      // A trial call that may be lost is no place for a message that can't be repeated.
      return when = std::min(when, m.objective), false;
    }
    return static_cast<int>(e.calls.size()) < max_calls(e);
  }
  bool has_room_in_batch(const EndpointState& e) const {
    if (e.current_call == 0) return false;
    auto it = calls.find(e.current_call);
    return it != calls.end() && it->second.sent_at == now && it->second.message_count < e.batch_size;
  }
  // Bulkhead: one endpoint's calls out, so that a silent or slow one can't hold the slots of the rest.
  int max_calls(EndpointState& e) {
    // Trials are spaced; all of them out together may hold a part of the slots only.
    if (on_probation(e))
      return probes_in_flight() < std::max(1.0, kProbeSlots * settings.max_calls_in_flight)
                 ? settings.max_calls_in_flight
                 : 0;
    const int late = overdue(e);
    const double most = late > 0 || e.consecutive_failures > 0
                            ? std::max(1.0, settings.max_calls_in_flight * kSuspectSlots)
                            : std::max(1.0, std::ceil(settings.max_calls_in_flight * kEndpointSlots));
    double limit = std::min(most, kFreeCalls + 3 * e.served.rate(now) * e.latency);
    if (e.concurrency_cap > 0) limit = std::min<double>(limit, e.concurrency_cap);
    return std::max(1, static_cast<int>(limit));
  }
  bool on_probation(const EndpointState& e) const {
    return e.health != HealthState::healthy && e.consecutive_failures > 0;
  }
  int probes_in_flight() const {
    int n = 0;
    for (const auto& [id, call] : calls) n += on_probation(*call.endpoint);
    return n;
  }
  // Cheaper first: shorter expected wait there, its fee, the distance.
  double cost(const EndpointState& e) const {
    const auto zone = static_cast<std::size_t>(e.info.zone);
    const double fee =
        e.independent_route && zone < settings.zone_costs.size() ? settings.zone_costs[zone] : 0;
    const double load = static_cast<double>(e.calls.size()) + 1 + e.consecutive_failures;
    return load * e.latency * (e.health == HealthState::slow_start ? 2 : 1) * (1 + fee) +
           (e.info.zone == settings.zone ? 0 : 0.02);
  }
  bool try_send(Message& m) {
    Time when = kNever;
    if (m.attempts_made >= settings.max_attempts || now >= latest_send_time(m)) return false;
    if (wait_for_list_until > 0) {
      if (now < wait_for_list_until) return wake_up_at(wait_for_list_until), false;
      log("endpoint_list_cached_in_use cause=no_list_received");
      wait_for_list_until = 0;
    }
    if (!m.order_key.empty()) {
      const OrderKeyQueue& k = keys[m.order_key];
      const bool own_turn = k.message_ids.front() == m.id;
      if (!own_turn) return false;
      if (m.attempts_made == 0 && now < k.quiet_until) return wake_up_at(k.quiet_until), false;
    }
    EndpointState* best = nullptr;
    double best_price = 0;
    const auto destination = destinations.find(m.destination);
    if (destination == destinations.end()) return false;
    for (auto* e : destination->second.endpoints) {
      if (!may_send(m, *e, when)) continue;
      const double p = has_room_in_batch(*e) ? -1 : cost(*e) * (1 + 0.1 * uniform());
      if (best == nullptr || p < best_price) best = e, best_price = p;
    }
    if (best == nullptr) {
      if (when < kNever) wake_up_at(when);
      return false;
    }
    if (!has_room_in_batch(*best) && best->health == HealthState::healthy && !admits(scope_of(*best)))
      return false;
    send(m, *best);
    return true;
  }
  void send(Message& m, EndpointState& e) {
    RateLimitScope& t = scope_of(e);
    if (!has_room_in_batch(e)) {
      e.current_call = next_call++;
      calls[e.current_call] = Call{&e, now, 0, 0, false};
      e.calls.insert(e.current_call);
      if (e.health == HealthState::healthy && m.attempts_made == 0) e.demand.add_event(now);
      if (e.last_used_at > -kNever)
        e.mean_use_gap +=
            kUseGapGain * (std::min(seconds(now - e.last_used_at), kMaxUseGap) - e.mean_use_gap);
      e.last_used_at = now;
      if (t.rate_limit != kUnlimited) t.tokens -= 1;
      if (low_rate.demand_factor != kUnlimited && is_low_rate(t)) low_rate.tokens -= 1;
      if (e.health != HealthState::healthy) e.slow_start_tokens -= 1;
      if (e.health == HealthState::ejected) e.next_probe_at = now + probe_gap(e);
      if (overdue(e) > 0) close_idle_connections(e);
    }
    Call& call = calls[e.current_call];
    call.message_count++, call.unsettled_count++;
    const bool unsafe = m.message_class->idempotency == Idempotency::none;
    const double aims = seconds(m.message_class->latency_objective) *
                        (unsafe ? kUnrepeatableTimeoutObjectives : kRepeatableTimeoutObjectives);
    const Time timeout = std::min(micros(std::max(aims, kTimeoutLatencies * e.latency)), m.deadline - now);
    m.in_flight[m.attempts_made++] = e.current_call;
    // Guards against a connection that comes up when the key is forgotten: the message would run twice.
    const Time begin = m.message_class->idempotency == Idempotency::by_key && m.possible_execution_zone
                           ? latest_send_time(m) - now
                           : 0;
    out->push_back(action::Send{m.id, e.info.id, timeout, begin});
  }

  // Guards against calls taken and never answered: they would hold slots, and repeatable messages, until
  // the long time-out that slow destinations need. Given up are calls that later ones have overtaken and,
  // while slots are short, sooner, also those since whose send nothing was served there. Unsafe messages,
  // which it loses, have an aim's time first. May cut a call that is merely heavy.
  void cancel_if_overdue(Message& m, bool slots_short) {
    const auto [attempt, call_id] = *m.in_flight.begin();
    const Call& call = calls[call_id];
    const bool unsafe = m.message_class->idempotency == Idempotency::none,
               overtaken = call.sent_at < call.endpoint->newest_served_send;
    const bool silent = call.sent_at >= call.endpoint->served_at;  // answers to earlier calls: slow, at work
    if (m.cancelled_attempt == attempt || !(overtaken || (slots_short && silent))) return;
    const double least = unsafe ? seconds(m.message_class->latency_objective) : 0;
    const double latencies = slots_short ? kOverdueLatencies : kTimeoutLatencies;
    double after = latencies * call.endpoint->latency + kOverdueSlack;
    // Later it is worth less; but where all destinations answer slowly, patience is cheaper than cutting.
    if (slots_short)
      after = std::min(after, seconds(m.message_class->latency_objective)) * std::max(1.0, slowness);
    const Time due = call.sent_at + micros(std::max(least, after));
    if (now < due) return wake_up_at(due);
    m.cancelled_attempt = attempt;
    out->push_back(action::Cancel{m.id, attempt});
  }

  // ---- What goes next. ----
  void dispatch() {
    std::vector<std::pair<double, Message*>> waiting;
    std::vector<MessageId> ended;
    std::size_t held = 0;
    const bool slots_short = calls.size() >= static_cast<std::size_t>(settings.max_calls_in_flight);
    for (auto& [id, m] : messages) {
      if (m.settled) continue;
      held++;
      const bool in_flight = !m.in_flight.empty();
      const Time last = in_flight ? m.deadline - 2 * settings.min_round_interval : latest_send_time(m);
      if (now >= last) {
        settle(m, false);
        ended.push_back(id);
        continue;
      }
      wake_up_at(last);
      if (in_flight) {
        if (settings.cancellation) cancel_if_overdue(m, slots_short);
        continue;
      }
      if (const Time until = blocked_until(m); until < kNever) {
        settle(m, true, until - now);
        ended.push_back(id);
      } else if (m.not_before > now)
        wake_up_at(m.not_before);
      else
        waiting.emplace_back(urgency(m, now + micros(kInitialLatency)), &m);
    }
    std::stable_sort(waiting.begin(), waiting.end(),
                     [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<Message*> left;
    for (auto& [u, m] : waiting)
      if (!try_send(*m)) left.push_back(m);
    // Buffer nearly full: hand back what is worth least, rather than have the next ones turned away.
    auto most = static_cast<std::size_t>(kBufferHighWater * settings.max_open_messages);
    for (; held > std::max<std::size_t>(most, 1) && !left.empty(); held--, left.pop_back()) {
      if (!is_safe_to_resubmit(*left.back())) continue;
      settle(*left.back(), true);
      ended.push_back(left.back()->id);
    }
    for (auto id : ended) forget_if_done(messages.find(id));
  }

  void handle(Time at, const std::vector<Event>& events, std::vector<Action>& actions) {
    now = std::max(now, at), out = &actions, next_wakeup = kNever;
    for (const auto& ev : events) std::visit([this](const auto& e) { on(e); }, ev);
    recovered_calls.clear();
    if (settings.subscribes_to_list) poll_list();
    dispatch();
    close_unused_connections();
    remove_unused();
    if (next_wakeup < timer_at && next_wakeup < kNever) {
      timer_at = next_wakeup;
      actions.push_back(action::SetTimer{std::min<Time>(next_wakeup - now, 3'600'000'000), 0});
    }
    out = nullptr;
  }
};

Dispatcher::Dispatcher(const Settings& settings, std::uint64_t seed) {
  validate(settings);
  state_ = std::make_unique<State>(settings, seed);
}
Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

std::size_t Dispatcher::tracked_object_count() const {
  const State& s = *state_;
  return s.endpoints.size() + s.destinations.size() + s.messages.size() + s.keys.size() + s.calls.size() +
         s.quiet_keys.size() + s.suspended.size();
}

std::string Dispatcher::learned_state() const { return state_->learned_state(); }

std::size_t Dispatcher::ejected_endpoint_count() const {
  const auto& all = state_->endpoints;
  return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [](const auto& entry) {
    const EndpointState& e = entry.second;
    return e.info.status != EndpointStatus::removed && (e.suspended || e.health == HealthState::ejected);
  }));
}

void Dispatcher::handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions) {
  state_->handle(now, events, actions);
}

}  // namespace dispatch
