#include "fleet.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <utility>

#include "resource_meters.hpp"

namespace scale_tool {

using namespace dispatch;

namespace {

constexpr double kSecond = 1e6;
constexpr Time kTick = 5'000, kConnectTimeout = 1'000'000, kNever = INT64_MAX / 4;
constexpr double kToldPart = 2.0 / 3, kOverrunMore = 2;  // as the rules and the issue say
constexpr Time kGaugeStep = 50'000;

Time micros(double s) { return static_cast<Time>(std::llround(s * kSecond)); }
double seconds(Time t) { return static_cast<double>(t) / kSecond; }

// The standard's distributions differ between libraries; these give the same everywhere.
class Chance {
 public:
  explicit Chance(std::uint64_t seed) : random_(seed) {}
  double uniform() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  double between(double least, double most) { return least + (most - least) * uniform(); }
  bool one_in(double part) { return uniform() < part; }
  double exponential(double mean) { return -mean * std::log1p(-uniform()); }
  std::size_t below(std::size_t n) { return static_cast<std::size_t>(random_() % n); }
  std::uint64_t bits() { return random_(); }
  double log_normal(double mean, double cv) {
    const double sigma2 = std::log1p(cv * cv);
    const double normal = std::sqrt(-2 * std::log1p(-uniform())) * std::cos(2 * M_PI * uniform());
    return mean * std::exp(std::sqrt(sigma2) * normal - sigma2 / 2);
  }

 private:
  std::mt19937_64 random_;
};

struct Destination {
  bool windowed = false, refused_count = false;
  double rate = 0, window = 0, depth = 0, tells_wait = 0, capacity = 0, load = 0;
  double tokens = 0;  // left of the saved rate
  Time tokens_at = 0;
  std::int64_t window_at = -1, taken = 0;  // in the present window
  double phase = 0;
  double backlog = 0;  // calls queued for its capacity
  Time backlog_at = 0;
  Time down_from = kNever, back_at = -kNever;
  bool fallen = false;
  std::set<int> told;                        // relays that have been told of the present outage
  std::deque<std::pair<Time, bool>> pushes;  // calls while cold, and whether from one that was told
  double left_told = 1, left_next = 1;       // what reports say, refreshed now and then
  Time reported_at = -kNever, next_at = kNever;
  std::vector<int> endpoints;
  // Calls that arrived lately, and since when they have been too many without a break.
  std::deque<Time> lately;
  Time over_since = kNever;
  double longest_over = 0;
};

struct Server {
  EndpointId id;
  int destination = 0, zone = 0;
};

struct Held {
  int destination = 0, message_class = 0;
  Time born = 0, deadline = 0;
  bool counts = false, sound = true;
  std::vector<std::pair<Time, std::optional<Outcome>>> attempts;  // sent, outcome; none: out or not seen
  int zone = 0;                                                   // of its first attempt
};

struct Call {
  int relay = 0, life = 0, server = 0, attempt = 0;
  MessageId message = 0;
  Time sent = 0;
};

struct Relay {
  std::unique_ptr<Dispatcher> module;
  int zone = 0, life = 0;
  bool up = false, round_due = false;
  Time last_round = 0;
  std::vector<Event> inbox;
  std::map<MessageId, Held> held;  // as its journal has it
};

enum class What {
  arrival,
  round,
  timer,
  reaches,
  outcome,
  timeout,
  down,
  replace,
  listed,
  kill,
  start,
  gauge
};

struct Item {
  Time at = 0;
  std::uint64_t order = 0;
  What what = What::arrival;
  std::int64_t a = 0, b = 0;
  bool operator>(const Item& o) const { return at != o.at ? at > o.at : order > o.order; }
};

class Fleet {
 public:
  Fleet(const FleetSettings& settings, const std::function<void(double)>& progress)
      : set_(settings), progress_(progress), chance_(settings.seed * 0x9e3779b97f4a7c15ULL + 1) {
    build();
  }
  FleetResult run();

 private:
  void build();
  Settings settings_of(int rank) const;
  Endpoint listing(const Server& s, EndpointStatus listing = EndpointStatus::active) const;
  void at(Time when, What what, std::int64_t a = 0, std::int64_t b = 0) {
    items_.push({when, order_++, what, a, b});
  }
  void happen(const Item& item);
  void hear(int relay, Event event);
  void round(int relay);
  void act(int relay, const Action& action);
  void send(int relay, const action::Send& a);
  void end_call(std::uint64_t number, Outcome outcome, Time told_wait, const LoadReport& report);
  void reaches(std::uint64_t number);
  void over(Relay& r, std::map<MessageId, Held>::iterator it, bool served, bool handed_back);
  void arrive();
  void kill(), start(int relay);
  void go_down(int destination);
  void replace();

  bool out(const Destination& d) const { return d.fallen || (now_ >= d.down_from && now_ < d.back_at); }
  bool cold(const Destination& d) const {
    return now_ >= d.back_at && now_ < d.back_at + micros(set_.destination.slow_start_duration);
  }
  double capacity(const Destination& d) const {
    const double warm = seconds(now_ - d.back_at) / set_.destination.slow_start_duration;
    return d.capacity * std::min(1.0, set_.destination.slow_start_capacity +
                                          (1 - set_.destination.slow_start_capacity) * std::max(0.0, warm));
  }
  double left(Destination& d);
  std::optional<Time> take(Destination& d);
  LoadReport report(Destination& d);
  void push(Destination& d, bool told);
  void gauge(Destination& d);
  Time delay(const Relay& r, const Server& s) const {
    return micros(r.zone == s.zone ? set_.network.same_zone_delay : set_.network.cross_zone_delay);
  }
  bool counting() const { return now_ >= micros(set_.warm_up) && now_ < micros(set_.duration); }
  void note(std::uint64_t v) { result_.digest = (result_.digest ^ v) * 0x100000001b3ULL; }

  const FleetSettings set_;
  const std::function<void(double)>& progress_;
  Chance chance_;
  Time now_ = 0;
  std::uint64_t order_ = 0, next_call_ = 1;
  MessageId next_message_ = 1;
  double rate_ = 0;                  // messages a second for all destinations
  std::vector<double> up_to_;        // their sums by destination
  std::vector<double> up_to_relay_;  // and of the relays' parts, of 1
  std::priority_queue<Item, std::vector<Item>, std::greater<>> items_;
  std::vector<Relay> relays_;
  std::vector<int> alive_;
  std::vector<Destination> destinations_;
  std::vector<Server> servers_;
  std::unordered_map<EndpointId, int> server_of_;
  std::unordered_map<std::uint64_t, Call> calls_;  // out
  struct Ending {
    Outcome outcome;
    Time told_wait;
    LoadReport report;
  };
  std::unordered_map<std::uint64_t, Ending> endings_;  // on their way back
  std::unordered_map<std::int64_t, std::vector<Endpoint>> news_;
  std::int64_t next_news_ = 0;
  Time restarted_at_ = kNever;
  const std::int64_t allocated_ = allocated().bytes;
  FleetResult result_;
};

void need(bool ok, const char* what) {
  if (!ok) throw std::invalid_argument(what);
}

void Fleet::build() {
  const int all = std::min(set_.relay_count * set_.destinations_per_relay, set_.max_destinations);
  destinations_.resize(static_cast<std::size_t>(all));
  for (int i = 0; i < all; i++) {
    Destination& d = destinations_[static_cast<std::size_t>(i)];
    d.rate = set_.destination.rate_limit;
    d.windowed = chance_.one_in(set_.destination.fixed_window_fraction);
    d.window = chance_.between(set_.destination.min_window, set_.destination.max_window);
    // A rate of which less than one call can be saved up would take none.
    d.depth = std::max(
        chance_.between(set_.destination.min_bucket_fill_time, set_.destination.max_bucket_fill_time),
        1 / d.rate);
    d.refused_count = chance_.one_in(set_.destination.rejections_count_fraction);
    d.tells_wait = chance_.between(set_.destination.min_retry_after_probability,
                                   set_.destination.max_retry_after_probability);
    d.capacity =
        d.rate * chance_.between(set_.destination.min_capacity_ratio, set_.destination.max_capacity_ratio);
    d.load = i < set_.workload.hot_fraction * all ? set_.workload.hot_load : set_.workload.load;
    d.tokens = d.rate * d.depth, d.phase = chance_.uniform();
    const double more = set_.destination.mean_endpoints - std::floor(set_.destination.mean_endpoints);
    const int n = std::max(1, static_cast<int>(set_.destination.mean_endpoints) + chance_.one_in(more));
    for (int k = 0; k < n; k++) {
      d.endpoints.push_back(static_cast<int>(servers_.size()));
      servers_.push_back(
          {"s" + std::to_string(servers_.size()), i,
           static_cast<int>(chance_.below(static_cast<std::size_t>(set_.network.zone_count)))});
      server_of_[servers_.back().id] = static_cast<int>(servers_.size()) - 1;
    }
    rate_ += d.rate * d.load;
    up_to_.push_back(rate_);
  }
  result_.destinations = all, result_.endpoints = static_cast<std::int64_t>(servers_.size());
  relays_.resize(static_cast<std::size_t>(set_.relay_count));
  double sum = 0;
  for (int i = 0; i < set_.relay_count; i++)
    up_to_relay_.push_back(sum += chance_.log_normal(1, set_.workload.relay_skew));
  for (auto& part : up_to_relay_) part /= sum;
  for (int i = 0; i < set_.relay_count; i++) start(i);
  at(micros(chance_.exponential(1 / rate_)), What::arrival);
  if (set_.faults.unavailable_fraction > 0) {
    // So many are down at any time; who is down is drawn when one goes.
    const double gap = set_.faults.outage_duration / (set_.faults.unavailable_fraction * all);
    for (double t = chance_.uniform() * gap; t < set_.duration; t += gap) at(micros(t), What::down);
  }
  if (set_.faults.endpoint_replacement_rate > 0)
    at(micros(chance_.exponential(1 / set_.faults.endpoint_replacement_rate)), What::replace);
  if (set_.faults.killed_relay_fraction > 0) at(micros(set_.faults.killed_at), What::kill);
}

Settings Fleet::settings_of(int rank) const {
  Settings s;
  const auto plain = [](double aim, double deadline, Idempotency effect, double worth) {
    return ClassSettings{.priority_weight = worth,
                         .late_weight_fraction = 0.2,
                         .latency_objective = micros(aim),
                         .deadline = micros(deadline),
                         .idempotency = effect};
  };
  s.classes = {plain(set_.workload.idempotent.latency_objective, set_.workload.idempotent.deadline,
                     Idempotency::idempotent, 1),
               plain(set_.workload.non_idempotent.latency_objective, set_.workload.non_idempotent.deadline,
                     Idempotency::none, 3)};
  s.kinds = {{}};
  s.weights = WeightKind::rough;
  s.relay_count = set_.relay_count, s.relay_index = rank, s.zone = rank % set_.network.zone_count;
  s.max_calls_in_flight = set_.relay.max_calls_in_flight, s.max_open_messages = set_.relay.max_open_messages,
  s.max_attempts = set_.relay.max_attempts;
  s.cancellation = true;
  s.min_round_interval = kTick, s.connect_timeout = kConnectTimeout;
  s.max_retry_after = 3'000'000, s.drain_grace = 2'000'000, s.answer_slack = 100'000;
  s.overload_multiple = set_.destination.overload_multiple,
  s.overload_duration = micros(set_.destination.overload_duration);
  s.slow_start_capacity = set_.destination.slow_start_capacity,
  s.slow_start_duration = micros(set_.destination.slow_start_duration);
  return s;
}

Endpoint Fleet::listing(const Server& s, EndpointStatus listing) const {
  const Destination& d = destinations_[static_cast<std::size_t>(s.destination)];
  // Each relay is told the same; how far the weight is off hangs on the destination.
  const double off = set_.destination.max_weight_error * (2 * std::fmod(d.phase * 7, 1) - 1);
  return {.id = s.id,
          .destination = s.destination,
          .zone = s.zone,
          .status = listing,
          .weight = d.rate * (1 + off)};
}

// ---- Destinations. ----
double Fleet::left(Destination& d) {
  if (!d.windowed) {
    d.tokens = std::min(d.rate * d.depth, d.tokens + d.rate * seconds(now_ - d.tokens_at));
    d.tokens_at = now_;
    return std::max(0.0, d.tokens) / (d.rate * d.depth);
  }
  const auto window = static_cast<std::int64_t>(std::floor(seconds(now_) / d.window + d.phase));
  if (window != d.window_at) d.window_at = window, d.taken = 0;
  const double allowance = d.rate * d.window;
  return std::max(0.0, allowance - static_cast<double>(d.taken)) / allowance;
}

// None: taken. Else refused, with the time until there is room again.
std::optional<Time> Fleet::take(Destination& d) {
  left(d);
  if (!d.windowed) {
    const bool free = d.tokens >= 1;
    if (free || d.refused_count) d.tokens = std::max(d.tokens - 1, -d.rate * d.depth);
    if (free) return std::nullopt;
    return micros((1 - d.tokens) / d.rate) + 1;
  }
  // Whole calls, so many that the mean over all windows is the rate.
  const double k = static_cast<double>(d.window_at), allowance = d.rate * d.window;
  const auto most = static_cast<std::int64_t>(std::floor((k + 1) * allowance) - std::floor(k * allowance));
  const bool free = d.taken < most;
  if (free || d.refused_count) d.taken++;
  if (free) return std::nullopt;
  return micros((k + 1 - d.phase) * d.window) - now_ + 1;
}

LoadReport Fleet::report(Destination& d) {
  const Time period = micros(set_.destination.load_report_period),
             late = micros(set_.destination.load_report_delay);
  if (now_ >= d.next_at) d.left_told = d.left_next, d.next_at = kNever;
  if (now_ - d.reported_at >= period) {
    d.reported_at = now_, d.next_at = now_ + late;
    d.left_next = std::clamp(left(d) * (1 + set_.destination.load_report_noise * (2 * chance_.uniform() - 1)),
                             0.0, 1.0);
  }
  LoadReport r;
  r.remaining_fraction = d.left_told;
  r.rate_limit = d.rate * (1 + set_.destination.load_report_noise * (2 * chance_.uniform() - 1));
  return r;
}

// Beyond its budget of N calls in the time that the settings name, twice the root of N and 2 are put down to
// chance.
void Fleet::push(Destination& d, bool told) {
  d.pushes.emplace_back(now_, told);
  while (d.pushes.front().first <= now_ - micros(set_.destination.overload_duration)) d.pushes.pop_front();
  const double n = set_.destination.overload_multiple * capacity(d) * set_.destination.overload_duration;
  if (static_cast<double>(d.pushes.size()) <= n + 2 * std::sqrt(n) + 2) return;
  const auto by_told =
      std::count_if(d.pushes.begin(), d.pushes.end(), [](const auto& p) { return p.second; });
  result_.collapses++;
  result_.collapses_by_notified_relays +=
      static_cast<double>(by_told) > kToldPart * static_cast<double>(d.pushes.size());
  d.fallen = true;
}

// Whether the calls of its last window are more than the limit allows in such a time.
void Fleet::gauge(Destination& d) {
  const double span = d.windowed ? d.window : d.depth;
  while (!d.lately.empty() && d.lately.front() <= now_ - micros(span)) d.lately.pop_front();
  const bool over = static_cast<double>(d.lately.size()) > std::max(1.0, d.rate * span) + 1;
  if (!over) d.over_since = kNever;
  if (over && d.over_since == kNever) d.over_since = now_;
  if (over) d.longest_over = std::max(d.longest_over, seconds(now_ - d.over_since));
}

void Fleet::go_down(int destination) {
  Destination& d = destinations_[static_cast<std::size_t>(destination)];
  if (d.fallen || now_ < d.back_at + micros(set_.destination.slow_start_duration)) return;
  d.down_from = now_, d.back_at = now_ + micros(set_.faults.outage_duration);
  d.told.clear(), d.pushes.clear();
  // Calls that it had taken on get no answer any more.
  std::vector<std::uint64_t> lost;
  for (const auto& [number, ending] : endings_) {
    const auto call = calls_.find(number);
    if (call != calls_.end() &&
        servers_[static_cast<std::size_t>(call->second.server)].destination == destination)
      lost.push_back(number);
  }
  for (const auto number : lost) endings_.erase(number);
  for (auto& r : relays_)
    for (auto& [id, held] : r.held)
      if (held.destination == destination) held.sound = false;
}

// One endpoint leaves the list and another takes its place; each relay hears of it within the list's delay.
void Fleet::replace() {
  const int old = static_cast<int>(chance_.below(servers_.size()));
  Destination& d =
      destinations_[static_cast<std::size_t>(servers_[static_cast<std::size_t>(old)].destination)];
  const auto place = std::find(d.endpoints.begin(), d.endpoints.end(), old);
  if (place == d.endpoints.end()) return;
  const int fresh = static_cast<int>(servers_.size());
  servers_.push_back({"s" + std::to_string(fresh), servers_[static_cast<std::size_t>(old)].destination,
                      servers_[static_cast<std::size_t>(old)].zone});
  server_of_[servers_.back().id] = fresh;
  *place = fresh;
  news_[next_news_] = {listing(servers_.back()),
                       listing(servers_[static_cast<std::size_t>(old)], EndpointStatus::draining)};
  news_[next_news_ + 1] = {listing(servers_[static_cast<std::size_t>(old)], EndpointStatus::removed)};
  for (int i = 0; i < set_.relay_count; i++) {
    const Time first = now_ + micros(set_.network.max_list_delay * chance_.uniform());
    at(first, What::listed, i, next_news_);
    at(first + 2'000'000, What::listed, i, next_news_ + 1);
  }
  next_news_ += 2;
}

// ---- Relays. ----
void Fleet::hear(int relay, Event event) {
  Relay& r = relays_[static_cast<std::size_t>(relay)];
  if (!r.up) return;
  r.inbox.push_back(std::move(event));
  if (std::exchange(r.round_due, true)) return;
  at(std::max(now_, r.last_round + kTick), What::round, relay, r.life);
}

void Fleet::round(int relay) {
  Relay& r = relays_[static_cast<std::size_t>(relay)];
  r.round_due = false, r.last_round = now_;
  const auto events = std::exchange(r.inbox, {});
  std::vector<Action> actions;
  r.module->handle(now_, events, actions);
  for (const auto& action : actions) act(relay, action);
}

void Fleet::act(int relay, const Action& action) {
  Relay& r = relays_[static_cast<std::size_t>(relay)];
  const auto ended = [&](MessageId id, bool handed_back) {
    const auto it = r.held.find(id);
    if (it != r.held.end()) over(r, it, false, handed_back);
  };
  if (const auto* s = std::get_if<action::Send>(&action)) {
    send(relay, *s);
  } else if (const auto* refuse = std::get_if<action::Reject>(&action)) {
    ended(refuse->id, true);
  } else if (const auto* fail = std::get_if<action::Fail>(&action)) {
    ended(fail->id, false);
  } else if (const auto* timer = std::get_if<action::SetTimer>(&action)) {
    at(now_ + timer->after, What::timer, relay, r.life);
  } else if (const auto* cancel = std::get_if<action::Cancel>(&action)) {
    for (auto& [number, call] : calls_)
      if (call.relay == relay && call.message == cancel->id && call.attempt == cancel->attempt)
        return at(now_, What::timeout, static_cast<std::int64_t>(number), 1);
  }
}

void Fleet::send(int relay, const action::Send& a) {
  Relay& r = relays_[static_cast<std::size_t>(relay)];
  Held& held = r.held.at(a.id);
  const auto number = next_call_++;
  const int server = server_of_.at(a.endpoint);
  calls_[number] = {relay, r.life, server, static_cast<int>(held.attempts.size()), a.id, now_};
  if (held.attempts.empty()) held.zone = servers_[static_cast<std::size_t>(server)].zone;
  held.attempts.emplace_back(now_, std::nullopt);
  result_.calls += counting();
  note(static_cast<std::uint64_t>(now_) ^ (a.id << 20) ^ static_cast<std::uint64_t>(server));
  at(now_ + delay(r, servers_[static_cast<std::size_t>(server)]), What::reaches,
     static_cast<std::int64_t>(number));
  at(now_ + a.timeout, What::timeout, static_cast<std::int64_t>(number), 0);
}

// The call has come to the destination: down, refused, or served after a while.
void Fleet::reaches(std::uint64_t number) {
  const auto it = calls_.find(number);
  if (it == calls_.end()) return;
  const Call& call = it->second;
  const Server& server = servers_[static_cast<std::size_t>(call.server)];
  Destination& d = destinations_[static_cast<std::size_t>(server.destination)];
  const Time back = delay(relays_[static_cast<std::size_t>(call.relay)], server);
  d.lately.push_back(now_);
  gauge(d);
  const auto ends = [&](Time when, Outcome outcome, Time told_wait = 0, LoadReport report = {}) {
    endings_[number] = {outcome, told_wait, report};
    at(when, What::outcome, static_cast<std::int64_t>(number));
  };
  if (out(d)) return ends(now_ + kConnectTimeout - back, Outcome::connect_failed);
  if (cold(d)) push(d, d.told.count(call.relay) > 0);
  if (d.fallen) return ends(now_ + kConnectTimeout - back, Outcome::connect_failed);
  const double able = capacity(d);
  d.backlog = std::max(0.0, d.backlog - able * seconds(now_ - d.backlog_at));
  d.backlog_at = now_;
  const auto wait = take(d);
  const bool full = d.backlog > std::max(1.0, able * d.depth);
  if (wait || full) {
    result_.calls_rejected += counting();
    const bool told = wait && chance_.one_in(d.tells_wait);
    return ends(now_ + back, Outcome::rejected, told ? (*wait + 999) / 1000 * 1000 : 0, report(d));
  }
  const double queued = d.backlog / able;
  d.backlog += 1;
  ends(now_ + back +
           micros(queued + chance_.log_normal(set_.destination.mean_service_time,
                                              set_.destination.service_time_variation)),
       Outcome::succeeded, 0, report(d));
}

void Fleet::end_call(std::uint64_t number, Outcome outcome, Time told_wait, const LoadReport& report) {
  const auto it = calls_.find(number);
  if (it == calls_.end()) return;
  const Call call = it->second;
  calls_.erase(it);
  Relay& r = relays_[static_cast<std::size_t>(call.relay)];
  result_.calls_succeeded += outcome == Outcome::succeeded && counting();
  result_.calls_failed += outcome != Outcome::succeeded && outcome != Outcome::rejected && counting();
  if (call.life != r.life || !r.up) return;
  note(static_cast<std::uint64_t>(now_) * 31 + static_cast<std::uint64_t>(outcome));
  const Server& server = servers_[static_cast<std::size_t>(call.server)];
  event::AttemptEnded e;
  e.id = call.message, e.attempt = call.attempt, e.endpoint = server.id, e.outcome = outcome;
  e.latency = now_ - call.sent, e.message_settled = outcome == Outcome::succeeded, e.retry_after = told_wait,
  e.load_report = report;
  Destination& d = destinations_[static_cast<std::size_t>(server.destination)];
  // As the rule has it: told of a call that failed or was refused there during the outage.
  const Time reached = call.sent + delay(r, server);
  const bool in_outage = d.fallen || (reached >= d.down_from && reached < d.back_at);
  if (outcome != Outcome::succeeded && in_outage) d.told.insert(call.relay);
  const auto held = r.held.find(call.message);
  if (held != r.held.end()) {
    held->second.attempts.at(static_cast<std::size_t>(call.attempt)).second = outcome;
    if (outcome == Outcome::succeeded) over(r, held, true, false);
  }
  hear(call.relay, e);
}

void Fleet::over(Relay& r, std::map<MessageId, Held>::iterator it, bool served, bool handed_back) {
  const Held& h = it->second;
  if (h.counts) {
    const bool in_time = served && now_ <= h.deadline;
    const double aim = h.message_class == 0 ? set_.workload.idempotent.latency_objective
                                            : set_.workload.non_idempotent.latency_objective;
    result_.messages++, result_.delivered += in_time;
    result_.within_objective += served && now_ <= h.born + micros(aim);
    result_.failed += !served && !handed_back, result_.rejected += handed_back;
    result_.never_attempted += h.attempts.empty();
    result_.unaffected_messages += h.sound, result_.unaffected_delivered += h.sound && in_time;
  }
  note(it->first * 7 + served);
  r.held.erase(it);
}

void Fleet::arrive() {
  const bool burst = now_ >= micros(set_.workload.burst_start) && now_ < micros(set_.workload.burst_end);
  const double rate = burst ? rate_ * set_.workload.burst_load / set_.workload.load : rate_;
  if (now_ < micros(set_.duration)) at(now_ + micros(chance_.exponential(1 / rate)), What::arrival);
  const double drawn = chance_.uniform() * rate_;
  const auto destination =
      static_cast<int>(std::upper_bound(up_to_.begin(), up_to_.end(), drawn) - up_to_.begin());
  const Destination& d = destinations_[static_cast<std::size_t>(
      std::min(destination, static_cast<int>(destinations_.size()) - 1))];
  if (alive_.empty()) return;
  const auto drawn_relay = std::upper_bound(up_to_relay_.begin(), up_to_relay_.end(), chance_.uniform());
  auto relay =
      static_cast<int>(std::min(drawn_relay - up_to_relay_.begin(), std::ptrdiff_t{set_.relay_count - 1}));
  // The front deals what a dead one would get to the others.
  if (!relays_[static_cast<std::size_t>(relay)].up) relay = alive_[chance_.below(alive_.size())];
  Held h;
  h.destination = static_cast<int>(&d - destinations_.data());
  h.message_class = chance_.one_in(set_.workload.non_idempotent_fraction);
  h.born = now_;
  const Time span = micros(h.message_class == 0 ? set_.workload.idempotent.deadline
                                                : set_.workload.non_idempotent.deadline);
  h.deadline = now_ + span;
  h.counts = counting() && h.deadline <= micros(set_.duration);
  h.sound = !out(d) && !cold(d);
  const MessageId id = next_message_++;
  event::Arrival a;
  a.id = id, a.destination = h.destination, a.message_class = h.message_class, a.time_to_deadline = span;
  relays_[static_cast<std::size_t>(relay)].held.emplace(id, std::move(h));
  hear(relay, a);
}

void Fleet::kill() {
  const auto n = static_cast<std::size_t>(std::lround(set_.faults.killed_relay_fraction * set_.relay_count));
  for (std::size_t i = 0; i < n; i++) {
    Relay& r = relays_[i];
    r.up = false, r.life++, r.inbox.clear(), r.round_due = false, r.module.reset();
    at(now_ + micros(set_.faults.restart_delay), What::start, static_cast<std::int64_t>(i));
  }
  std::erase_if(alive_, [n](int i) { return static_cast<std::size_t>(i) < n; });
}

void Fleet::start(int relay) {
  Relay& r = relays_[static_cast<std::size_t>(relay)];
  r.module = std::make_unique<Dispatcher>(settings_of(relay), chance_.bits());
  r.zone = relay % set_.network.zone_count, r.up = true;
  alive_.push_back(relay);
  if (r.life > 0 && restarted_at_ == kNever) {
    restarted_at_ = now_;
    for (Time t = now_; t < micros(set_.duration); t += kGaugeStep) at(t, What::gauge);
    for (auto& d : destinations_) d.longest_over = 0, d.over_since = kNever;
  }
  event::EndpointListSnapshot list;
  for (const auto& d : destinations_)
    for (const int s : d.endpoints) list.endpoints.push_back(listing(servers_[static_cast<std::size_t>(s)]));
  hear(relay, std::move(list));
  for (auto& [id, h] : r.held) {
    event::MessageRecovered e;
    e.message.id = id, e.message.destination = h.destination, e.message.message_class = h.message_class;
    e.message.time_to_deadline = h.deadline - now_;
    e.attempts_made = static_cast<int>(h.attempts.size());
    for (const auto& [sent, outcome] : h.attempts) {
      const bool never_ran =
          outcome && (*outcome == Outcome::rejected || *outcome == Outcome::connect_failed);
      if (never_ran || e.possible_execution_zone) continue;
      e.possible_execution_zone = h.zone, e.possible_execution_sent_at = sent;
    }
    hear(relay, std::move(e));
  }
}

void Fleet::happen(const Item& item) {
  const auto relay = static_cast<std::size_t>(item.a);
  const auto number = static_cast<std::uint64_t>(item.a);
  const auto lives = [&] { return relays_[relay].up && relays_[relay].life == item.b; };
  switch (item.what) {
    case What::arrival:
      return arrive();
    case What::round:
      return lives() ? round(static_cast<int>(relay)) : void();
    case What::timer:
      return lives() ? hear(static_cast<int>(relay), event::TimerExpired{0}) : void();
    case What::reaches:
      return reaches(number);
    case What::timeout:
      endings_.erase(number);
      return end_call(number, item.b == 1 ? Outcome::cancelled : Outcome::timeout, 0, {});
    case What::outcome: {
      const auto ending = endings_.extract(number);
      if (ending)
        end_call(number, ending.mapped().outcome, ending.mapped().told_wait, ending.mapped().report);
      return;
    }
    case What::down:
      return go_down(static_cast<int>(chance_.below(destinations_.size())));
    case What::replace:
      if (now_ < micros(set_.duration))
        at(now_ + micros(chance_.exponential(1 / set_.faults.endpoint_replacement_rate)), What::replace);
      return replace();
    case What::listed:
      return hear(static_cast<int>(relay), event::EndpointListUpdate{news_.at(item.b)});
    case What::kill:
      return kill();
    case What::start:
      return start(static_cast<int>(relay));
    case What::gauge:
      for (auto& d : destinations_) gauge(d);
      return;
  }
}

FleetResult Fleet::run() {
  const double from = thread_time();
  // Past the last arrival until all messages are over.
  const Time end = micros(set_.duration + set_.workload.non_idempotent.deadline + 1);
  Time told = 0;
  while (!items_.empty() && items_.top().at <= end) {
    const Item item = items_.top();
    items_.pop();
    now_ = item.at;
    if (now_ - told >= micros(1)) progress_(seconds(told = now_));
    happen(item);
  }
  for (const auto& d : destinations_) {
    result_.calls_allowed += d.rate * (set_.duration - set_.warm_up);
    const double span = d.windowed ? d.window : d.depth;
    if (restarted_at_ == kNever) continue;
    result_.longest_overrun = std::max(result_.longest_overrun, d.longest_over);
    result_.overruns += d.longest_over > span + kOverrunMore;
  }
  result_.bytes_per_relay = (allocated().bytes - allocated_) / set_.relay_count;
  result_.cpu_seconds_per_relay = (thread_time() - from) / kSecond / set_.relay_count / seconds(now_);
  return result_;
}

}  // namespace

void validate(const FleetSettings& s) {
  need(s.relay_count >= 1, "relays: must be 1 or more");
  need(s.destinations_per_relay >= 1 && s.max_destinations >= 1, "destinations: must be 1 or more");
  need(s.destination.rate_limit > 0 && s.workload.load > 0, "limit and load: must be above 0");
  need(s.workload.burst_start >= s.workload.burst_end || s.workload.burst_load > 0,
       "burst_load: must be above 0");
  need(s.warm_up < s.duration, "warm_up: must be under length");
  need(s.network.zone_count >= 1, "zones: must be 1 or more");
}

FleetResult run_fleet(const FleetSettings& settings, const std::function<void(double)>& progress) {
  validate(settings);
  return Fleet(settings, progress).run();
}

}  // namespace scale_tool
