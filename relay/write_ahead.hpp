// Write-ahead: a plan is carried out once its records stand in the journal, in the order of the plans.
//
// Invariant: while a commit fails, no plan is carried out and no client is told that its message is accepted.
// The commit is retried until it succeeds.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <vector>

#include "event_queue.hpp"
#include "journal.hpp"
#include "message_registry.hpp"
#include "plan.hpp"
#include "plan_executor.hpp"

namespace message_relay {

class WriteAheadQueue {
 public:
  WriteAheadQueue(boost::asio::io_context& io, Journal& journal, MessageRegistry& registry,
                  PlanExecutor& executor, EventQueue& events);

  // Queues a plan whose records were added to the journal; commit() carries it out.
  void enqueue(Plan plan);
  // Commits the journal's added records, then carries out the queued plans.
  void commit();

  // Whether the last commit succeeded.
  [[nodiscard]] bool journal_writable() const { return journal_writable_; }
  [[nodiscard]] bool empty() const { return waiting_.empty(); }

 private:
  void reject_waiting_clients();
  void retry_later();

  Journal& journal_;
  MessageRegistry& registry_;
  PlanExecutor& executor_;
  EventQueue& events_;
  boost::asio::steady_timer retry_timer_;
  std::vector<Plan> waiting_;  // for their records to stand
  bool journal_writable_ = true;
};

}  // namespace message_relay
