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
constexpr double kUnitOfAim = 0.1;
constexpr double kInitial = 2, kIncrement = 4, kLeast = 1, kMost = 20;  // in units
constexpr double kFactor = 0.2, kJitter = 0.25;
constexpr double kAgingHalfLife = 20;  // units: an unused D halves in this time
// Pace.
constexpr double kRateMemory = 4;   // memory of served-rate estimates
constexpr double kLongMemory = 30;  // and of what a relay asks of an endpoint, calls a minute
constexpr double kPaceCut = 0.85;   // on a further refusal
constexpr double kCutGap = 0.3;     // refusals closer than this are one event
constexpr double kAgainFirst = 0.25, kAgainGain = 0.1;  // share served after a refusal: assumed; weight
constexpr double kPaceRaise = 0.15;                     // growth a second while calls are served
constexpr double kPaceStep = 0.25;                      // and calls in a shortest aim, a second, on top
constexpr double kPaceRoom = 1.25;  // a cut starts from no more than this times the served rate
constexpr double kFewServes = 2;    // recent serves under which a relay's own pace says little
constexpr double kLeastThrough = 0.02, kThroughCut = 0.5;  // share let through: at least, and after a refusal
constexpr double kTellGap = 0.03;  // seconds between notes of all relays together: they cost by the receiver
constexpr int kFewRelays = 8;      // up to which the signs that each relay needs by itself are not too many
constexpr double kBurst = 0.3;     // seconds of pace that may be saved up
// Pace by shares of a limit that was told, one for each relay of many. Times such a share:
constexpr double kShareCut = 0.5, kLeastShare = 0.3;  // factor on a refusal, and the least
constexpr double kSafeShare = 0.8,
                 kShareGrowth = 0.25;               // with which the limit fills again; growth to it a second
constexpr double kFirstShare = 1;                   // before the first answer
constexpr double kPlenty = 0.5, kShareRaise = 0.2;  // on a serve that tells of this part of the limit left
constexpr double kMostShare = 4;                    // above it the pace is unbounded again
// One pace for all thin targets, whose told limits leave this relay less than so many calls in a shortest
// deadline.
constexpr double kThinCalls = 1;
constexpr double kThinRefused = 0.23;  // share of calls refused that is held: 0.3 for each one served
constexpr double kThinGain = 0.05;     // weight of the newest call in that share, and in the pace
constexpr double kThinLeast = 0.1,
                 kThinMost = 2;   // times what is asked for; above it the pace is unbounded again
constexpr double kThinSaved = 2;  // calls that may be saved up at least
// Health.
constexpr int kCloseRun = 3;             // bad signs without a serve that close an endpoint
constexpr int kShutRun = 4;              // refusals without a serve that mean shut, not limited,
constexpr double kShutSpan = 1.5;        // when they span this time
constexpr double kMostFail = 0.5;        // share of failing calls that closes an endpoint
constexpr double kFailMemory = 0.15;     // weight of the newest call in that share
constexpr double kOverdueTimes = 4;      // a call out this many usual latencies, plus
constexpr double kOverdueMore = 0.3;     // this, is a bad sign
constexpr double kRampShare = 0.9;       // part of the push-over budget used; two thirds where own rates are
constexpr double kRampShareMany = 0.67;  // guesses, of many relays: so much alone breaks the rule
constexpr double kLeastCalls = 3;        // calls a second of all relays that an endpoint is taken to get
constexpr double kEvidence = 3;          // seconds of own calls that must fail to close, kCloseRun at most
// Stray failures: resets and errors at endpoints that serve on.
constexpr double kStrayGain = 0.02;     // weight of the newest call in their share,
constexpr double kOwnStrayGain = 0.1;   // and in the share of one endpoint, which sees fewer
constexpr double kStrayLeast = 0.05;    // share from which on they are reckoned with
constexpr double kStrayChance = 0.003;  // a run that is likelier than this by chance closes nothing
constexpr int kStraysOfOne = 2;         // of one run counted at most: the rest may be an outage
constexpr int kStrayMost = 8;           // bad signs that close whatever the chance
// Queue.
constexpr double kWin = 0.3;  // weight of what a message has to win, against what it loses by waiting
// Slots.
constexpr double kTargetSlots = 0.5;   // share of the slots for one endpoint at most
constexpr double kTrialSlots = 0.25;   // for trial calls of all closed endpoints
constexpr double kDoubtSlots = 0.125;  // while doubtful
constexpr int kBaseCalls = 3;          // calls out that need no served rate to justify them
// Time-outs.
constexpr double kTimeoutTimes = 8;       // usual latencies
constexpr double kSafeTimeoutAims = 2.5;  // least time-out of repeatable messages, in aims
constexpr double kUnsafeTimeoutAims = 5;  // and of the others, which a time-out loses
constexpr double kLatencyGain = 0.2, kUsualGain = 0.02, kSlownessGain = 0.1;  // weights of the newest answer
constexpr double kMostSlow = 20;        // one answer counts as no more usual latencies than this
constexpr double kFirstLatency = 0.25;  // assumed before the first answer
// Connections.
constexpr double kGapGain = 0.3, kMostGap = 100;  // weight of the newest gap between calls; the longest
constexpr double kIdleSpared =
    8;  // idle connections of all relays that a crowded endpoint is trusted to spare
constexpr double kLongGap = 2.5;  // mean gaps, in idle times, over which it is hardly used again
constexpr double kCrowded = 30;   // seconds for which it is taken to be crowded after a connect that failed
// List and buffer.
constexpr double kLeastLeft = 0.05;  // of the shortest aim: with less time left, nothing is sent any more
constexpr double kAskAgain = 0.5;    // the first gap after a call that failed
constexpr double kAskApart =
    0.1;  // seconds between the calls for the list of all relays together, where many
// A change counts as told so long after it, arrived or not; this is kept back for the answer to come.
constexpr double kToldAnyway = 6, kAnswerTime = 1;
constexpr double kPauseOfGrace = 0.125, kMostPause = 0.25;  // share of a drain's grace; seconds
constexpr double kBufferFull = 0.92;  // above this share of the buffer the least worth is refused

const std::string kNoteRefused = "1r";  // a note between relays: its version, its kind, then the endpoint
constexpr double kUnbounded = std::numeric_limits<double>::infinity();

}  // namespace

struct Target {              // what shares one limit: a destination, or a route apart
  double delay = 0;          // D, in seconds; 0: no failure remembered
  Time delay_at = 0;         // when D last changed (a round counts as one failure)
  double pace = kUnbounded;  // calls a second of this relay
  double tokens = 1;
  Time tokens_at = 0, cut_at = -kNever, raise_at = 0;
  Time wait_until = 0;  // told wait
  double limit = 0;     // calls a second that it takes of all relays together, as told; 0: not told
  RateEstimator served{kRateMemory};
  int refusals = 0, failures = 0;  // since the last serve
  std::size_t kind = 0;
  template <class F>
  void visit_learned_fields(F&& f) {
    f(delay), f(delay_at), f(pace), f(tokens), f(tokens_at), f(cut_at), f(raise_at), f(wait_until),
        served.visit_learned_fields(f);
    f(refusals), f(let_through), f(let_at), f(told_at), f(hold_until), f(refused_from), f(limit);
  }
  double let_through = 1;  // share of attempts let through after refusals that this relay or others met
  Time let_at = -kNever, told_at = -kNever, hold_until = 0;
  Time refused_from = 0;
};

enum class Health { open, closed, ramp };

struct EndpointState {
  Endpoint info;
  Target own;  // used where routes are apart
  bool apart = false;
  int bundle_max = 1, bundle = 1;                         // messages in a call: at most, and as trusted now
  std::set<std::uint64_t> calls;                          // out, oldest first
  double latency = kFirstLatency;                         // recent, stretched by calls without an answer
  double usual = 0;                                       // long-run latency of the served ones
  RateEstimator served{kRateMemory}, asked{kLongMemory};  // calls served; first tries while open
  double fail_share = 0;
  int fail_run = 0;                     // failed calls since the last serve
  int strays = 0;                       // resets and errors among them
  double stray_share = 0;               // of its calls that fail while it serves on
  Time served_at = 0, served_sent = 0;  // last serve, and the newest send among those served
  bool doubt_run = false;               // the last failure may have run
  bool idle_closed = false;             // idle connections were dropped in this spell
  double use_gap = 0;                   // between calls, in the mean
  Time used_at = -kNever;               // last time a call began or ended
  Health health = Health::open;
  bool suspended = false;  // by operators
  double usual_rate = 0;   // served calls a second before the trouble
  Time since = 0;          // of the present health
  double budget = 0;       // calls allowed while closed or in the ramp
  Time budget_at = 0, next_trial = 0;
  int call_cap = 0;  // calls out at which connects failed; 0: unknown
  Time capped_at = 0, crowded_at = -kNever;
  std::uint64_t open_call = 0;  // call begun in this round, for bundling
  template <class F>
  void visit_learned_fields(F&& f) {
    own.visit_learned_fields(f), served.visit_learned_fields(f), asked.visit_learned_fields(f);
    f(bundle), f(latency), f(usual), f(fail_share), f(fail_run), f(strays), f(stray_share), f(served_at);
    f(served_sent), f(doubt_run), f(idle_closed), f(use_gap), f(used_at), f(health), f(usual_rate), f(since);
    f(budget), f(budget_at), f(next_trial), f(call_cap), f(capped_at), f(crowded_at);
  }
};

struct DestinationState {
  Target target;  // used where endpoints share a limit
  std::vector<EndpointState*> endpoints;
};

struct ThinPace {  // of all calls to thin targets together
  double times = kUnbounded, tokens = 1,
         refused = 0;  // what is asked for; calls saved up; share refused lately
  Time at = 0;
  RateEstimator asked{kLongMemory};
  template <class F>
  void visit_learned_fields(F&& f) {
    f(times), f(tokens), f(refused), f(at), asked.visit_learned_fields(f);
  }
};

struct KeyLine {
  std::deque<MessageId> line;
  Time rest_until = 0;
};

struct Overall {                      // learnt of no endpoint in particular
  std::vector<double> after_refusal;  // by kind: share of calls served that come after a refusal there
  double stray_share = 0;             // of calls that fail at endpoints which serve on
  double slowness = 1;                // recent latencies of all serves, in usual ones
  template <class F>
  void visit_learned_fields(F&& f) {
    f(stray_share), f(slowness);
    for (auto& share : after_refusal) f(share);
  }
};

struct Dispatcher::State : Overall {
  Settings set;
  std::mt19937_64 random;
  Time now = 0;
  std::vector<Action>* out = nullptr;
  std::map<EndpointId, EndpointState> endpoints;
  std::map<DestinationId, DestinationState> destinations;
  std::map<MessageId, Message> messages;
  std::map<std::string, KeyLine> keys;
  std::deque<std::pair<Time, std::string>> resting;  // keys after an attempt in doubt, soonest rested first
  bool list_changed = false;
  std::map<std::uint64_t, Call> calls;
  std::uint64_t next_call = 1;
  std::vector<double> share_tokens;
  std::vector<Time> share_at;
  double unit = 0.1, shortest_aim = 1, shortest_deadline = 1;
  ThinPace thin;
  Time tell_at = 0, timer_at = kNever, ask_at = kNever, asked_at = -kNever, wake = kNever;
  Time first_list_by = 0;  // until then nothing is sent by the list of an earlier life
  bool subscribed = false;
  double ask_gap = kAskAgain;
  std::set<EndpointId> suspended;                     // by operators, listed or not
  std::map<std::uint64_t, std::uint64_t> taken_over;  // calls of an earlier life, and their numbers here
  std::set<EndpointId> ended_at;                      // endpoints at which a call ended in this round

  State(const Settings& s, std::uint64_t seed) : set(s), random(seed) {
    shortest_aim = seconds(set.classes[0].latency_objective),
    shortest_deadline = seconds(set.classes[0].deadline);
    for (const auto& c : set.classes) {
      shortest_aim = std::min(shortest_aim, seconds(c.latency_objective));
      shortest_deadline = std::min(shortest_deadline, seconds(c.deadline));
    }
    unit = kUnitOfAim * shortest_aim;
    for (const auto& t : set.tenants) share_tokens.push_back(burst_of(t));
    after_refusal.assign(set.kinds.size() + 1, kAgainFirst);
    share_at.assign(set.tenants.size(), 0);
  }

  double uniform() { return static_cast<double>(random() >> 11) * 0x1.0p-53; }
  double ramp_share() const { return set.relay_count > kFewRelays ? kRampShareMany : kRampShare; }
  double jittered(double d) { return d * (1 + kJitter * (2 * uniform() - 1)); }
  double burst_of(const TenantSettings& t) const { return 2 + 2 * t.quota_per_second / set.relay_count; }
  void log(const std::string& text) { out->push_back(action::Log{text}); }
  void wake_by(Time t) { wake = std::min(wake, std::max(t, now + set.min_round_interval)); }

  Target& target_of(EndpointState& e) { return e.apart ? e.own : destinations[e.info.destination].target; }

  // ---- The LIMD delay: fixed step up on failure, factor down on success, aged when unused. ----
  double delay_now(const Target& t) const {
    const double aged = t.delay * std::exp2(-seconds(now - t.delay_at) / (kAgingHalfLife * unit));
    return aged < kLeast * unit / 2 ? 0 : aged;
  }
  void delay_up(Target& t) {
    // Departure: failures told in one round are one event, else calls out together multiply D.
    if (t.delay > 0 && t.delay_at == now) return;
    const double d = delay_now(t);
    t.delay = d == 0 ? kInitial * unit : std::min(d + kIncrement * unit, kMost * unit);
    t.delay_at = now;
  }
  void delay_down(Target& t) {
    const double d = delay_now(t);
    t.delay = d == 0 ? 0 : std::max(d * kFactor, kLeast * unit);
    t.delay_at = now;
  }

  // ---- The pace: unbounded, set at the first refusal, cut on further ones, raised while served. ----
  // A relay that calls seldom has no served rate to go by: it may make one call a D, rarer with each refusal
  // in a row, the more so where such calls were mostly refused again (refused calls use up some limits).
  // Few relays need not go below one call in the longest D. Guards against a pace that a burst of refusals
  // cuts to one call in hours, from which no serve ever raises it.
  double least_pace(const Target& t) const {
    const double least =
        std::pow(after_refusal[t.kind], t.refusals) / std::max(delay_now(t), kInitial * unit);
    return set.relay_count > kFewRelays ? least : std::max(least, 1 / (kMost * unit));
  }
  void learn_refusal(const Target& t, double served) {
    double& share = after_refusal[t.kind];
    if (t.refusals > 0) share += kAgainGain * (served - share);
  }
  // This relay's part of a limit that was told: all relays at it together just use the limit. 0: none told,
  // or few relays, whose own rates tell more.
  double part_of(const Target& t) const {
    return set.relay_count > kFewRelays ? t.limit / set.relay_count : 0;
  }
  bool is_thin(const Target& t) const {
    const double part = part_of(t);
    return part > 0 && part * shortest_deadline < kThinCalls;
  }
  double share_of(const Target& t) const { return is_thin(t) ? 0 : part_of(t); }
  // Until its answers tell the limit, the list's weight stands for it. Guards against a release: the relays
  // that were killed together know nothing, and all that comes to them again would go to the endpoints at
  // once.
  void begin_paced(Target& t, double weight) {
    if (t.limit > 0 || set.weights == WeightKind::none) return;
    t.limit = weight;
    if (share_of(t) == 0) return;
    t.pace = kFirstShare * share_of(t);
    t.tokens = uniform(), t.tokens_at = t.raise_at = now;
  }
  void pace_cut(Target& t) {
    if (now - t.cut_at < micros(kCutGap)) return;
    if (const double part = share_of(t); part > 0) {
      const double from = std::min(t.pace, std::max(part, t.served.rate(now)));
      t.pace = std::max(from * kShareCut, kLeastShare * part);
      t.cut_at = t.raise_at = now;
      // Refused together, told the same wait and paced alike, they would all come again together: nothing is
      // saved up until the wait is over, and each goes on from anywhere around nothing.
      t.tokens = uniform() - 0.5, t.tokens_at = std::max(now, t.wait_until);
      return;
    }
    const double least = least_pace(t), recent = std::max(t.served.rate(now), least);
    if (t.pace == kUnbounded) t.tokens = 0;
    t.pace = t.pace == kUnbounded ? recent : std::max(std::min(t.pace, kPaceRoom * recent) * kPaceCut, least);
    t.cut_at = t.raise_at = t.tokens_at = now;
  }
  // What all relays meet: a share of the attempts let through, cut and raised as the pace is, told to the
  // others where notes are allowed. Guards against a limit that hundreds of relays overrun, each with a call
  // a minute and no rate of its own to pace by. A note is a hint: it closes nothing; its effect grows back.
  // May hold messages needlessly for a few seconds where a refusal was a passing clump's.
  double let_through(const Target& t) const {
    return std::min(1.0, t.let_through * std::exp(kPaceRaise * seconds(now - t.let_at)));
  }
  void cut_through(Target& t, const EndpointState& e, bool own) {
    const double cut = std::clamp(2 * after_refusal[t.kind], kThroughCut, 1.0);
    // Where most calls after a refusal are served, waiting D is enough.
    if (cut >= 1 || now - t.let_at < micros(kCutGap) || share_of(t) > 0) return;
    t.let_through = std::max(kLeastThrough, let_through(t) * cut);
    t.let_at = now;
    const bool tell = own && set.gossip && now >= tell_at && now - t.told_at >= micros(shortest_aim);
    if (tell) out->push_back(action::SendGossip{-1, kNoteRefused + e.info.id});
    if (tell) tell_at = now + micros(jittered(kTellGap * set.relay_count));
    if (tell || !own) t.told_at = now;
  }
  // Whether this attempt is let through; else the target is held for a while.
  bool let(Target& t) {
    double share = let_through(t);
    // Refused twice and not served between: it may be shut, so no more than it stands when it returns cold.
    // With few relays the run of refusals that closes comes soon enough; one of each of many is too much.
    if (t.refusals >= 2 && set.relay_count > kFewRelays && share_of(t) == 0)
      share = std::min(share, set.overload_multiple * ramp_share() * set.slow_start_capacity);
    if (t.served.rate(now) * kRateMemory >= kFewServes || uniform() < share) return true;
    t.hold_until = now + micros(jittered(kMost * unit));
    return wake_by(t.hold_until), false;
  }
  void on(const event::GossipReceived& ev) {
    if (ev.payload.rfind(kNoteRefused, 0) != 0) return;
    const auto it = endpoints.find(ev.payload.substr(kNoteRefused.size()));
    if (it != endpoints.end()) cut_through(target_of(it->second), it->second, false);
  }
  // Its own serves teach a relay that calls seldom too slowly that a limit has room again; what the answers
  // tell of all relays' calls does. Guards against a limit left half unused while messages for it die.
  void pace_raise(Target& t, const LoadReport& report) {
    if (const double part = share_of(t); part > 0 && t.pace != kUnbounded) {
      if (report.remaining_fraction >= kPlenty)
        t.pace = std::max(t.pace + kShareRaise * part, kSafeShare * part);
      if (t.pace > kMostShare * part) t.pace = kUnbounded;
      t.raise_at = now;
      return;
    }
    const double dt = std::min(seconds(now - t.raise_at), std::max(1.0, 2 / t.pace));
    if (t.pace != kUnbounded) t.pace += dt * (kPaceRaise * t.pace + kPaceStep / shortest_aim);
    t.raise_at = now;
  }
  Time pace_ready(Target& t) {
    if (t.pace == kUnbounded) return now;
    if (now < t.tokens_at) return t.tokens_at;
    // Of a refusal long ago nothing is left but that all relays together stay below the limit.
    if (const double part = share_of(t); t.pace < kSafeShare * part)
      t.pace = std::min(kSafeShare * part, t.pace + kShareGrowth * part * seconds(now - t.tokens_at));
    t.tokens = std::min(t.tokens + t.pace * seconds(now - t.tokens_at), std::max(1.0, t.pace * kBurst));
    t.tokens_at = now;
    return t.tokens >= 1 ? now : now + micros((1 - t.tokens) / t.pace) + 1;
  }

  // ---- The pace of all thin targets together. A share of a limit that is a call in minutes says nothing to
  // a message that lives for seconds; how calls fare over all such targets tells in seconds what the fleet
  // asks of them. Guards against limits left unused by thousands of shares, and against a fleet that has no
  // other sign of asking too much. May hold back calls to sound targets while most others are over their
  // limits.
  Time thin_ready(const Target& t, const Message& m) {
    if (thin.times == kUnbounded || !is_thin(t)) return now;
    const double pace = thin.times * thin.asked.rate(now), most = std::max(kThinSaved, pace * shortest_aim);
    thin.tokens = std::min(thin.tokens + pace * seconds(now - thin.at), most);
    thin.at = now;
    // What is short goes to first tries: most of a destination's retries are refused again while it is full.
    const double need = m.attempts_made > 0 ? std::max(1.0, most / 2) : 1;
    return thin.tokens >= need ? now : now + micros((need - thin.tokens) / std::max(pace, 1e-9)) + 1;
  }
  void thin_asked(const Message& m) {
    const auto d = destinations.find(m.destination);
    if (d == destinations.end() || d->second.endpoints.empty()) return;
    if (is_thin(target_of(*d->second.endpoints.front()))) thin.asked.add_event(now);
  }
  void thin_learn(const Target& t, bool refused) {
    if (!is_thin(t)) return;
    thin.refused += kThinGain * (refused - thin.refused);
    if (thin.times != kUnbounded)
      thin.times = std::max(kThinLeast, thin.times * std::exp(kThinGain * (kThinRefused - refused)));
    else if (thin.refused > kThinRefused)
      thin.times = thin.tokens = 1, thin.at = now;
    if (thin.times > kThinMost) thin.times = kUnbounded;
  }

  // ---- Health: one ladder for every symptom. ----
  int overdue(const EndpointState& e) const {
    const Time late = micros(kOverdueTimes * e.latency + kOverdueMore);
    int n = 0;
    // Only calls sent since the last serve: one lost among many answered is no sign of silence.
    for (auto id : e.calls) n += now - calls.at(id).sent_at > late && calls.at(id).sent_at >= e.served_at;
    return n;
  }
  void close(EndpointState& e, const char* why) {
    if (e.health == Health::open) {
      // Each relay starts anywhere between two of its trials, else those of many would come together.
      e.usual_rate = usual_rate(e), e.budget = uniform(), e.budget_at = now;
    }
    if (e.health != Health::closed) log("closed " + e.info.id + ": " + why);
    e.health = Health::closed;
    e.since = now;
    e.next_trial = now + trial_gap(e);
  }
  // Calls a second that this relay may count on as its part of what an endpoint takes when it is sound: what
  // it asked of it, or its share of a limit that was told, which is less than the capacity.
  double usual_rate(EndpointState& e) {
    const auto siblings =
        static_cast<double>(e.apart ? 1 : destinations[e.info.destination].endpoints.size());
    const double part = part_of(target_of(e)) / std::max(1.0, siblings);
    return std::max({e.asked.rate(now), part, part > 0 ? 0 : kLeastCalls / set.relay_count});
  }
  Time trial_gap(EndpointState& e) {
    return micros(jittered(std::max(delay_now(target_of(e)), kInitial * unit)));
  }
  // Calls a second that an endpoint out or returning may get from this relay: its part, by its own first
  // tries, of what the endpoint stands for sure. No floor: with hundreds of relays that each see a call a
  // minute, floors of one call each would push it over. What is known of an outage ages out.
  Time health_span() const { return std::max(set.slow_start_duration, micros(shortest_aim)); }
  double ramp_rate(const EndpointState& e) const {
    double warm = set.slow_start_capacity;
    if (e.health == Health::ramp)
      warm += (1 - set.slow_start_capacity) * seconds(now - e.since) / seconds(health_span());
    const double times = set.overload_multiple * ramp_share() * std::min(warm, 1.0);
    // Not served since: perhaps it returned only now, so no more than was asked of it before, backlog or not.
    return e.usual_rate * (on_trial(e) ? std::min(times, 1.0) : times);
  }
  Time budget_ready(EndpointState& e) {
    if (e.health == Health::open) return now;
    if (now >= e.since + health_span()) {
      // The ramp comes after trials too that the budget never allowed: held messages must not go all at once.
      const bool warm = e.health == Health::ramp;
      e.health = warm ? Health::open : Health::ramp, e.since = now;
      if (warm) e.fail_run = 0, e.fail_share = 0;
      log((warm ? "warm " : "forgotten ") + e.info.id);
      if (warm) return now;
    }
    const Time end = e.since + health_span();
    const double rate = ramp_rate(e);
    e.budget = std::min(1.0, e.budget + rate * seconds(now - e.budget_at));
    e.budget_at = now;
    const Time ready =
        e.budget >= 1 ? now : std::min(end, now + micros((1 - e.budget) / std::max(rate, 1e-9)) + 1);
    return e.health == Health::closed ? std::max(ready, e.next_trial) : ready;
  }

  void call_served(EndpointState& e, Time sent, const event::AttemptEnded& ev) {
    const Time latency = ev.latency;
    Target& t = target_of(e);
    e.served_at = now, e.served_sent = std::max(e.served_sent, sent);
    t.served.add_event(now), e.served.add_event(now);
    learn_refusal(t, 1), thin_learn(t, false);
    t.refusals = t.failures = 0;
    e.latency += kLatencyGain * (seconds(latency) - e.latency);
    if (e.usual == 0) e.usual = seconds(latency);
    slowness += kSlownessGain * (std::min(seconds(latency) / std::max(e.usual, 1e-3), kMostSlow) - slowness);
    e.usual += kUsualGain * (seconds(latency) - e.usual);
    e.fail_share *= 1 - kFailMemory;
    delay_down(t), pace_raise(t, ev.load_report);
    if (e.health == Health::closed) {
      // Closed on overdue calls alone and they came after all: slow, not out, so nothing is cold.
      e.health = e.fail_run == 0 && e.fail_share < kMostFail / 2 ? Health::open : Health::ramp;
      // It came back some time since the last failure. Many relays that each take it to be now, one after the
      // other as their trials fall due, would start their ramps seconds late.
      e.since = e.health == Health::ramp ? now - (now - e.since) / 2 : now;
      e.budget_at = now;
      log((e.health == Health::open ? "slow " : "ramp ") + e.info.id);
    }
    for (; e.strays > 0; e.strays--) {
      stray_share += kStrayGain * (1 - stray_share);
      e.stray_share += kOwnStrayGain * (1 - e.stray_share);
    }
    stray_share *= 1 - kStrayGain, e.stray_share *= 1 - kOwnStrayGain;
    e.fail_run = 0, e.idle_closed = false;
    e.bundle = std::min(e.bundle + 1, e.bundle_max);
    if (e.call_cap > 0 && now - e.capped_at > micros(2)) e.call_cap++, e.capped_at = now;
  }
  void call_refused(EndpointState& e) {
    Target& t = target_of(e);
    delay_up(t);
    learn_refusal(t, 0);
    if (t.refusals++ == 0) t.refused_from = now;
    if (e.health != Health::closed) pace_cut(t), cut_through(t, e, true);
    if (e.health == Health::open) thin_learn(t, true);
    e.doubt_run = false;
    // Shut, not limited: nothing was served between the refusals.
    const bool shut = t.refusals >= kShutRun && now - t.refused_from >= micros(kShutSpan);
    if (!shut && e.health == Health::open) return;
    e.fail_run = std::max(e.fail_run, 1);
    if (e.apart) return shut || e.health == Health::closed ? close(e, "refuses all") : void();
    for (auto* other : destinations[e.info.destination].endpoints)
      if (shut || other->health == Health::closed) other->fail_run++, close(*other, "refuses all");
  }
  // Where this relay calls seldom, fewer signs must do, else each relay's would come too late.
  int signs_needed(EndpointState& e) const {
    return std::clamp(static_cast<int>(std::ceil(kEvidence * e.asked.rate(now))), 1, kCloseRun);
  }
  // Where calls fail now and then, everywhere or at this endpoint, a run of failures must be longer to tell
  // an outage. Guards against closing sound endpoints one after the other on a day of stray resets, and for
  // good the few that they strike. 1: no strays to speak of.
  double strays_at(const EndpointState& e) const { return std::max(stray_share, e.stray_share); }
  int run_beyond_chance(const EndpointState& e) const {
    const double share = strays_at(e);
    if (share < kStrayLeast) return 1;
    return std::min(kStrayMost, static_cast<int>(std::ceil(std::log(kStrayChance) / std::log(share))));
  }
  void call_failed(EndpointState& e, const event::AttemptEnded& ev, int taken) {
    delay_up(target_of(e));
    if (ev.outcome == Outcome::connect_failed) e.crowded_at = now;
    if (ev.outcome == Outcome::connect_failed && e.fail_run == 0 && !e.calls.empty() && overdue(e) == 0 &&
        e.health == Health::open) {
      // Connects fail while calls are out and answered: its table of connections may be full.
      e.call_cap = std::max<int>(1, static_cast<int>(e.calls.size()));
      e.capped_at = now;
    }
    e.fail_run++;
    if (ev.outcome == Outcome::reset || ev.outcome == Outcome::error)
      e.strays = std::min(e.strays + 1, kStraysOfOne);
    e.doubt_run = ev.outcome != Outcome::connect_failed;
    e.fail_share += kFailMemory * (1 - e.fail_share);
    if (ev.outcome == Outcome::timeout || ev.outcome == Outcome::cancelled) {
      e.latency = std::max(e.latency, std::min(e.latency * 2, seconds(ev.latency)));
      drop_idle(e);
    }
    // In the ramp two in a row close again: one stray failure must not start the ramp anew.
    // A single error proves little: some come from sound endpoints too.
    const int chance = run_beyond_chance(e);
    // A call's messages share its fate: failing calls take fewer along. Guards against whole bundles lost
    // to a doubtful endpoint, and against one that stumbles over large bundles only. Not where it may be a
    // stray failure: under a limit of calls, small bundles would starve the rest.
    const bool lost = ev.outcome != Outcome::connect_failed;
    if (lost && (chance == 1 || e.fail_run > 1)) e.bundle = std::max(1, std::min(e.bundle, taken) / 2);
    const int few = std::max({signs_needed(e), ev.outcome == Outcome::error ? 2 : 1, chance});
    const int run = e.health == Health::open   ? std::max(kCloseRun, chance)
                    : e.health == Health::ramp ? std::max(kCloseRun - 1, chance)
                                               : 1;
    const double most_fail = kMostFail + (chance > 1 ? strays_at(e) : 0);
    if (e.fail_run >= few || e.fail_run + overdue(e) >= run || e.fail_share > most_fail)
      close(e, ev.outcome == Outcome::connect_failed ? "no connection"
               : ev.outcome == Outcome::error        ? "errors"
                                                     : "silent");
    // Endpoints that share a limit mostly go out together: as many signs at any of them as close one close
    // all. Fewer where this relay calls seldom; in larger fleets for silence too, which is told late.
    const bool silent = ev.outcome == Outcome::timeout || ev.outcome == Outcome::cancelled;
    const bool soon = is_thin(target_of(e)) || (silent && set.relay_count > kFewRelays);
    if (++target_of(e).failures < (soon ? few : std::max(kCloseRun, chance)) || e.apart) return;
    for (auto* other : destinations[e.info.destination].endpoints)
      // One that has answered since this call was sent is at work.
      if (other->health == Health::open && other->served_at <= now - ev.latency)
        other->fail_run++, close(*other, "its siblings fail");
  }
  // Guards against unsafe messages lost in silence: a fresh connection fails provably, an old one doesn't.
  void drop_idle(EndpointState& e) {
    if (e.idle_closed) return;
    e.idle_closed = true;
    out->push_back(action::CloseIdleConnections{e.info.id});
  }

  // Guards against connection tables filled by idle connections of many relays: one that will hardly be used
  // again before its end is closed once its call is over, where a connect failed sooner. All are not: where
  // relays are many, nearly each call would cost a handshake.
  void drop_unused() {
    for (const auto& id : ended_at) {
      EndpointState& e = endpoints.at(id);
      const bool crowded = now < e.crowded_at + micros(kCrowded);
      const double gaps = std::max(kIdleSpared / set.relay_count, crowded ? 0 : kLongGap);
      if (e.use_gap > seconds(set.connection_idle_timeout) * gaps)
        out->push_back(action::CloseIdleConnections{id});
    }
    ended_at.clear();
  }

  // ---- The list. ----
  void take(const Endpoint& info) {
    list_changed = true;
    auto [it, fresh] = endpoints.try_emplace(info.id);
    EndpointState& e = it->second;
    e.info = info;
    const auto place = std::min(static_cast<std::size_t>(std::max(info.kind, 0)), set.kinds.size());
    const KindSettings kind = place < set.kinds.size() ? set.kinds[place] : KindSettings{};
    e.own.kind = destinations[info.destination].target.kind = place;
    e.apart = kind.independent_routes, e.bundle_max = kind.max_batch_size;
    begin_paced(target_of(e), info.weight);
    if (fresh) e.suspended = suspended.count(info.id) > 0;
    if (fresh)
      e.bundle = e.bundle_max, e.use_gap = seconds(set.connection_idle_timeout) / 2, e.asked.start(now);
    if (!fresh) return;
    auto& siblings = destinations[info.destination].endpoints;
    // A new endpoint of a destination that is out or returning is no way around its siblings' state.
    const EndpointState* model = nullptr;
    for (const auto* other : siblings)
      if (model == nullptr || other->health == Health::open) model = other;
    if (model != nullptr && !e.apart && model->health != Health::open) {
      e.health = model->health, e.since = model->since, e.usual_rate = model->usual_rate;
      e.budget_at = now, e.next_trial = now, e.budget = uniform();
    }
    siblings.push_back(&e);
  }
  void on(const event::EndpointListSnapshot& ev) {
    for (auto& [id, e] : endpoints) e.info.status = EndpointStatus::removed;
    list_changed = true;
    for (const auto& info : ev.endpoints) take(info);
    if (!ev.cached) return told();
    if (!set.subscribes_to_list) return;
    ask_at = now + micros(uniform() * ask_spread());
    if (set.list_is_pushed) first_list_by = now + micros(std::min(2 * pushed_pause(), shortest_aim / 2));
  }
  void on(const event::EndpointListUpdate& ev) {
    for (const auto& info : ev.endpoints) take(info);
    told();
  }
  void told() { subscribed = true, ask_gap = kAskAgain, ask_at = kNever, first_list_by = 0; }
  // What is suspended is restarted meanwhile: it comes back cold, as after an outage.
  void on(const event::EndpointSuspension& ev) {
    const bool changed =
        ev.suspended ? suspended.insert(ev.endpoint).second : suspended.erase(ev.endpoint) > 0;
    const auto it = endpoints.find(ev.endpoint);
    if (!changed || it == endpoints.end()) return;
    EndpointState& e = it->second;
    e.suspended = ev.suspended;
    if (ev.suspended) return drop_idle(e);
    if (e.health == Health::open) e.usual_rate = usual_rate(e);
    e.health = Health::ramp, e.since = e.budget_at = now, e.budget = uniform();
    e.fail_run = 0, e.fail_share = 0;
    log("cold " + ev.endpoint);
  }
  // Lost by all relays at once, it is asked for again by one after the other; the longer it turns callers
  // away, the rarer. What is known serves meanwhile. Where lists are pushed what it misses binds at once, and
  // after silence or a move soon, so there it is asked for at once, or within a part of that.
  void on(const event::EndpointListLost& ev) {
    const bool had = std::exchange(subscribed, false);
    if (ev.reason != event::ListLossReason::relocated) first_list_by = std::min(first_list_by, now);
    if (set.list_is_pushed) {
      const bool at_once =
          (had || ev.reason == event::ListLossReason::relocated) && now - asked_at > micros(pushed_pause());
      ask_at = at_once ? now : now + micros(jittered(pushed_pause()));
      return;
    }
    // Until it is asked for again, a change may have waited as long as the call or the watch that brought
    // none.
    const Time gone = ev.reason != event::ListLossReason::failed ? set.watch_timeout
                      : had                                      ? 0
                                                                 : set.poll_timeout;
    const double most = kToldAnyway - kAnswerTime - seconds(gone), spread = std::min(ask_spread(), most);
    if (ev.reason == event::ListLossReason::failed) {
      const double least = had ? 0 : spread / 2;
      ask_at = now + micros(std::max(jittered(ask_gap), least + uniform() * (spread - least)));
      ask_gap =
          std::min(2 * ask_gap, (kToldAnyway - kAnswerTime - seconds(set.poll_timeout)) / (1 + kJitter));
    } else {
      ask_at = now + micros(uniform() * spread);
    }
  }
  // Between two calls to an agent that does not answer: often enough to hear of a drain within its grace.
  double pushed_pause() const {
    return set.drain_grace > 0 ? std::min(kPauseOfGrace * seconds(set.drain_grace), kMostPause) : kMostPause;
  }
  // Guards against a discovery that the calls of many relays, started or cut off together, keep from
  // answering any; and against a list that is older than the time after which its changes count as told.
  double ask_spread() const {
    if (set.relay_count <= kFewRelays || set.list_is_pushed) return 0;
    return std::min(kAskApart * set.relay_count, kToldAnyway - kAnswerTime);
  }
  void ask() {
    if (now < ask_at) return wake_by(ask_at);
    ask_at = kNever, asked_at = now;  // one answer or one failure comes
    out->push_back(action::Subscribe{true});
  }

  // ---- Messages. ----
  double value(const Message& m, Time t) const {
    if (t >= m.deadline) return 0;
    if (t <= m.objective) return m.weight;
    const double late = m.message_class->late_weight_fraction, past = seconds(t - m.objective);
    if (set.decay == ValueDecay::exponential)
      return m.weight * std::max(late, std::exp2(-past / seconds(m.message_class->latency_objective)));
    return m.weight * (1 - (1 - late) * past / std::max(1e-6, seconds(m.deadline - m.objective)));
  }
  // What waiting one more short aim would lose, and a part of what is there to win. Guards against a backlog
  // served oldest first: those past their aim lose all the time, fresh ones nothing yet, so that every one
  // comes late. Much more of it lets dear messages die late that would still be worth their half.
  double urgency(const Message& m, Time answer) const {
    const double v = value(m, answer);
    return v - value(m, answer + micros(shortest_aim)) + kWin * v;
  }
  void on(const event::Arrival& ev) {
    Message& m = messages[ev.id];
    m.id = ev.id, m.destination = ev.destination, m.order_key = ev.order_key;
    m.message_class = &set.classes[static_cast<std::size_t>(ev.message_class)];
    m.deadline = now + ev.time_to_deadline, m.not_before = now;
    m.objective = m.deadline - m.message_class->deadline + m.message_class->latency_objective;
    m.weight = m.message_class->priority_weight * share_left(ev.tenant);
    if (!m.message_class->ordered) m.order_key.clear();
    if (!m.order_key.empty()) keys[m.order_key].line.push_back(m.id);
    thin_asked(m);
  }
  // Back from an earlier life. An attempt that may have run bars an unsafe message from all but failing; at
  // once, for no outcome of that life will come any more.
  void on(const event::MessageRecovered& ev) {
    on(ev.message);
    Message& m = messages.at(ev.message.id);
    m.attempts_made = ev.attempts_made;
    m.possible_execution_zone = ev.possible_execution_zone,
    m.possible_execution_sent_at = ev.possible_execution_sent_at;
    if (ev.in_flight) return take_over(m, *ev.in_flight);
    // It may be running still: what comes behind it in its order waits as after any attempt in doubt.
    if (!m.order_key.empty() && m.possible_execution_zone)
      rest(m.order_key, m.possible_execution_sent_at + set.order_key_quiet_period);
    if (m.attempts_made > 0) m.not_before = now + micros(jittered(least_delay(m)));
    const bool barred = m.message_class->idempotency == Idempotency::none && m.possible_execution_zone;
    if (!barred && m.attempts_made < set.max_attempts && m.not_before < latest_send(m)) return;
    finish(m, false);
    forget(messages.find(m.id));
  }
  // The least D at its destination: 0 where nothing is known of a failure there.
  double least_delay(const Message& m) {
    const auto destination = destinations.find(m.destination);
    double least = kUnbounded;
    if (destination != destinations.end())
      for (auto* e : destination->second.endpoints) least = std::min(least, delay_now(target_of(*e)));
    return least < kUnbounded ? least : 0;
  }
  // A call that is still out holds its slot and its message, and tells what becomes of the endpoint.
  void take_over(Message& m, const event::CallInFlight& o) {
    if (endpoints.count(o.endpoint) == 0)
      take({.id = o.endpoint, .destination = m.destination, .status = EndpointStatus::removed});
    EndpointState& e = endpoints.at(o.endpoint);
    const auto [at, fresh] = taken_over.try_emplace(o.call_id, next_call);
    if (fresh) calls[next_call++] = Call{&e, o.sent_at, 0, 0, false}, e.calls.insert(at->second);
    Call& call = calls.at(at->second);
    call.message_count++, call.unsettled_count++;
    m.in_flight[o.attempt] = at->second;
  }
  std::string learned_state() {
    LearnedStateWriter writer;
    writer.add_line(kRelayLine, static_cast<Overall&>(*this));
    writer.add_line(kLowRateLine, thin);
    for (auto& [id, d] : destinations) writer.add_line(kDestinationLine + ' ' + std::to_string(id), d.target);
    for (auto& [id, e] : endpoints) writer.add_line(kEndpointLine + ' ' + id, e);
    return writer.text();
  }
  void on(const event::LearnedStateRestored& ev) {
    for (const auto& line : parse_learned_state(ev.learned_state)) {
      if (line.name == kRelayLine) {
        restore_fields(line, static_cast<Overall&>(*this));
      } else if (line.name == kLowRateLine) {
        restore_fields(line, thin);
      } else if (line.name == kDestinationLine) {
        const auto it = std::find_if(destinations.begin(), destinations.end(),
                                     [&](const auto& d) { return std::to_string(d.first) == line.subject; });
        if (it != destinations.end()) restore_fields(line, it->second.target);
      } else if (line.name == kEndpointLine) {
        const auto it = endpoints.find(line.subject);
        if (it != endpoints.end()) restore_fields(line, it->second);
      }
    }
  }
  // Beyond its share a tenant's messages are worth little; the share is split over the relays.
  double share_left(int tenant) {
    if (tenant < 0 || tenant >= static_cast<int>(set.tenants.size())) return 1;
    const auto i = static_cast<std::size_t>(tenant);
    const double quota = set.tenants[i].quota_per_second / set.relay_count;
    if (quota <= 0) return 1;
    const double tokens = share_tokens[i] + quota * seconds(now - share_at[i]);
    share_tokens[i] = std::min(tokens, burst_of(set.tenants[i]));
    share_at[i] = now;
    if (share_tokens[i] < 1) return set.over_quota_weight_fraction;
    share_tokens[i] -= 1;
    return 1;
  }
  bool may_refuse(const Message& m) const {
    if (m.message_class->idempotency == Idempotency::idempotent) return true;
    if (m.message_class->idempotency == Idempotency::by_key && m.message_class->key_scope == KeyScope::all)
      return true;
    return m.in_flight.empty() && !m.possible_execution_zone;
  }
  void finish(Message& m, bool again, Time come_back = 0) {
    if (m.settled) return;
    m.settled = true;
    const Time soonest = micros(unit * kInitial);
    if (again && may_refuse(m))
      out->push_back(action::Reject{m.id, std::max(std::min(come_back, set.max_retry_after), soonest)});
    else
      out->push_back(action::Fail{m.id});
  }
  // Forgets a message that is over and has nothing out, and lets the next of its key step up.
  void forget(std::map<MessageId, Message>::iterator it) {
    Message& m = it->second;
    if (!m.settled || !m.in_flight.empty()) return;
    if (!m.order_key.empty()) {
      auto& line = keys[m.order_key].line;
      line.erase(std::find(line.begin(), line.end(), m.id));
      drop_key(m.order_key);
    }
    messages.erase(it);
  }
  void rest(const std::string& key, Time until) {
    keys[key].rest_until = std::max(keys[key].rest_until, until);
    resting.emplace_back(until, key);
  }
  void drop_key(const std::string& key) {
    const auto it = keys.find(key);
    if (it != keys.end() && it->second.line.empty() && now >= it->second.rest_until) keys.erase(it);
  }
  // Nothing is kept for ever: keys go when they are empty and rested; endpoints that left the list, when
  // their calls are over and what is known of an outage there has aged out; destinations with their last
  // endpoint.
  void sweep() {
    for (; !resting.empty() && resting.front().first <= now; resting.pop_front())
      drop_key(resting.front().second);
    if (!list_changed) return;
    list_changed = false;
    const auto leaves = [this](const EndpointState& e) {
      const bool known = e.health != Health::open && now < e.since + health_span();
      return e.info.status == EndpointStatus::removed && e.calls.empty() && !known && e.own.wait_until <= now;
    };
    for (auto it = destinations.begin(); it != destinations.end();) {
      std::erase_if(it->second.endpoints, [&](const EndpointState* e) { return leaves(*e); });
      const bool done = it->second.endpoints.empty() && it->second.target.wait_until <= now;
      it = done ? destinations.erase(it) : std::next(it);
    }
    std::erase_if(endpoints, [&](const auto& entry) { return leaves(entry.second); });
  }
  void on(const event::ClientCancelled& ev) {
    auto it = messages.find(ev.id);
    if (it == messages.end()) return;
    it->second.settled = true;
    forget(it);
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
    Time& wait_until = target_of(e).wait_until;
    if (ev.load_report.rate_limit > 0) target_of(e).limit = ev.load_report.rate_limit;
    if (ev.retry_after > 0) wait_until = std::max(wait_until, now + ev.retry_after);
    m.in_flight.erase(attempt);
    const bool last = --call.unsettled_count == 0;
    if (last) e.calls.erase(call_it->first);
    // A call that we gave up in silence is a failure; one that was overtaken says nothing of the endpoint.
    const bool overtaken = ev.outcome == Outcome::cancelled && sent < e.served_at;
    if (!call.outcome_recorded && ev.outcome != Outcome::not_sent && !overtaken) {
      call.outcome_recorded = true;
      if (ev.outcome == Outcome::succeeded)
        call_served(e, sent, ev);
      else if (ev.outcome == Outcome::rejected)
        call_refused(e);
      else
        call_failed(e, ev, call.message_count);
    }
    if (last) calls.erase(call_it), e.used_at = now, ended_at.insert(e.info.id);

    const bool never_ran = ev.outcome == Outcome::rejected || ev.outcome == Outcome::connect_failed ||
                           ev.outcome == Outcome::not_sent;
    if (!never_ran && (!m.possible_execution_zone || sent < m.possible_execution_sent_at))
      m.possible_execution_zone = e.info.zone, m.possible_execution_sent_at = sent;
    const bool doubt =
        ev.outcome == Outcome::timeout || ev.outcome == Outcome::reset || ev.outcome == Outcome::cancelled;
    if (doubt && !m.order_key.empty()) rest(m.order_key, now + set.order_key_quiet_period);
    if (ev.message_settled || ev.outcome == Outcome::succeeded) m.settled = true;
    if (!m.settled && m.in_flight.empty()) {
      // A retry waits the jittered D; one that would come too late, or may not be made, ends here.
      const double d = std::max(delay_now(target_of(e)), kLeast * unit);
      m.not_before = now + micros(jittered(d));
      const bool barred = m.message_class->idempotency == Idempotency::none && m.possible_execution_zone;
      if (barred || m.attempts_made >= set.max_attempts || m.not_before >= latest_send(m)) finish(m, false);
    }
    forget(it);
  }
  // After this a send can't be made any more: the deadline, or the end of the key's window.
  Time latest_send(const Message& m) const {
    // Guards against ends that are told too late: a stall of a few rounds just before the deadline.
    Time t = m.deadline - std::max(2 * set.min_round_interval, micros(kLeastLeft * shortest_aim));
    if (m.message_class->idempotency == Idempotency::by_key && m.possible_execution_zone)
      t = std::min(
          t, m.possible_execution_sent_at + m.message_class->idempotency_window - set.min_round_interval);
    return t;
  }

  // When told waits end so late that no endpoint of its destination may be sent the message any more: that
  // time; else kNever. Guards against holding what is lost until its deadline, its client none the wiser.
  Time barred_until(const Message& m) {
    const auto destination = destinations.find(m.destination);
    Time first = kNever;
    if (destination == destinations.end()) return first;
    for (auto* e : destination->second.endpoints)
      if (usable(*e)) first = std::min(first, target_of(*e).wait_until);
    return first >= latest_send(m) ? first : kNever;
  }

  // ---- The gate. Every send passes here; it tells when to look again. ----
  bool usable(const EndpointState& e) const {
    return e.info.status == EndpointStatus::active && !e.suspended;
  }
  bool passes(const Message& m, EndpointState& e, Time& when) {
    if (!usable(e)) return false;
    const bool keyed_by_zone =
        m.message_class->idempotency == Idempotency::by_key && m.message_class->key_scope == KeyScope::zone;
    if (keyed_by_zone && m.possible_execution_zone && e.info.zone != *m.possible_execution_zone) return false;
    Target& t = target_of(e);
    const Time held = std::max(t.wait_until, t.hold_until);
    if (held > now) return when = std::min(when, held), false;
    if (room_in_call(e)) return true;
    if (calls.size() >= static_cast<std::size_t>(set.max_calls_in_flight)) return false;
    const Time ready = std::max({budget_ready(e), pace_ready(t), thin_ready(t, m)});
    if (ready > now) return when = std::min(when, ready), false;
    if (e.health == Health::closed && m.message_class->idempotency == Idempotency::none && e.doubt_run &&
        now < m.objective) {
      // A trial call that may be lost is no place for a message that can't be repeated.
      return when = std::min(when, m.objective), false;
    }
    return static_cast<int>(e.calls.size()) < call_limit(e);
  }
  bool room_in_call(const EndpointState& e) const {
    if (e.open_call == 0) return false;
    auto it = calls.find(e.open_call);
    return it != calls.end() && it->second.sent_at == now && it->second.message_count < e.bundle;
  }
  // Bulkhead: one endpoint's calls out, so that a silent or slow one can't hold the slots of the rest.
  int call_limit(EndpointState& e) {
    // Trials are spaced; all of them out together may hold a part of the slots only.
    if (on_trial(e))
      return trials_out() < std::max(1.0, kTrialSlots * set.max_calls_in_flight) ? set.max_calls_in_flight
                                                                                 : 0;
    const int late = overdue(e);
    const double most = late > 0 || e.fail_run > 0
                            ? std::max(1.0, set.max_calls_in_flight * kDoubtSlots)
                            : std::max(1.0, std::ceil(set.max_calls_in_flight * kTargetSlots));
    double limit = std::min(most, kBaseCalls + 3 * e.served.rate(now) * e.latency);
    if (e.call_cap > 0) limit = std::min<double>(limit, e.call_cap);
    return std::max(1, static_cast<int>(limit));
  }
  bool on_trial(const EndpointState& e) const { return e.health != Health::open && e.fail_run > 0; }
  int trials_out() const {
    int n = 0;
    for (const auto& [id, call] : calls) n += on_trial(*call.endpoint);
    return n;
  }
  // Cheaper first: shorter expected wait there, its fee, the distance.
  double price(const EndpointState& e) const {
    const auto zone = static_cast<std::size_t>(e.info.zone);
    const double fee = e.apart && zone < set.zone_costs.size() ? set.zone_costs[zone] : 0;
    const double load = static_cast<double>(e.calls.size()) + 1 + e.fail_run;
    return load * e.latency * (e.health == Health::ramp ? 2 : 1) * (1 + fee) +
           (e.info.zone == set.zone ? 0 : 0.02);
  }
  bool try_send(Message& m) {
    Time when = kNever;
    if (m.attempts_made >= set.max_attempts || now >= latest_send(m)) return false;
    if (first_list_by > 0) {
      if (now < first_list_by) return wake_by(first_list_by), false;
      log("no list yet: serving by the one of an earlier life");
      first_list_by = 0;
    }
    if (!m.order_key.empty()) {
      const KeyLine& k = keys[m.order_key];
      const bool own_turn = k.line.front() == m.id;
      if (!own_turn) return false;
      if (m.attempts_made == 0 && now < k.rest_until) return wake_by(k.rest_until), false;
    }
    EndpointState* best = nullptr;
    double best_price = 0;
    const auto destination = destinations.find(m.destination);
    if (destination == destinations.end()) return false;
    for (auto* e : destination->second.endpoints) {
      if (!passes(m, *e, when)) continue;
      const double p = room_in_call(*e) ? -1 : price(*e) * (1 + 0.1 * uniform());
      if (best == nullptr || p < best_price) best = e, best_price = p;
    }
    if (best == nullptr) {
      if (when < kNever) wake_by(when);
      return false;
    }
    if (!room_in_call(*best) && best->health == Health::open && !let(target_of(*best))) return false;
    send(m, *best);
    return true;
  }
  void send(Message& m, EndpointState& e) {
    Target& t = target_of(e);
    if (!room_in_call(e)) {
      e.open_call = next_call++;
      calls[e.open_call] = Call{&e, now, 0, 0, false};
      e.calls.insert(e.open_call);
      if (e.health == Health::open && m.attempts_made == 0) e.asked.add_event(now);
      if (e.used_at > -kNever)
        e.use_gap += kGapGain * (std::min(seconds(now - e.used_at), kMostGap) - e.use_gap);
      e.used_at = now;
      if (t.pace != kUnbounded) t.tokens -= 1;
      if (thin.times != kUnbounded && is_thin(t)) thin.tokens -= 1;
      if (e.health != Health::open) e.budget -= 1;
      if (e.health == Health::closed) e.next_trial = now + trial_gap(e);
      if (overdue(e) > 0) drop_idle(e);
    }
    Call& call = calls[e.open_call];
    call.message_count++, call.unsettled_count++;
    const bool unsafe = m.message_class->idempotency == Idempotency::none;
    const double aims =
        seconds(m.message_class->latency_objective) * (unsafe ? kUnsafeTimeoutAims : kSafeTimeoutAims);
    const Time timeout = std::min(micros(std::max(aims, kTimeoutTimes * e.latency)), m.deadline - now);
    m.in_flight[m.attempts_made++] = e.open_call;
    // Guards against a connection that comes up when the key is forgotten: the message would run twice.
    const Time begin = m.message_class->idempotency == Idempotency::by_key && m.possible_execution_zone
                           ? latest_send(m) - now
                           : 0;
    out->push_back(action::Send{m.id, e.info.id, timeout, begin});
  }

  // Guards against calls taken and never answered: they would hold slots, and repeatable messages, until
  // the long time-out that slow destinations need. Given up are calls that later ones have overtaken and,
  // while slots are short, sooner, also those since whose send nothing was served there. Unsafe messages,
  // which it loses, have an aim's time first. May cut a call that is merely heavy.
  void give_up(Message& m, bool slots_short) {
    const auto [attempt, call_id] = *m.in_flight.begin();
    const Call& call = calls[call_id];
    const bool unsafe = m.message_class->idempotency == Idempotency::none,
               overtaken = call.sent_at < call.endpoint->served_sent;
    const bool silent = call.sent_at >= call.endpoint->served_at;  // answers to earlier calls: slow, at work
    if (m.cancelled_attempt == attempt || !(overtaken || (slots_short && silent))) return;
    const double least = unsafe ? seconds(m.message_class->latency_objective) : 0;
    const double times = slots_short ? kOverdueTimes : kTimeoutTimes;
    double after = times * call.endpoint->latency + kOverdueMore;
    // Later it is worth less; but where all destinations answer slowly, patience is cheaper than cutting.
    if (slots_short)
      after = std::min(after, seconds(m.message_class->latency_objective)) * std::max(1.0, slowness);
    const Time due = call.sent_at + micros(std::max(least, after));
    if (now < due) return wake_by(due);
    m.cancelled_attempt = attempt;
    out->push_back(action::Cancel{m.id, attempt});
  }

  // ---- What goes next. ----
  void dispatch() {
    std::vector<std::pair<double, Message*>> waiting;
    std::vector<MessageId> ended;
    std::size_t held = 0;
    const bool slots_short = calls.size() >= static_cast<std::size_t>(set.max_calls_in_flight);
    for (auto& [id, m] : messages) {
      if (m.settled) continue;
      held++;
      const bool in_flight = !m.in_flight.empty();
      const Time last = in_flight ? m.deadline - 2 * set.min_round_interval : latest_send(m);
      if (now >= last) {
        finish(m, false);
        ended.push_back(id);
        continue;
      }
      wake_by(last);
      if (in_flight) {
        if (set.cancellation) give_up(m, slots_short);
        continue;
      }
      if (const Time until = barred_until(m); until < kNever) {
        finish(m, true, until - now);
        ended.push_back(id);
      } else if (m.not_before > now)
        wake_by(m.not_before);
      else
        waiting.emplace_back(urgency(m, now + micros(kFirstLatency)), &m);
    }
    std::stable_sort(waiting.begin(), waiting.end(),
                     [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<Message*> left;
    for (auto& [u, m] : waiting)
      if (!try_send(*m)) left.push_back(m);
    // Buffer nearly full: hand back what is worth least, rather than have the next ones turned away.
    auto most = static_cast<std::size_t>(kBufferFull * set.max_open_messages);
    for (; held > std::max<std::size_t>(most, 1) && !left.empty(); held--, left.pop_back()) {
      if (!may_refuse(*left.back())) continue;
      finish(*left.back(), true);
      ended.push_back(left.back()->id);
    }
    for (auto id : ended) forget(messages.find(id));
  }

  void handle(Time at, const std::vector<Event>& events, std::vector<Action>& actions) {
    now = std::max(now, at), out = &actions, wake = kNever;
    for (const auto& ev : events) std::visit([this](const auto& e) { on(e); }, ev);
    taken_over.clear();
    if (set.subscribes_to_list) ask();
    dispatch();
    drop_unused();
    sweep();
    if (wake < timer_at && wake < kNever) {
      timer_at = wake;
      actions.push_back(action::SetTimer{std::min<Time>(wake - now, 3'600'000'000), 0});
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
         s.resting.size() + s.suspended.size();
}

std::string Dispatcher::learned_state() const { return state_->learned_state(); }

std::size_t Dispatcher::ejected_endpoint_count() const {
  const auto& all = state_->endpoints;
  return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [](const auto& entry) {
    const EndpointState& e = entry.second;
    return e.info.status != EndpointStatus::removed && (e.suspended || e.health == Health::closed);
  }));
}

void Dispatcher::handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions) {
  state_->handle(now, events, actions);
}

}  // namespace dispatch
