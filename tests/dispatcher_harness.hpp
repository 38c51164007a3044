// Drives dispatchers with scripted events. Seeds are fixed and the clock is simulated, so runs are
// repeatable.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/dispatcher.hpp"

namespace dispatch::testing {

constexpr Time kMillisecond = 1'000;
constexpr Time kSecond = 1'000'000;

inline Settings test_settings() {
  Settings settings;
  settings.classes = {{.priority_weight = 1,
                       .late_weight_fraction = 0,
                       .latency_objective = 1 * kSecond,
                       .deadline = 6 * kSecond,
                       .idempotency = Idempotency::idempotent},
                      {.priority_weight = 3,
                       .late_weight_fraction = 0.3,
                       .latency_objective = 2 * kSecond,
                       .deadline = 20 * kSecond,
                       .idempotency = Idempotency::none},
                      {.priority_weight = 1,
                       .late_weight_fraction = 0.3,
                       .latency_objective = 2 * kSecond,
                       .deadline = 20 * kSecond,
                       .idempotency = Idempotency::by_key,
                       .idempotency_window = 5 * kSecond}};
  settings.kinds = {{}};
  settings.max_calls_in_flight = 16;
  settings.max_open_messages = 200;
  settings.max_attempts = 8;
  settings.min_round_interval = 5 * kMillisecond;
  settings.final_answer_grace = 20 * kMillisecond;
  settings.overload_duration = 2 * kSecond;
  return settings;
}

// Indices of the classes of test_settings(). The enumerators are used like the constants of this file and are
// named like them.
// NOLINTNEXTLINE(readability-identifier-naming)
enum MessageClass { kIdempotent, kNonIdempotent, kKeyed };

struct SentAttempt {
  MessageId id;
  int attempt;
  EndpointId endpoint;
  Time sent_at;
  Time timeout;
  Time start_within;
};

// A relay around one dispatcher: keeps the clock, numbers the attempts of each message, raises the timers and
// records the actions.
class SimulatedRelay {
 public:
  explicit SimulatedRelay(const Settings& settings = test_settings(), std::uint64_t seed = 1)
      : dispatcher_(settings, seed) {}

  void run_round(const std::vector<Event>& events) {
    std::vector<Action> actions;
    dispatcher_.handle(now, events, actions);
    for (const auto& action : actions) {
      if (const auto* send = std::get_if<action::Send>(&action)) {
        const SentAttempt attempt{send->id,      attempts_made_[send->id]++, send->endpoint, now,
                                  send->timeout, send->start_within};
        sent.push_back(attempt);
        in_flight.push_back(attempt);
      } else if (const auto* reject = std::get_if<action::Reject>(&action)) {
        rejected_at[reject->id] = now;
        retry_after[reject->id] = reject->retry_after;
      } else if (const auto* fail = std::get_if<action::Fail>(&action)) {
        failed_at[fail->id] = now;
      } else if (const auto* timer = std::get_if<action::SetTimer>(&action)) {
        timers_.push_back(now + timer->after);
      } else if (const auto* cancel = std::get_if<action::Cancel>(&action)) {
        cancelled_at[cancel->id] = now;
      } else if (const auto* gossip = std::get_if<action::SendGossip>(&action)) {
        sent_gossip.emplace_back(now, gossip->payload);
      } else if (const auto* close = std::get_if<action::CloseIdleConnections>(&action)) {
        idle_closed_at[close->endpoint].push_back(now);
      } else if (std::holds_alternative<action::Subscribe>(action)) {
        list_polled_at.push_back(now);
      }
    }
  }
  // Raises the timers that expire by `until` and sets the clock to that time.
  void run_until(Time until) {
    while (true) {
      auto next_timer = std::min_element(timers_.begin(), timers_.end());
      if (next_timer == timers_.end() || *next_timer > until) break;
      now = std::max(now, *next_timer);
      timers_.erase(next_timer);
      run_round({event::TimerExpired{0}});
    }
    now = until;
  }
  void set_endpoint_list(const std::vector<Endpoint>& endpoints) {
    run_round({event::EndpointListSnapshot{endpoints, false}});
  }
  void update_endpoint(const Endpoint& endpoint) { run_round({event::EndpointListUpdate{{endpoint}}}); }
  // Passes a new message to the dispatcher. Without a time to its deadline it gets that of its class.
  MessageId submit(MessageClass message_class, DestinationId destination = 1, std::string order_key = "",
                   Time time_to_deadline = 0) {
    event::Arrival arrival;
    arrival.id = ++last_id_;
    arrival.destination = destination;
    arrival.message_class = message_class;
    arrival.time_to_deadline =
        time_to_deadline > 0 ? time_to_deadline : test_settings().classes[message_class].deadline;
    arrival.order_key = std::move(order_key);
    run_round({arrival});
    return arrival.id;
  }
  // Ends the oldest attempt of the message that is in flight.
  void end_attempt(MessageId id, Outcome outcome, Time retry_after_received = 0) {
    run_round({attempt_ended(id, outcome, retry_after_received)});
  }
  // The event that ends the oldest attempt of the message that is in flight.
  Event attempt_ended(MessageId id, Outcome outcome, Time retry_after_received = 0) {
    auto ended = std::find_if(in_flight.begin(), in_flight.end(),
                              [&](const SentAttempt& attempt) { return attempt.id == id; });
    EXPECT_NE(ended, in_flight.end()) << "message " << id << " has no attempt in flight";
    event::AttemptEnded event;
    event.id = id;
    event.attempt = ended->attempt;
    event.endpoint = ended->endpoint;
    event.outcome = outcome;
    event.latency = now - ended->sent_at;
    event.message_settled = outcome == Outcome::succeeded;
    event.retry_after = retry_after_received;
    in_flight.erase(ended);
    return event;
  }
  // Submits messages at the given rate and advances the clock by `duration` in steps of 50 ms. Attempts that
  // have been in flight for at least 100 ms end with the outcome that `decide` returns, or continue if it
  // returns none.
  template <class Decide>
  void run_traffic(Time duration, double messages_per_second, MessageClass message_class,
                   DestinationId destination, Decide decide) {
    const Time until = now + duration;
    double due_messages = 0;
    while (now < until) {
      run_until(now + 50 * kMillisecond);
      for (const auto& attempt : std::vector<SentAttempt>(in_flight))
        if (now - attempt.sent_at >= 100 * kMillisecond)
          if (const auto outcome = decide(attempt)) end_attempt(attempt.id, *outcome);
      for (due_messages += messages_per_second * 0.05; due_messages >= 1; due_messages -= 1)
        submit(message_class, destination);
    }
  }
  std::size_t tracked_object_count() const { return dispatcher_.tracked_object_count(); }
  std::size_t excluded_endpoint_count() const { return dispatcher_.excluded_endpoint_count(); }
  std::string learned_state() const { return dispatcher_.learned_state(); }
  int send_count(MessageId id) const {
    return static_cast<int>(std::count_if(sent.begin(), sent.end(),
                                          [&](const SentAttempt& attempt) { return attempt.id == id; }));
  }
  // The number of attempts sent at or after `from` and before `to`, to all endpoints or to the one named.
  int sends_between(Time from, Time to, const EndpointId& endpoint = "") const {
    return static_cast<int>(std::count_if(sent.begin(), sent.end(), [&](const SentAttempt& attempt) {
      return attempt.sent_at >= from && attempt.sent_at < to &&
             (endpoint.empty() || attempt.endpoint == endpoint);
    }));
  }

  Time now = 1 * kSecond;
  std::vector<SentAttempt> sent;
  std::vector<SentAttempt> in_flight;
  std::map<MessageId, Time> rejected_at;
  std::map<MessageId, Time> failed_at;
  std::map<MessageId, Time> cancelled_at;
  std::map<MessageId, Time> retry_after;  // of action::Reject
  std::vector<Time> list_polled_at;
  std::map<EndpointId, std::vector<Time>> idle_closed_at;
  std::vector<std::pair<Time, std::string>> sent_gossip;

 private:
  Dispatcher dispatcher_;
  std::map<MessageId, int> attempts_made_;
  std::vector<Time> timers_;
  MessageId last_id_ = 0;
};

}  // namespace dispatch::testing
