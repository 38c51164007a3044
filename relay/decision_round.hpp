// The decision round: passes what has happened to the dispatcher and puts its decisions into effect.
//
// Invariant: the events of a round reach the dispatcher in the order in which they happened, and what a
// decision does to messages is recorded before it is carried out. What touches no message (timers, the
// endpoint list, gossip) takes effect at once.
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
    std::optional<GossipChannel>& gossip;  // none: not configured
  };

  DecisionRound(const Config& config, const Collaborators& collaborators);

  void run();

  // From now on rounds take on messages but decide nothing: no call begins any more.
  void stop_deciding() { deciding_ = false; }
  [[nodiscard]] bool deciding() const { return deciding_; }

 private:
  void take_on_pending(PlanBuilder& plan);
  void decide(PlanBuilder& plan);

  // Each puts one action of the dispatcher into effect.
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
  Collaborators parts_;
  Time started_at_ = 0;  // of the round under way, or of the last one
  bool deciding_ = true;
};

}  // namespace message_relay
