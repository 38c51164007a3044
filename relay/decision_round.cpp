#include "decision_round.hpp"

#include <utility>
#include <variant>

#include "arrival_event.hpp"
#include "log.hpp"

namespace message_relay {

namespace action = dispatch::action;

DecisionRound::DecisionRound(const Config& config, const Collaborators& collaborators)
    : config_(config), parts_(collaborators) {}

void DecisionRound::run() {
  started_at_ = parts_.events.begin_round();
  PlanBuilder plan(parts_.journal, parts_.registry, parts_.directory, config_.settings, started_at_);
  take_on_pending(plan);
  if (deciding_) decide(plan);
  parts_.write_ahead.enqueue(std::move(plan).finish());
  parts_.write_ahead.commit();
  parts_.compactor.start_if_needed();
}

void DecisionRound::take_on_pending(PlanBuilder& plan) {
  for (PendingMessage& pending : parts_.admission.take_pending()) {
    const MessageId id = parts_.registry.assign_id(pending.message.id);
    parts_.events.add_without_round(to_arrival(id, pending.message, config_.setting_names));
    plan.await_decision(id, std::move(pending.respond));
    parts_.journal.record_message(id, std::move(pending.message));
  }
}

void DecisionRound::decide(PlanBuilder& plan) {
  std::vector<dispatch::Action> actions;
  const std::vector<dispatch::Event> events = parts_.events.take();
  parts_.dispatcher.handle(started_at_, events, actions);
  for (const dispatch::Action& action : actions)
    std::visit([&](const auto& alternative) { apply(alternative, plan); }, action);
}

void DecisionRound::apply(const action::Send& send, PlanBuilder& plan) { plan.send(send); }

void DecisionRound::apply(const action::Reject& reject, PlanBuilder& plan) {
  plan.give_up(reject.id, {.retryable = true, .retry_after = reject.retry_after});
}

void DecisionRound::apply(const action::Fail& fail, PlanBuilder& plan) {
  plan.give_up(fail.id, {.retryable = false, .retry_after = 0});
}

void DecisionRound::apply(const action::Cancel& cancel, PlanBuilder&) {
  parts_.delivery.cancel(cancel.id, cancel.attempt);
}

void DecisionRound::apply(const action::CloseIdleConnections& close, PlanBuilder&) {
  parts_.delivery.close_idle(close.endpoint);
}

void DecisionRound::apply(const action::SetTimer& timer, PlanBuilder&) {
  parts_.timers.set(started_at_ + timer.after, timer.token);
}

void DecisionRound::apply(const action::FetchEndpointList&, PlanBuilder&) { parts_.platform.fetch(); }

void DecisionRound::apply(const action::Subscribe& subscribe, PlanBuilder&) {
  if (subscribe.enabled)
    parts_.platform.watch();
  else
    parts_.platform.unwatch();
}

// This relay makes no health checks.
void DecisionRound::apply(const action::HealthCheck&, PlanBuilder&) {}

void DecisionRound::apply(const action::SendGossip& gossip, PlanBuilder&) {
  if (parts_.gossip) parts_.gossip->send(gossip.recipient, gossip.payload);
}

void DecisionRound::apply(const action::Log& line, PlanBuilder&) { log(line.text); }

}  // namespace message_relay
