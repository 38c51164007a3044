#include "write_ahead.hpp"

#include <chrono>
#include <utility>

#include "client_responses.hpp"
#include "log.hpp"

namespace message_relay {

namespace {

constexpr auto kCommitRetryInterval = std::chrono::milliseconds(20);

}  // namespace

WriteAheadQueue::WriteAheadQueue(boost::asio::io_context& io, Journal& journal, MessageRegistry& registry,
                                 PlanExecutor& executor, EventQueue& events)
    : journal_(journal), registry_(registry), executor_(executor), events_(events), retry_timer_(io) {}

void WriteAheadQueue::enqueue(Plan plan) { queued_plans_.push_back(std::move(plan)); }

void WriteAheadQueue::commit() {
  if (!journal_.commit()) {
    // Records can also be added without a plan. The empty plan keeps empty() false until they are committed.
    if (queued_plans_.empty()) queued_plans_.emplace_back();
    if (std::exchange(journal_writable_, false))
      log("journal: commit failed; rejecting messages until a retry succeeds");
    reject_waiting_clients();
    schedule_retry();
    return;
  }
  if (!std::exchange(journal_writable_, true)) log("journal: commit succeeded again; accepting messages");
  for (Plan& plan : std::exchange(queued_plans_, {})) executor_.execute(std::move(plan));
}

// Clients wait for a response only for a limited time, and a message whose record is not committed must not
// be accepted.
void WriteAheadQueue::reject_waiting_clients() {
  for (Plan& plan : queued_plans_) {
    for (const PendingResponse& pending : plan.client_responses) {
      pending.respond(kTemporarilyRejected);
      if (!pending.accepted_message) continue;
      registry_.complete(*pending.accepted_message, Completion::declined, AdmissionResult::rejected);
      events_.add(dispatch::event::ClientCancelled{*pending.accepted_message});
    }
    plan.client_responses.clear();
  }
}

void WriteAheadQueue::schedule_retry() {
  retry_timer_.expires_after(kCommitRetryInterval);
  retry_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) commit();
  });
}

}  // namespace message_relay
