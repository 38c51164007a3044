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

void WriteAheadQueue::enqueue(Plan plan) { waiting_.push_back(std::move(plan)); }

void WriteAheadQueue::commit() {
  if (!journal_.commit()) {
    // Records outside a plan keep the queue from being empty, too.
    if (waiting_.empty()) waiting_.emplace_back();
    if (std::exchange(journal_writable_, false))
      log("journal: can't be written; rejecting messages until it can");
    reject_waiting_clients();
    retry_later();
    return;
  }
  if (!std::exchange(journal_writable_, true)) log("journal: can be written again");
  for (Plan& plan : std::exchange(waiting_, {})) executor_.carry_out(std::move(plan));
}

// Clients wait only for so long, and what stands in no record was not accepted.
void WriteAheadQueue::reject_waiting_clients() {
  for (Plan& plan : waiting_) {
    for (const PendingAnswer& answer : plan.answers) {
      answer.respond(kTemporarilyRejected);
      if (!answer.accepted) continue;
      registry_.complete(*answer.accepted, Completion::declined, ClientView::rejected);
      events_.add(dispatch::event::ClientCancelled{*answer.accepted});
    }
    plan.answers.clear();
  }
}

void WriteAheadQueue::retry_later() {
  retry_timer_.expires_after(kCommitRetryInterval);
  retry_timer_.async_wait([this](boost::system::error_code bad) {
    if (!bad) commit();
  });
}

}  // namespace message_relay
