#include "fleet.hpp"

#include <algorithm>
#include <cmath>
#include <memory>
#include <optional>
#include <stdexcept>
#include <utility>
#include <variant>
#include <vector>

#include "resource_meters.hpp"
#include "simulation/call_table.hpp"
#include "simulation/destination.hpp"
#include "simulation/endpoint_directory.hpp"
#include "simulation/event_queue.hpp"
#include "simulation/random_source.hpp"
#include "simulation/simulated_relay.hpp"
#include "simulation/statistics.hpp"
#include "simulation/virtual_time.hpp"
#include "simulation/workload.hpp"
#include "units.hpp"

namespace scale_tool {
namespace simulation {
namespace {

using dispatch::Outcome;

// The time for which a replaced endpoint is listed as draining before it is removed from the list, in
// microseconds.
constexpr Time kDrainingTime = 2'000'000;
constexpr Time kOverrunMeasurementInterval = 50'000;  // microseconds

constexpr std::uint64_t kGoldenRatioMultiplier = 0x9e3779b97f4a7c15;  // 2^64 divided by the golden ratio

// Spreads the seeds over 64 bits, so that consecutive seeds do not give random engines with similar states.
std::uint64_t engine_seed(std::uint64_t seed) { return seed * kGoldenRatioMultiplier + 1; }

// Connects the relays and the destinations over a simulated network: processes the events of the queue and
// executes the actions of the dispatchers.
// Invariant: `now_` is the time of the event that is being processed and never decreases; `running_relays_`
// holds the indices of the relays that are up.
class Fleet {
 public:
  // Creates the destinations and the relays and starts the relays. `progress` must outlive this object.
  Fleet(const FleetSettings& settings, const std::function<void(double)>& progress);
  // Processes all events and returns the results. May be called only once.
  [[nodiscard]] FleetResult run();

 private:
  // Draws the destinations and adds their endpoints to the directory.
  [[nodiscard]] std::vector<Destination> make_destinations();
  void add_endpoints(DestinationIndex destination);
  void schedule_faults();

  void handle(const MessageArrival&);
  void handle(const DispatcherRound& round);
  void handle(const TimerExpiry& timer);
  void handle(const CallArrival& arrival);
  void handle(const ReplyArrival& arrival);
  void handle(const CallAbort& abort);
  void handle(const OutageStart&);
  void handle(const ListChange&);
  void handle(const ListUpdateArrival& update);
  void handle(const RelayKill&);
  void handle(const RelayStart& start);
  void handle(const OverrunMeasurement&);

  void execute(RelayIndex relay, const dispatch::action::Send& send);
  void execute(RelayIndex relay, const dispatch::action::Reject& reject);
  void execute(RelayIndex relay, const dispatch::action::Fail& fail);
  void execute(RelayIndex relay, const dispatch::action::SetTimer& timer);
  void execute(RelayIndex relay, const dispatch::action::Cancel& cancel);
  // The remaining actions belong to features that the settings leave off, or have no effect in the
  // simulation.
  template <class OtherAction>
  void execute(RelayIndex, const OtherAction&) {}

  void start_relay(RelayIndex relay);
  void start_overrun_measurement();
  void enqueue(RelayIndex relay, dispatch::Event event);
  void accept_message(RelayIndex relay, DestinationIndex destination);
  void end_call(CallNumber number, const CallReply& reply);
  void notify_of_outage(const Call& call);
  void record_outcome(const Call& call, Outcome outcome);
  void end_message(RelayIndex relay, dispatch::MessageId id, MessageResult result);
  void announce_replacement(const EndpointReplacement& replacement);

  Destination& destination_of(EndpointIndex endpoint) {
    return destinations_.at(endpoints_.at(endpoint).destination);
  }
  // The one-way delay between the relay and the endpoint.
  Time network_delay(RelayIndex relay, EndpointIndex endpoint) const;
  Time end_of_arrivals() const { return to_microseconds(settings_.duration); }

  const std::int64_t initial_allocated_bytes_ = allocated_memory().bytes;
  const FleetSettings settings_;
  const std::function<void(double)>& progress_;
  RandomSource random_;
  EventQueue queue_;
  Time now_ = 0;
  EndpointDirectory endpoints_;
  std::vector<Destination> destinations_;
  Workload workload_;
  std::vector<SimulatedRelay> relays_;
  std::vector<RelayIndex> running_relays_;
  CallTable calls_;
  dispatch::MessageId next_message_ = 1;
  bool has_restarted_relays_ = false;  // a killed relay has been started again
  Statistics statistics_;
};

Fleet::Fleet(const FleetSettings& settings, const std::function<void(double)>& progress)
    : settings_(settings),
      progress_(progress),
      random_(engine_seed(settings.seed)),
      destinations_(make_destinations()),
      workload_(settings_, destinations_, random_),
      statistics_(settings_) {
  for (int i = 0; i < settings_.relay_count; i++) relays_.emplace_back(i % settings_.network.zone_count);
  for (RelayIndex relay = 0; relay < relays_.size(); relay++) start_relay(relay);
  queue_.schedule(workload_.first_interval(random_), MessageArrival{});
  schedule_faults();
}

std::vector<Destination> Fleet::make_destinations() {
  const int count =
      std::min(settings_.relay_count * settings_.destinations_per_relay, settings_.max_destinations);
  std::vector<Destination> destinations;
  for (int i = 0; i < count; i++) {
    const bool is_hot = i < settings_.workload.hot_fraction * count;
    const double load = is_hot ? settings_.workload.hot_load : settings_.workload.load;
    destinations.emplace_back(settings_.destination, load, draw_traits(settings_.destination, random_));
    endpoints_.add_destination();
    add_endpoints(destinations.size() - 1);
  }
  return destinations;
}

// The number of endpoints is the mean rounded down or up at random, such that its expected value is the mean,
// and at least 1.
void Fleet::add_endpoints(DestinationIndex destination) {
  const double mean = settings_.destination.mean_endpoints;
  const bool is_rounded_up = random_.bernoulli(mean - std::floor(mean));
  const int count = std::max(1, static_cast<int>(mean) + (is_rounded_up ? 1 : 0));
  for (int i = 0; i < count; i++) {
    const auto zone = random_.index(static_cast<std::size_t>(settings_.network.zone_count));
    endpoints_.add_endpoint(destination, static_cast<int>(zone));
  }
}

void Fleet::schedule_faults() {
  const FaultSettings& faults = settings_.faults;
  if (faults.unavailable_fraction > 0) {
    // The destination is drawn when the outage begins.
    const double interval =
        faults.outage_duration / (faults.unavailable_fraction * static_cast<double>(destinations_.size()));
    for (double at = random_.uniform() * interval; at < settings_.duration; at += interval)
      queue_.schedule(to_microseconds(at), OutageStart{});
  }
  if (faults.endpoint_replacement_rate > 0) {
    const double interval = random_.exponential(1 / faults.endpoint_replacement_rate);
    queue_.schedule(to_microseconds(interval), ListChange{});
  }
  if (faults.killed_relay_fraction > 0) queue_.schedule(to_microseconds(faults.killed_at), RelayKill{});
}

Time Fleet::network_delay(RelayIndex relay, EndpointIndex endpoint) const {
  const bool is_same_zone = relays_.at(relay).zone() == endpoints_.at(endpoint).zone;
  return to_microseconds(is_same_zone ? settings_.network.same_zone_delay
                                      : settings_.network.cross_zone_delay);
}

FleetResult Fleet::run() {
  const double cpu_time_before = thread_cpu_time();
  // Continues after the last arrival for the deadline of non-idempotent messages and 1 s more, so that all
  // messages end.
  const Time end = to_microseconds(settings_.duration + settings_.workload.non_idempotent.deadline + 1);
  const Time progress_interval = to_microseconds(1);
  Time progress_at = 0;
  while (const std::optional<ScheduledEvent> next = queue_.pop(end)) {
    now_ = next->at;
    if (now_ - progress_at >= progress_interval) {
      progress_at = now_;
      progress_(to_seconds(now_));
    }
    std::visit([this](const auto& event) { handle(event); }, next->event);
  }
  FleetResult result = statistics_.result(destinations_, has_restarted_relays_);
  result.endpoints = static_cast<std::int64_t>(endpoints_.size());
  result.bytes_per_relay = (allocated_memory().bytes - initial_allocated_bytes_) / settings_.relay_count;
  result.cpu_seconds_per_relay = (thread_cpu_time() - cpu_time_before) / kMicrosecondsPerSecond /
                                 settings_.relay_count / to_seconds(now_);
  return result;
}

// ---- Relays ----

void Fleet::enqueue(RelayIndex relay, dispatch::Event event) {
  const std::optional<Time> round_at = relays_.at(relay).enqueue(now_, std::move(event));
  if (round_at) queue_.schedule(*round_at, DispatcherRound{relay, relays_.at(relay).incarnation()});
}

void Fleet::handle(const DispatcherRound& round) {
  if (!relays_.at(round.relay).is_running(round.incarnation)) return;
  for (const dispatch::Action& action : relays_.at(round.relay).run_round(now_))
    std::visit([&](const auto& typed_action) { execute(round.relay, typed_action); }, action);
}

void Fleet::handle(const TimerExpiry& timer) {
  if (relays_.at(timer.relay).is_running(timer.incarnation))
    enqueue(timer.relay, dispatch::event::TimerExpired{0});
}

void Fleet::handle(const RelayKill&) {
  const double fraction = settings_.faults.killed_relay_fraction;
  const auto killed_count = static_cast<RelayIndex>(std::lround(fraction * settings_.relay_count));
  for (RelayIndex relay = 0; relay < killed_count; relay++) {
    relays_.at(relay).kill();
    queue_.schedule(now_ + to_microseconds(settings_.faults.restart_delay), RelayStart{relay});
  }
  std::erase_if(running_relays_, [killed_count](RelayIndex relay) { return relay < killed_count; });
}

void Fleet::handle(const RelayStart& start) {
  if (!std::exchange(has_restarted_relays_, true)) start_overrun_measurement();
  start_relay(start.relay);
}

void Fleet::start_relay(RelayIndex relay) {
  SimulatedRelay& started = relays_.at(relay);
  started.start(
      std::make_unique<dispatch::Dispatcher>(dispatcher_settings(settings_, relay), random_.bits()));
  running_relays_.push_back(relay);
  enqueue(relay, dispatch::event::EndpointListSnapshot{.endpoints = endpoints_.entries(destinations_)});
  for (const auto& [destination, limit] : started.limited_destinations())
    enqueue(relay, dispatch::event::DestinationLimitRecovered{destination, limit});
  for (auto& message : started.recovered_messages(now_)) enqueue(relay, std::move(message));
}

void Fleet::execute(RelayIndex relay, const dispatch::action::SetTimer& timer) {
  queue_.schedule(now_ + timer.after, TimerExpiry{relay, relays_.at(relay).incarnation()});
}

// ---- Messages ----

void Fleet::handle(const MessageArrival&) {
  if (now_ < end_of_arrivals())
    queue_.schedule(now_ + workload_.next_interval(now_, random_), MessageArrival{});
  const DestinationIndex destination = workload_.draw_destination(random_);
  if (running_relays_.empty()) return;
  RelayIndex relay = workload_.draw_relay(random_);
  // The load balancer in front of the relays distributes the messages of a relay that is down over the
  // others.
  if (!relays_.at(relay).is_up()) relay = running_relays_.at(random_.index(running_relays_.size()));
  accept_message(relay, destination);
}

void Fleet::accept_message(RelayIndex relay, DestinationIndex destination) {
  const Destination& destination_model = destinations_.at(destination);
  JournaledMessage message;
  message.destination = destination;
  message.message_class = workload_.draw_class(random_);
  message.arrived_at = now_;
  const Time time_to_deadline =
      to_microseconds(objectives(settings_.workload, message.message_class).deadline);
  message.deadline = now_ + time_to_deadline;
  message.is_counted = statistics_.counts_message(now_, message.deadline);
  message.is_unaffected = !destination_model.is_down(now_) && !destination_model.is_in_slow_start(now_);

  dispatch::event::Arrival arrival;
  arrival.id = next_message_++;
  arrival.destination = static_cast<dispatch::DestinationId>(destination);
  arrival.message_class = static_cast<int>(message.message_class);
  arrival.time_to_deadline = time_to_deadline;
  relays_.at(relay).journal().emplace(arrival.id, std::move(message));
  enqueue(relay, std::move(arrival));
}

void Fleet::execute(RelayIndex relay, const dispatch::action::Reject& reject) {
  end_message(relay, reject.id, MessageResult::rejected);
}

void Fleet::execute(RelayIndex relay, const dispatch::action::Fail& fail) {
  end_message(relay, fail.id, MessageResult::failed);
}

void Fleet::end_message(RelayIndex relay, dispatch::MessageId id, MessageResult result) {
  Journal& journal = relays_.at(relay).journal();
  const auto found = journal.find(id);
  if (found == journal.end()) return;
  statistics_.record_message_end(now_, id, found->second, result);
  journal.erase(found);
}

// ---- Calls ----

void Fleet::execute(RelayIndex relay, const dispatch::action::Send& send) {
  JournaledMessage& message = relays_.at(relay).journal().at(send.id);
  Call call;
  call.relay = relay;
  call.incarnation = relays_.at(relay).incarnation();
  call.endpoint = endpoints_.index_of(send.endpoint);
  call.message = send.id;
  call.attempt = static_cast<int>(message.attempts.size());
  call.sent_at = now_;
  if (message.attempts.empty()) message.first_attempt_zone = endpoints_.at(call.endpoint).zone;
  message.attempts.push_back({.sent_at = now_, .outcome = std::nullopt});
  statistics_.record_call_sent(call);
  const CallNumber number = calls_.open(call);
  queue_.schedule(now_ + network_delay(relay, call.endpoint), CallArrival{number});
  queue_.schedule(now_ + send.timeout, CallAbort{number, Outcome::timeout});
}

void Fleet::execute(RelayIndex relay, const dispatch::action::Cancel& cancel) {
  const std::optional<CallNumber> number = calls_.find_attempt(relay, cancel.id, cancel.attempt);
  if (number) queue_.schedule(now_, CallAbort{*number, Outcome::cancelled});
}

void Fleet::handle(const CallArrival& arrival) {
  const Call* call = calls_.find(arrival.call);
  if (call == nullptr) return;
  const std::optional<CallReply> reply =
      destination_of(call->endpoint).receive_call(now_, call->relay, random_);
  if (!reply) return;
  if (reply->outcome == Outcome::rejected) statistics_.record_call_rejected(now_);
  calls_.set_reply(arrival.call, *reply);
  // The relay measures the connect timeout from the time at which it sent the call.
  const Time reply_at = reply->outcome == Outcome::connect_failed && reply->processing_time > 0
                            ? call->sent_at + reply->processing_time
                            : now_ + reply->processing_time + network_delay(call->relay, call->endpoint);
  queue_.schedule(reply_at, ReplyArrival{arrival.call});
}

void Fleet::handle(const ReplyArrival& arrival) {
  const std::optional<CallReply> reply = calls_.reply(arrival.call);
  if (reply) end_call(arrival.call, *reply);
}

void Fleet::handle(const CallAbort& abort) {
  CallReply reply;
  reply.outcome = abort.outcome;
  end_call(abort.call, reply);
}

void Fleet::end_call(CallNumber number, const CallReply& reply) {
  const std::optional<Call> call = calls_.close(number);
  if (!call) return;
  statistics_.record_call_end(now_, reply.outcome);
  if (!relays_.at(call->relay).is_running(call->incarnation)) return;
  statistics_.record_observed_outcome(now_, reply.outcome);
  if (reply.outcome != Outcome::succeeded) notify_of_outage(*call);
  record_outcome(*call, reply.outcome);
  dispatch::event::AttemptEnded event;
  event.id = call->message;
  event.attempt = call->attempt;
  event.endpoint = endpoints_.at(call->endpoint).id;
  event.outcome = reply.outcome;
  event.latency = now_ - call->sent_at;
  event.message_settled = reply.outcome == Outcome::succeeded;
  event.retry_after = reply.retry_after;
  event.load_report = reply.load_report;
  enqueue(call->relay, std::move(event));
}

// A relay is notified of an outage by the first unsuccessful call that reached the destination during the
// outage.
void Fleet::notify_of_outage(const Call& call) {
  Destination& destination = destination_of(call.endpoint);
  const Time arrived_at = call.sent_at + network_delay(call.relay, call.endpoint);
  if (destination.is_down(arrived_at)) destination.notify(call.relay);
}

void Fleet::record_outcome(const Call& call, Outcome outcome) {
  Journal& journal = relays_.at(call.relay).journal();
  const auto found = journal.find(call.message);
  if (found == journal.end()) return;
  found->second.attempts.at(static_cast<std::size_t>(call.attempt)).outcome = outcome;
  if (outcome == Outcome::succeeded) end_message(call.relay, call.message, MessageResult::delivered);
}

// ---- Destinations and the endpoint list ----

void Fleet::handle(const OutageStart&) {
  const DestinationIndex destination = random_.index(destinations_.size());
  const Time duration = to_microseconds(settings_.faults.outage_duration);
  const OutageSymptom symptom = settings_.faults.outage_symptom;
  if (!destinations_.at(destination).begin_outage(now_, duration, symptom)) return;
  const bool keeps_answering = symptom == OutageSymptom::shut || symptom == OutageSymptom::failing;
  if (!keeps_answering) calls_.drop_replies(destination, endpoints_);
  for (SimulatedRelay& relay : relays_)
    for (auto& [id, message] : relay.journal())
      if (message.destination == destination) message.is_unaffected = false;
}

void Fleet::handle(const ListChange&) {
  if (now_ < end_of_arrivals()) {
    const double interval = random_.exponential(1 / settings_.faults.endpoint_replacement_rate);
    queue_.schedule(now_ + to_microseconds(interval), ListChange{});
  }
  const auto replacement = endpoints_.replace(random_.index(endpoints_.size()));
  if (replacement) announce_replacement(*replacement);
}

void Fleet::announce_replacement(const EndpointReplacement& replacement) {
  using dispatch::EndpointStatus;
  using Entries = std::vector<dispatch::Endpoint>;
  const auto entry = [&](EndpointIndex endpoint, EndpointStatus status) {
    return endpoints_.entry(endpoint, destinations_, status);
  };
  const auto draining =
      std::make_shared<const Entries>(Entries{entry(replacement.added, EndpointStatus::active),
                                              entry(replacement.removed, EndpointStatus::draining)});
  const auto removed =
      std::make_shared<const Entries>(Entries{entry(replacement.removed, EndpointStatus::removed)});
  for (RelayIndex relay = 0; relay < relays_.size(); relay++) {
    const double delay = settings_.network.max_list_update_delay * random_.uniform();
    const Time received_at = now_ + to_microseconds(delay);
    queue_.schedule(received_at, ListUpdateArrival{relay, draining});
    queue_.schedule(received_at + kDrainingTime, ListUpdateArrival{relay, removed});
  }
}

void Fleet::handle(const ListUpdateArrival& update) {
  enqueue(update.relay, dispatch::event::EndpointListUpdate{*update.endpoints});
}

void Fleet::start_overrun_measurement() {
  for (Time at = now_; at < end_of_arrivals(); at += kOverrunMeasurementInterval)
    queue_.schedule(at, OverrunMeasurement{});
  for (Destination& destination : destinations_) destination.overrun_meter().reset();
}

void Fleet::handle(const OverrunMeasurement&) {
  for (Destination& destination : destinations_) destination.overrun_meter().update(now_);
}

}  // namespace
}  // namespace simulation

namespace {

// Throws std::invalid_argument unless the condition holds. `problem` begins with the key of the setting in
// the experiment file.
void require(bool condition, const char* problem) {
  if (!condition) throw std::invalid_argument(problem);
}

}  // namespace

void validate(const FleetSettings& settings) {
  const WorkloadSettings& workload = settings.workload;
  require(settings.relay_count >= 1, "relays: must be at least 1");
  require(settings.destinations_per_relay >= 1 && settings.max_destinations >= 1,
          "destinations_per_relay and most_destinations: must be at least 1");
  require(settings.destination.rate_limit > 0 && workload.load > 0, "limit and load: must be greater than 0");
  require(workload.burst_start >= workload.burst_end || workload.burst_load > 0,
          "burst_load: must be greater than 0 if burst_from is before burst_to");
  require(settings.warm_up < settings.duration, "warm_up: must be less than length");
  require(settings.network.zone_count >= 1, "zones: must be at least 1");
}

FleetResult run_fleet(const FleetSettings& settings, const std::function<void(double second)>& progress) {
  validate(settings);
  return simulation::Fleet(settings, progress).run();
}

}  // namespace scale_tool
