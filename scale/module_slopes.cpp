// Measures the dispatcher through its public interface: the processor time of rounds, and the allocated
// memory.
#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "dispatch/dispatcher.hpp"
#include "endpoint_catalogue.hpp"
#include "resource_meters.hpp"
#include "slopes.hpp"

namespace scale_tool {
namespace {

using dispatch::DestinationId;
using dispatch::Endpoint;
using dispatch::Event;
using dispatch::MessageId;
using dispatch::Outcome;
using dispatch::Time;

constexpr Time kMillisecond = 1'000;
constexpr Time kSecond = 1'000'000;
constexpr Time kIdleInterval = 5 * kMillisecond;
constexpr Time kRetryAfter = 1800 * kSecond;  // no message is sent before it has passed
constexpr int kDefaultMaxCallsInFlight = 64;  // in measurements that don't vary it
constexpr std::int64_t kMinRoundCount = 5;    // fewest rounds that a median is taken of
constexpr std::int64_t kDeliveredMessageCount = 2000;
// Distance in the list between endpoints that are used one after the other. A prime number, so that the
// endpoints are not visited in the order of the list.
constexpr std::int64_t kEndpointStride = 7919;

// The deadline is long enough that no held message expires during a measurement.
dispatch::Settings dispatcher_settings(int max_calls_in_flight) {
  dispatch::Settings settings;
  settings.classes = {{.priority_weight = 1,
                       .late_weight_fraction = 0.3,
                       .latency_objective = 2 * kSecond,
                       .deadline = 3600 * kSecond}};
  settings.kinds = {{}};
  settings.max_calls_in_flight = max_calls_in_flight;
  settings.max_open_messages = 1'000'000'000;
  settings.max_attempts = 1000;
  settings.min_round_interval = kMillisecond;
  return settings;
}

std::vector<Endpoint> make_endpoints(std::int64_t count, double per_destination) {
  std::vector<Endpoint> endpoints;
  endpoints.reserve(static_cast<std::size_t>(count));
  for (std::int64_t i = 0; i < count; i++)
    endpoints.push_back({.id = endpoint_name(i), .destination = destination_of(i, per_destination)});
  return endpoints;
}

// A dispatcher with a simulated clock and simulated calls. The functions that run rounds and return a double
// return processor time in microseconds. Invariant: `started_calls_` holds the calls that the last round
// started.
class DispatcherBench {
 public:
  explicit DispatcherBench(int max_calls_in_flight = kDefaultMaxCallsInFlight)
      : settings_(dispatcher_settings(max_calls_in_flight)), dispatcher_(settings_, 1) {}

  double run_round(const std::vector<Event>& events, Time interval = kMillisecond);
  double run_idle_round() { return run_round({dispatch::event::TimerExpired{0}}, kIdleInterval); }
  double set_endpoint_list(std::vector<Endpoint> endpoints);
  // Events that end the calls that the last round started with this outcome.
  [[nodiscard]] std::vector<Event> end_calls(Outcome outcome, Time retry_after = 0);
  [[nodiscard]] dispatch::event::Arrival next_arrival(DestinationId destination);

  // Lists this many destinations with one endpoint each, and fails calls until all endpoints are ejected.
  void eject_all_endpoints(std::int64_t destinations);
  // Lists this many destinations with one endpoint each, and rejects a call to each with a long Retry-After.
  void reject_calls_to(std::int64_t destinations);
  // Accepts messages for all destinations in turn, in one round. Returns the bytes that remain allocated for
  // them.
  [[nodiscard]] std::int64_t accept_messages(std::int64_t messages, std::int64_t destinations);

  [[nodiscard]] std::string learned_state() const { return dispatcher_.learned_state(); }

 private:
  void end_call_to_each(std::int64_t destinations, Outcome outcome, Time retry_after = 0);

  dispatch::Settings settings_;
  dispatch::Dispatcher dispatcher_;
  Time now_ = kSecond;
  std::vector<dispatch::Action> actions_;
  std::vector<dispatch::action::Send> started_calls_;
  std::map<MessageId, int> next_attempt_;
  MessageId last_message_ = 0;
};

double DispatcherBench::run_round(const std::vector<Event>& events, Time interval) {
  now_ += interval;
  actions_.clear();
  const double cpu_time = cpu_time_of([&] { dispatcher_.handle(now_, events, actions_); });
  started_calls_.clear();
  for (const auto& action : actions_)
    if (const auto* send = std::get_if<dispatch::action::Send>(&action)) started_calls_.push_back(*send);
  return cpu_time;
}

double DispatcherBench::set_endpoint_list(std::vector<Endpoint> endpoints) {
  return run_round({dispatch::event::EndpointListSnapshot{.endpoints = std::move(endpoints)}});
}

std::vector<Event> DispatcherBench::end_calls(Outcome outcome, Time retry_after) {
  std::vector<Event> events;
  for (const auto& send : started_calls_) {
    dispatch::event::AttemptEnded event;
    event.id = send.id;
    event.attempt = next_attempt_[send.id]++;
    event.endpoint = send.endpoint;
    event.outcome = outcome;
    event.latency = kMillisecond;
    event.message_settled = outcome == Outcome::succeeded;
    event.retry_after = retry_after;
    events.emplace_back(std::move(event));
  }
  return events;
}

dispatch::event::Arrival DispatcherBench::next_arrival(DestinationId destination) {
  dispatch::event::Arrival arrival;
  arrival.id = ++last_message_;
  arrival.destination = destination;
  arrival.time_to_deadline = settings_.classes.front().deadline;
  return arrival;
}

// Sends one message to each destination and ends its call with this outcome, then cancels the message. Sends
// as many messages at once as there may be calls in flight.
void DispatcherBench::end_call_to_each(std::int64_t destinations, Outcome outcome, Time retry_after) {
  for (std::int64_t begin = 0; begin < destinations; begin += kDefaultMaxCallsInFlight) {
    const MessageId first_message = last_message_ + 1;
    const std::int64_t end = std::min(destinations, begin + kDefaultMaxCallsInFlight);
    std::vector<Event> events;
    for (std::int64_t i = begin; i < end; i++) events.emplace_back(next_arrival(i));
    run_round(events);
    events = end_calls(outcome, retry_after);
    for (MessageId id = first_message; id <= last_message_; id++)
      events.emplace_back(dispatch::event::ClientCancelled{id});
    run_round(events);
  }
  next_attempt_.clear();
}

void DispatcherBench::eject_all_endpoints(std::int64_t destinations) {
  set_endpoint_list(make_endpoints(destinations, 1));
  while (dispatcher_.excluded_endpoint_count() < static_cast<std::size_t>(destinations))
    end_call_to_each(destinations, Outcome::connect_failed);
}

void DispatcherBench::reject_calls_to(std::int64_t destinations) {
  set_endpoint_list(make_endpoints(destinations, 1));
  end_call_to_each(destinations, Outcome::rejected, kRetryAfter);
}

std::int64_t DispatcherBench::accept_messages(std::int64_t messages, std::int64_t destinations) {
  const std::int64_t bytes_before = allocated_memory().bytes;
  {
    std::vector<Event> events;
    for (std::int64_t i = 0; i < messages; i++) events.emplace_back(next_arrival(i % destinations));
    run_round(events);
    actions_ = std::vector<dispatch::Action>();
  }
  return allocated_memory().bytes - bytes_before;
}

// Median processor time of rounds in which health checks fail at once, as they do while destinations are
// unavailable.
double median_round_time_in_outage(DispatcherBench& bench, std::int64_t rounds) {
  return median_of(rounds, [&] {
    auto events = bench.end_calls(Outcome::connect_failed);
    events.emplace_back(dispatch::event::TimerExpired{0});
    return bench.run_round(events, kIdleInterval);
  });
}

std::int64_t round_count(const SlopesSettings& settings) {
  return std::max(settings.repetitions, kMinRoundCount);
}

void measure_held_messages(SlopeRecorder& recorder, std::int64_t messages) {
  const SlopesSettings& settings = recorder.settings();
  DispatcherBench bench;
  bench.reject_calls_to(settings.message_destination_count);
  const std::int64_t bytes = bench.accept_messages(messages, settings.message_destination_count);
  const double round_time = median_of(round_count(settings), [&] { return bench.run_idle_round(); });
  recorder.add(SizeKind::held_messages, messages, {"round, told to wait, us", round_time});
  recorder.add(SizeKind::held_messages, messages, {"memory, bytes", static_cast<double>(bytes)});
}

void measure_held_messages_in_outage(SlopeRecorder& recorder, std::int64_t messages) {
  const SlopesSettings& settings = recorder.settings();
  DispatcherBench bench;
  bench.eject_all_endpoints(settings.message_destination_count);
  static_cast<void>(bench.accept_messages(messages, settings.message_destination_count));
  const double round_time = median_round_time_in_outage(bench, round_count(settings));
  recorder.add(SizeKind::held_messages, messages, {"round, destinations down, us", round_time});
}

void measure_unavailable_destinations(SlopeRecorder& recorder, std::int64_t destinations) {
  const std::int64_t messages = recorder.settings().held_messages.front();
  DispatcherBench bench;
  bench.eject_all_endpoints(destinations);
  static_cast<void>(bench.accept_messages(messages, destinations));
  const double round_time = median_round_time_in_outage(bench, round_count(recorder.settings()));
  recorder.add(SizeKind::unavailable_destinations, destinations,
               {"round, " + std::to_string(messages) + " held, us", round_time});
}

void measure_calls_in_flight(SlopeRecorder& recorder, std::int64_t calls) {
  DispatcherBench bench(static_cast<int>(2 * calls));
  bench.set_endpoint_list(make_endpoints(calls, 1));
  static_cast<void>(bench.accept_messages(calls, calls));
  const double round_time =
      median_of(round_count(recorder.settings()), [&] { return bench.run_idle_round(); });
  recorder.add(SizeKind::calls_in_flight, calls, {"round, us", round_time});
}

// Mean processor time of one message from its arrival to its delivery.
double mean_delivery_time(DispatcherBench& bench, const std::vector<Endpoint>& endpoints) {
  double cpu_time = 0;
  for (std::int64_t i = 0; i < kDeliveredMessageCount; i++) {
    const Endpoint& endpoint = endpoints[static_cast<std::size_t>(i * kEndpointStride) % endpoints.size()];
    cpu_time += bench.run_round({bench.next_arrival(endpoint.destination)});
    cpu_time += bench.run_round(bench.end_calls(Outcome::succeeded));
  }
  return cpu_time / kDeliveredMessageCount;
}

void measure_listed_endpoints(SlopeRecorder& recorder, std::int64_t count) {
  const SlopesSettings& settings = recorder.settings();
  const std::int64_t rounds = round_count(settings);
  const auto endpoints = make_endpoints(count, settings.endpoints_per_destination);
  const auto add = [&](const std::string& name, double value) {
    recorder.add(SizeKind::listed_endpoints, count, {name, value});
  };
  add("whole list, first, us",
      median_of(settings.repetitions, [&] { return DispatcherBench().set_endpoint_list(endpoints); }));
  DispatcherBench bench;
  const std::int64_t bytes_before = allocated_memory().bytes;
  bench.set_endpoint_list(endpoints);
  add("memory, bytes", static_cast<double>(allocated_memory().bytes - bytes_before));
  add("whole list, again, us",
      median_of(settings.repetitions, [&] { return bench.set_endpoint_list(endpoints); }));
  std::size_t change_count = 0;
  add("one change, us", median_of(rounds, [&] {
        const Endpoint& changed = endpoints[change_count * kEndpointStride % endpoints.size()];
        change_count++;
        return bench.run_round({dispatch::event::EndpointListUpdate{{changed}}});
      }));
  add("idle round, us", median_of(rounds, [&] { return bench.run_idle_round(); }));
  add("message delivered, us", median_of(rounds, [&] { return mean_delivery_time(bench, endpoints); }));
  add("learnt, written, us", median_of(settings.repetitions, [&] {
        return cpu_time_of([&] { static_cast<void>(bench.learned_state()); });
      }));
}

void measure_learned_destinations(SlopeRecorder& recorder, std::int64_t destinations) {
  DispatcherBench bench;
  bench.set_endpoint_list(make_endpoints(destinations, 1));
  const dispatch::event::LearnedStateRestored restored{bench.learned_state()};
  const double round_time =
      median_of(recorder.settings().repetitions, [&] { return bench.run_round({restored}); });
  recorder.add(SizeKind::learned_destinations, destinations, {"learnt, taken back, us", round_time});
}

}  // namespace

void measure_module(SlopeRecorder& recorder) {
  const SlopesSettings& settings = recorder.settings();
  for (const auto size : settings.held_messages) measure_held_messages(recorder, size);
  for (const auto size : settings.held_messages) measure_held_messages_in_outage(recorder, size);
  for (const auto size : settings.unavailable_destinations) measure_unavailable_destinations(recorder, size);
  for (const auto size : settings.calls_in_flight) measure_calls_in_flight(recorder, size);
  for (const auto size : settings.listed_endpoints) measure_listed_endpoints(recorder, size);
  recorder.report_size_reaching(SizeKind::listed_endpoints, "memory, bytes", settings.target_memory_bytes);
  recorder.report_size_reaching(SizeKind::held_messages, "memory, bytes", settings.target_memory_bytes);
  for (const auto size : settings.learned_destinations) measure_learned_destinations(recorder, size);
}

}  // namespace scale_tool
