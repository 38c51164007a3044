// The decision round: passes the queued events to the dispatcher and applies the actions that it returns.
//
// Invariant: the dispatcher receives the events of a round in the order in which they occurred. Actions that
// send or end a message are recorded in the journal before they are executed. Actions that change no
// journaled message (cancelling attempts, timers, the endpoint list, gossip) are executed immediately.
#pragma once

#include <optional>

#include "admission.hpp"
#include "config.hpp"
#include "event_queue.hpp"
#include "gossip_channel.hpp"
#include "journal_compactor.hpp"
#include "plan_builder.hpp"
#include "platform.hpp"
#include "write_ahead.hpp"

namespace message_relay {

class DecisionRound {
 public:
  struct Collaborators {
    dispatch::Dispatcher& dispatcher;
    EventQueue& events;
    DispatcherTimers& timers;
    Admission& admission;
    Journal& journal;
    JournalCompactor& compactor;
    MessageRegistry& registry;
    const EndpointDirectory& directory;
    WriteAheadQueue& write_ahead;
    DeliveryClient& delivery;
    Platform& platform;
    std::optional<GossipChannel>& gossip;  // empty: gossip is not configured
  };

  DecisionRound(const Config& config, const Collaborators& collaborators);

  // Runs one round: admits the pending messages, dispatches the queued events and commits the records.
  void run();

  // Later rounds still record the pending messages and accept them, but take no action of the dispatcher, so
  // that no new call starts. What the outcomes of calls tell of destinations is still recorded.
  void stop_dispatching() { dispatching_ = false; }
  [[nodiscard]] bool is_dispatching() const { return dispatching_; }

 private:
  void admit_pending_messages(PlanBuilder& plan);
  std::vector<dispatch::Action> run_dispatcher();

  // Each overload applies one action of the dispatcher: adds it to the plan or executes it immediately.
  void apply(const dispatch::action::Send& send, PlanBuilder& plan);
  void apply(const dispatch::action::Reject& reject, PlanBuilder& plan);
  void apply(const dispatch::action::Fail& fail, PlanBuilder& plan);
  void apply(const dispatch::action::Cancel& cancel, PlanBuilder& plan);
  void apply(const dispatch::action::CloseIdleConnections& close, PlanBuilder& plan);
  void apply(const dispatch::action::SetTimer& timer, PlanBuilder& plan);
  void apply(const dispatch::action::FetchEndpointList& fetch, PlanBuilder& plan);
  void apply(const dispatch::action::Subscribe& subscribe, PlanBuilder& plan);
  void apply(const dispatch::action::HealthCheck& check, PlanBuilder& plan);
  void apply(const dispatch::action::SendGossip& gossip, PlanBuilder& plan);
  void apply(const dispatch::action::Log& line, PlanBuilder& plan);

  const Config& config_;
  Collaborators collaborators_;
  Time started_at_ = 0;  // steady time of the current round, or of the last one between rounds
  bool dispatching_ = true;
};

}  // namespace message_relay
