// What a dispatcher keeps, and the steps of a round. The steps are defined by concern:
//
//   dispatcher.cpp           events to the parts, in order; learned state; gauges
//   endpoint_selection.cpp   which endpoint gets a message, how many at once, and with which time-out
//   message_delivery.cpp     which message is sent, held, retried, cancelled or answered
//   list_polling.cpp         when the endpoint list is fetched again
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "call_table.hpp"
#include "dispatch/dispatcher.hpp"
#include "endpoint_directory.hpp"
#include "endpoint_health.hpp"
#include "low_rate_pacer.hpp"
#include "order_keys.hpp"
#include "rejection_statistics.hpp"
#include "round_context.hpp"

namespace dispatch {

/// The final answer to the client of a message that was not delivered.
enum class FinalAnswer {
  failed,   ///< action::Fail
  resubmit  ///< action::Reject where a repeat is harmless, action::Fail elsewhere
};
/// Whether as many calls are in flight as may be.
enum class CallSlots { free, exhausted };

struct Dispatcher::State {
  using MessageMap = std::map<MessageId, Message>;

  State(const Settings& settings, std::uint64_t seed);

  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions);
  std::string learned_state();
  template <class Visitor>
  void visit_learned_fields(Visitor&& visit) {  // of no endpoint in particular
    outlier_detector.visit_learned_fields(visit);
    visit(relative_latency);
    rejection_statistics.visit_learned_fields(visit);
  }

  // Events.
  void on(const event::EndpointListSnapshot& snapshot);
  void on(const event::EndpointListUpdate& update);
  void on(const event::EndpointListSubscriptionLost& loss);
  void on(const event::Arrival& arrival);
  void on(const event::MessageRecovered& recovered);
  void on(const event::AttemptEnded& attempt);
  void on(const event::ClientCancelled& cancelled);
  void on(const event::TimerExpired& expired);
  void on(const event::HealthCheckEnded& ended);
  void on(const event::GossipReceived& gossip);
  void on(const event::EndpointSuspension& suspension);
  void on(const event::LearnedStateRestored& restored);
  void recover_call(Message& message, const event::CallInFlight& in_flight);
  void forget_if_done(MessageMap::iterator it);

  void add_or_update(const Endpoint& info);
  void record_outcome(EndpointState& endpoint, Call& call, const event::AttemptEnded& attempt);
  void on_served(EndpointState& endpoint, Time sent_at, const event::AttemptEnded& attempt);
  void on_rejected(EndpointState& endpoint);
  void on_failed(EndpointState& endpoint, const event::AttemptEnded& attempt, int message_count);

  // Endpoint selection and capacity.
  EndpointState* select_endpoint(const Message& message);
  Time call_ready_at(const Message& message, EndpointState& endpoint);
  bool has_room_in_batch(const EndpointState& endpoint) const;
  int max_calls(EndpointState& endpoint);
  void on_call_begun(const Message& message, EndpointState& endpoint);
  void start_estimates(EndpointState& endpoint);
  void grow_capacity(EndpointState& endpoint);
  void limit_concurrency(EndpointState& endpoint, Outcome outcome);
  void on_unanswered(EndpointState& endpoint, const event::AttemptEnded& attempt);
  void shrink_batch(EndpointState& endpoint, Outcome outcome, int message_count);
  void close_idle_connections(EndpointState& endpoint);
  void close_unused_connections();
  Time call_timeout(const Message& message, const EndpointState& endpoint) const;

  // Messages.
  void dispatch();
  [[nodiscard]] bool settle_if_hopeless(Message& message);
  void reject_least_urgent(std::size_t held, std::vector<Message*>& unsent, std::vector<MessageId>& ended);
  [[nodiscard]] bool try_send(Message& message);
  void send(Message& message, EndpointState& endpoint);
  Time start_within(const Message& message) const;
  void cancel_if_overdue(Message& message, CallSlots slots);
  void resume(Message& message);
  [[nodiscard]] bool tells_of_endpoint(const event::AttemptEnded& attempt, const Call& call) const;
  void after_attempt(Message& message, EndpointState& endpoint, Time sent_at,
                     const event::AttemptEnded& attempt);
  void fail_if_unsendable(Message& message);
  void settle(Message& message, FinalAnswer answer, Time retry_after = 0);
  Time blocked_until(const Message& message, Time latest_send);
  double backoff_of(const Message& message);
  double tenant_weight_fraction(int tenant);
  double tenant_burst(const TenantSettings& tenant) const;

  // The endpoint list.
  void poll_list();
  [[nodiscard]] bool may_use_list();
  void on_list_received();
  void on_cached_list();
  double pushed_poll_gap() const;
  double poll_spread() const;

  RoundContext round;
  const Settings& settings;
  EndpointDirectory directory;
  CallTable calls;
  RejectionStatistics rejection_statistics;
  LowRatePacer low_rate_pacer;
  OutlierDetector outlier_detector;
  double relative_latency = 1;  // recent latencies of all served calls, in typical ones
  MessageMap messages;
  OrderKeys order_keys;
  std::vector<TokenBucket> tenant_buckets;
  Time timer_at = kNever;

  Time next_poll_at = kNever;
  Time last_poll_at = -kNever;
  double poll_gap = kInitialPollBackoff;  // seconds; after a poll that failed
  bool subscribed = false;                // as far as is known
  Time wait_for_list_until = 0;           // until then nothing is sent by a cached list; 0: no such wait

  // Of the present round.
  std::map<std::uint64_t, CallId> recovered_calls;  // numbers of an earlier incarnation's calls, and ours
  std::set<EndpointId> endpoints_with_ended_calls;
};

}  // namespace dispatch
