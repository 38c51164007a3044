// The decision module through its public interface: the processor time of a round, and its memory.
#include <algorithm>
#include <map>

#include "dispatch/dispatcher.hpp"
#include "endpoint_catalogue.hpp"
#include "resource_meters.hpp"
#include "slopes.hpp"

namespace scale_tool {
namespace {

using namespace dispatch;

constexpr Time kMs = 1'000, kS = 1'000'000;
constexpr Time kTick = 5 * kMs;
constexpr int kSlots = 64;  // calls out at once, where their number is not what is varied

// Deadlines are far off: what is held stays held.
Settings settings(int slots) {
  Settings s;
  s.classes = {{.priority_weight = 1,
                .late_weight_fraction = 0.3,
                .latency_objective = 2 * kS,
                .deadline = 3600 * kS}};
  s.kinds = {{}};
  s.max_calls_in_flight = slots;
  s.max_open_messages = 1'000'000'000;
  s.max_attempts = 1000;
  s.min_round_interval = kMs;
  return s;
}

std::vector<Endpoint> endpoints(std::int64_t count, double per_destination) {
  std::vector<Endpoint> all(static_cast<std::size_t>(count));
  for (std::int64_t i = 0; i < count; i++) {
    Endpoint& e = all[static_cast<std::size_t>(i)];
    e.id = endpoint_name(i), e.destination = destination_of(i, per_destination);
  }
  return all;
}

// One dispatcher and its clock; knows the calls that the last round began.
class Load {
 public:
  explicit Load(int slots = kSlots) : settings_(settings(slots)), dispatcher_(settings_, 1) {}

  double round(const std::vector<Event>& events, Time later = kMs) {
    now_ += later;
    actions_.clear();
    const double time = time_of([&] { dispatcher_.handle(now_, events, actions_); });
    sends_.clear();
    for (const auto& a : actions_)
      if (const auto* send = std::get_if<action::Send>(&a)) sends_.push_back(*send);
    return time;
  }
  double idle_round() { return round({event::TimerExpired{0}}, kTick); }
  double list(std::vector<Endpoint> all) {
    return round({event::EndpointListSnapshot{std::move(all), false}});
  }

  // What ends the calls that the last round began.
  std::vector<Event> ends(Outcome outcome, Time told_wait = 0) {
    std::vector<Event> events;
    for (const auto& send : sends_) {
      event::AttemptEnded e;
      e.id = send.id, e.attempt = attempts_[send.id]++, e.endpoint = send.endpoint;
      e.outcome = outcome, e.latency = kMs, e.message_settled = outcome == Outcome::succeeded,
      e.retry_after = told_wait;
      events.emplace_back(std::move(e));
    }
    return events;
  }
  event::Arrival arrival(DestinationId destination) {
    event::Arrival a;
    a.id = ++last_, a.destination = destination, a.time_to_deadline = settings_.classes[0].deadline;
    return a;
  }
  // One message to each destination in [from, from + count), at most kSlots at once: their calls end so.
  void call_each(DestinationId from, std::int64_t count, Outcome outcome, Time told_wait = 0) {
    for (std::int64_t i = 0; i < count; i += kSlots) {
      std::vector<Event> events;
      const MessageId first = last_ + 1;
      for (std::int64_t k = i; k < std::min(count, i + kSlots); k++) events.emplace_back(arrival(from + k));
      round(events);
      events = ends(outcome, told_wait);
      for (MessageId id = first; id <= last_; id++) events.emplace_back(event::ClientCancelled{id});
      round(events);
    }
    attempts_.clear();
  }
  // Lists so many endpoints of a destination each, and fails calls until all of them are closed.
  void down(std::int64_t count) {
    list(endpoints(count, 1));
    while (dispatcher_.ejected_endpoint_count() < static_cast<std::size_t>(count))
      call_each(0, count, Outcome::connect_failed);
  }
  void told_to_wait(std::int64_t count) {
    list(endpoints(count, 1));
    call_each(0, count, Outcome::rejected, 1800 * kS);
  }
  // Taken on in one round; returns the bytes that are kept for them.
  std::int64_t hold(std::int64_t messages, std::int64_t destinations) {
    const std::int64_t before = allocated().bytes;
    {
      std::vector<Event> events;
      for (std::int64_t i = 0; i < messages; i++) events.emplace_back(arrival(i % destinations));
      round(events);
      actions_ = std::vector<Action>();
    }
    return allocated().bytes - before;
  }
  Dispatcher& dispatcher() { return dispatcher_; }
  std::size_t begun() const { return sends_.size(); }

 private:
  Settings settings_;
  Dispatcher dispatcher_;
  Time now_ = kS;
  std::vector<Action> actions_;
  std::vector<action::Send> sends_;
  std::map<MessageId, int> attempts_;
  MessageId last_ = 0;
};

// Rounds in which trial calls fail at once, as they do while destinations are down.
double round_while_down(Load& load, std::int64_t repetitions) {
  return median_of(repetitions, [&] {
    auto events = load.ends(Outcome::connect_failed);
    events.emplace_back(event::TimerExpired{0});
    return load.round(events, kTick);
  });
}

constexpr int kMostRounds = 5;  // at least so many make a median

}  // namespace

void module_slopes(Slopes& out) {
  const auto& set = out.set;
  const std::int64_t rounds = std::max<std::int64_t>(set.repetitions, kMostRounds);

  for (const auto n : set.messages) {
    Load load;
    load.told_to_wait(set.down);
    const std::int64_t bytes = load.hold(n, set.down);
    out.add("round, told to wait, us", kMessages, n, median_of(rounds, [&] { return load.idle_round(); }));
    out.add("memory, bytes", kMessages, n, static_cast<double>(bytes));
  }
  for (const auto n : set.messages) {
    Load load;
    load.down(set.down);
    load.hold(n, set.down);
    out.add("round, destinations down, us", kMessages, n, round_while_down(load, rounds));
  }
  for (const auto n : set.destinations_down) {
    Load load;
    load.down(n);
    load.hold(set.messages.front(), n);
    out.add("round, " + std::to_string(set.messages.front()) + " held, us", kDestinationsDown, n,
            round_while_down(load, rounds));
  }
  for (const auto n : set.calls_out) {
    Load load(static_cast<int>(2 * n));
    load.list(endpoints(n, 1));
    load.hold(n, n);
    out.add("round, us", kCallsOut, n, median_of(rounds, [&] { return load.idle_round(); }));
  }
  for (const auto n : set.endpoints) {
    const auto list = endpoints(n, set.endpoints_per_destination);
    out.add("whole list, first, us", kEndpoints, n,
            median_of(set.repetitions, [&] { return Load().list(list); }));
    Load load;
    const std::int64_t before = allocated().bytes;
    load.list(list);
    out.add("memory, bytes", kEndpoints, n, static_cast<double>(allocated().bytes - before));
    out.add("whole list, again, us", kEndpoints, n,
            median_of(set.repetitions, [&] { return load.list(list); }));
    std::size_t changed = 0;
    out.add("one change, us", kEndpoints, n, median_of(rounds, [&] {
              return load.round({event::EndpointListUpdate{{list[changed++ * 7919 % list.size()]}}});
            }));
    out.add("idle round, us", kEndpoints, n, median_of(rounds, [&] { return load.idle_round(); }));
    constexpr std::int64_t kDelivered = 2000;
    out.add("message delivered, us", kEndpoints, n, median_of(rounds, [&] {
              double time = 0;
              for (std::int64_t i = 0; i < kDelivered; i++) {
                time += load.round({load.arrival(list[static_cast<std::size_t>(i * 7919 % n)].destination)});
                time += load.round(load.ends(Outcome::succeeded));
              }
              return time / kDelivered;
            }));
    out.add("learnt, written, us", kEndpoints, n,
            median_of(set.repetitions, [&] { return time_of([&] { load.dispatcher().learned_state(); }); }));
  }
  out.reach("memory, bytes", kEndpoints, set.asked_memory_bytes);
  out.reach("memory, bytes", kMessages, set.asked_memory_bytes);
  for (const auto n : set.recalled) {
    Load load;
    load.list(endpoints(n, 1));
    const event::LearnedStateRestored recalled{load.dispatcher().learned_state()};
    out.add("learnt, taken back, us", kRecalled, n,
            median_of(set.repetitions, [&] { return load.round({recalled}); }));
  }
}

}  // namespace scale_tool
