#include "decision_round.hpp"

#include <utility>
#include <variant>

#include "arrival_event.hpp"
#include "log.hpp"

namespace message_relay {

namespace action = dispatch::action;

DecisionRound::DecisionRound(const Config& config, const Collaborators& collaborators)
    : config_(config), collaborators_(collaborators) {}

void DecisionRound::run() {
  started_at_ = collaborators_.events.begin_round();
  PlanBuilder plan(collaborators_.journal, collaborators_.registry, collaborators_.directory,
                   config_.settings, config_.setting_names, started_at_);
  admit_pending_messages(plan);
  const std::vector<dispatch::Action> actions = run_dispatcher();
  if (dispatching_) {
    for (const dispatch::Action& action : actions)
      std::visit([&](const auto& alternative) { apply(alternative, plan); }, action);
  }
  collaborators_.write_ahead.enqueue(std::move(plan).finish());
  collaborators_.write_ahead.commit();
  collaborators_.compactor.start_if_needed();
}

void DecisionRound::admit_pending_messages(PlanBuilder& plan) {
  for (PendingMessage& pending : collaborators_.admission.take_pending()) {
    const MessageId id = collaborators_.registry.assign_id(pending.message.id);
    collaborators_.events.add_without_round(to_arrival(id, pending.message, config_.setting_names));
    plan.defer_response(id, std::move(pending.respond));
    collaborators_.journal.record_message(id, std::move(pending.message));
  }
}

std::vector<dispatch::Action> DecisionRound::run_dispatcher() {
  std::vector<dispatch::Action> actions;
  const std::vector<dispatch::Event> events = collaborators_.events.take();
  collaborators_.dispatcher.handle(started_at_, events, actions);
  collaborators_.journal.record_limited_destinations(collaborators_.dispatcher.limited_destinations());
  return actions;
}

void DecisionRound::apply(const action::Send& send, PlanBuilder& plan) { plan.send(send); }

void DecisionRound::apply(const action::Reject& reject, PlanBuilder& plan) {
  plan.end_without_delivery(reject.id, {.retryable = true, .retry_after = reject.retry_after});
}

void DecisionRound::apply(const action::Fail& fail, PlanBuilder& plan) {
  plan.end_without_delivery(fail.id, {.retryable = false, .retry_after = 0});
}

void DecisionRound::apply(const action::Cancel& cancel, PlanBuilder&) {
  collaborators_.delivery.cancel(cancel.id, cancel.attempt);
}

void DecisionRound::apply(const action::CloseIdleConnections& close, PlanBuilder&) {
  collaborators_.delivery.close_idle(close.endpoint);
}

void DecisionRound::apply(const action::SetTimer& timer, PlanBuilder&) {
  collaborators_.timers.set(started_at_ + timer.after, timer.token);
}

void DecisionRound::apply(const action::FetchEndpointList&, PlanBuilder&) { collaborators_.platform.fetch(); }

void DecisionRound::apply(const action::Subscribe& subscribe, PlanBuilder&) {
  if (subscribe.enabled)
    collaborators_.platform.watch();
  else
    collaborators_.platform.cancel_watch();
}

// This relay sends no health checks, so the action is ignored.
void DecisionRound::apply(const action::HealthCheck&, PlanBuilder&) {}

void DecisionRound::apply(const action::SendGossip& gossip, PlanBuilder&) {
  if (collaborators_.gossip) collaborators_.gossip->send(gossip.recipient, gossip.payload);
}

void DecisionRound::apply(const action::Log& line, PlanBuilder&) { log(line.text); }

}  // namespace message_relay
