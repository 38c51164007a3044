// Write-ahead queue: executes plans in order, each after its records have been committed to the journal.
//
// Invariant: while commits fail, no plan is executed and no client is told that its message is accepted. The
// commit is retried until it succeeds.
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

  // Queues a plan whose records have been added to the journal; commit() executes it.
  void enqueue(Plan plan);
  // Commits the records added to the journal, then executes the queued plans. If the commit fails, rejects
  // the clients whose responses are in the queued plans, and retries later.
  void commit();

  // Whether the last commit succeeded.
  [[nodiscard]] bool journal_writable() const { return journal_writable_; }
  // Whether no plan is queued and no failed commit is to be retried.
  [[nodiscard]] bool empty() const { return queued_plans_.empty(); }

 private:
  void reject_waiting_clients();
  void schedule_retry();

  Journal& journal_;
  MessageRegistry& registry_;
  PlanExecutor& executor_;
  EventQueue& events_;
  boost::asio::steady_timer retry_timer_;
  std::vector<Plan> queued_plans_;  // their records are not committed yet
  bool journal_writable_ = true;
};

}  // namespace message_relay
