// The state of a dispatcher and the steps of a round. The steps are implemented in several files:
//
//   dispatcher.cpp           passes events to the components, in order; learned state; gauges
//   endpoint_selection.cpp   selects the endpoint of a message; limits concurrency; computes call timeouts
//   message_delivery.cpp     sends, holds, retries, cancels and settles messages
//   list_polling.cpp         polls the endpoint list; decides whether a cached list may be used
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
  resubmit  ///< action::Reject if submitting the message again is harmless, otherwise action::Fail
};
/// Whether the relay may begin another call, or max_calls_in_flight is reached.
enum class CallSlots { free, exhausted };

/// The implementation of Dispatcher.
struct Dispatcher::State {
  using MessageMap = std::map<MessageId, Message>;

  State(const Settings& settings, std::uint64_t seed);

  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions);
  std::string learned_state();
  /// Visits the learned fields that do not belong to one endpoint or destination.
  template <class Visitor>
  void visit_learned_fields(Visitor&& visit) {
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
  void on(const event::DestinationLimitRecovered& recovered);
  void on(const event::LearnedStateRestored& restored);
  void on_destination_limited(DestinationId destination, const char* cause);
  void log_destination_limited(DestinationId destination, const char* cause);
  void restore_limit(EndpointState& endpoint, const DestinationLimit& limit);
  void review_limited_destinations();
  void add_message(const event::Arrival& arrival);
  void recover_call(Message& message, const event::CallInFlight& in_flight);
  void remove_if_done(MessageMap::iterator it);

  void add_or_update(const Endpoint& info);
  void record_endpoint_outcome(EndpointState& endpoint, Call& call, const event::AttemptEnded& attempt);
  void update_slow_start(EndpointState& endpoint, Time sent_at, const event::AttemptEnded& attempt);
  void on_served(EndpointState& endpoint, Time sent_at, const event::AttemptEnded& attempt);
  void on_rejected(EndpointState& endpoint);
  void on_failed(EndpointState& endpoint, const event::AttemptEnded& attempt, int message_count);

  // Endpoint selection and concurrency.
  EndpointState* select_endpoint(const Message& message);
  Time earliest_send_time(const Message& message, EndpointState& endpoint);
  [[nodiscard]] bool can_join_call(const Message& message, const EndpointState& endpoint) const;
  int max_calls_in_flight(EndpointState& endpoint);
  void on_call_begun(const Message& message, EndpointState& endpoint);
  void initialize_estimates(EndpointState& endpoint);
  void raise_limits(EndpointState& endpoint);
  void estimate_connection_limit(EndpointState& endpoint, Outcome outcome);
  void on_unanswered(EndpointState& endpoint, const event::AttemptEnded& attempt);
  void reduce_batch_size(EndpointState& endpoint, Outcome outcome, int message_count);
  void close_idle_connections(EndpointState& endpoint);
  void close_unused_connections();
  Time call_timeout(const Message& message, const EndpointState& endpoint) const;

  // Messages.
  void dispatch();
  [[nodiscard]] bool settle_if_undeliverable(Message& message);
  void reject_least_urgent(std::size_t open_count, std::vector<Message*>& unsent,
                           std::vector<MessageId>& settled_ids);
  [[nodiscard]] bool try_send(Message& message);
  void send(Message& message, EndpointState& endpoint);
  Time start_within(const Message& message) const;
  void cancel_if_overdue(Message& message, CallSlots slots);
  void resume_delivery(Message& message);
  [[nodiscard]] bool outcome_reflects_endpoint(const event::AttemptEnded& attempt, const Call& call) const;
  void record_message_outcome(Message& message, EndpointState& endpoint, Time sent_at,
                              const event::AttemptEnded& attempt);
  void fail_if_unsendable(Message& message);
  void settle(Message& message, FinalAnswer answer, Time retry_after = 0);
  Time blocked_until(const Message& message, Time latest_send);
  double shortest_backoff(const Message& message);
  double tenant_weight_fraction(int tenant);
  double tenant_burst(const TenantSettings& tenant) const;

  // The endpoint list.
  void poll_list();
  [[nodiscard]] bool may_use_list();
  void on_list_received();
  void on_cached_list();
  double agent_poll_interval() const;
  double poll_spread() const;

  RoundContext round;
  const Settings& settings;
  EndpointDirectory directory;
  CallTable calls;
  RejectionStatistics rejection_statistics;
  LowRatePacer low_rate_pacer;
  OutlierDetector outlier_detector;
  double relative_latency = 1;  // recent average over all endpoints: latency / typical latency
  MessageMap messages;
  OrderKeys order_keys;
  std::vector<TokenBucket> tenant_buckets;
  Time timer_expires_at = kNever;  // expiry of the earliest pending timer; kNever: none is pending

  // Those whose SlowStartPacer limits calls, and those that left the list, or are not listed yet, while
  // limited.
  DestinationLimits limited_destinations;
  Time next_limit_review_at = 0;

  Time next_poll_at = kNever;
  Time last_poll_at = -kNever;
  double poll_backoff =
      kInitialPollBackoff;       // shortest wait in seconds after the next failed poll, before jitter
  bool subscribed = false;       // a list was received after the last loss, if any
  Time wait_for_list_until = 0;  // until then, no message is sent on the basis of a cached list; 0: no wait

  // State of the current round.
  std::map<std::uint64_t, CallId> recovered_calls;  // the calls in `calls` by their ids in an earlier process
  std::set<EndpointId> endpoints_with_ended_calls;
};

}  // namespace dispatch
