// Compacts the journal in bounded steps; the event loop handles other work between the steps.
#pragma once

#include <boost/asio/io_context.hpp>

#include "journal.hpp"

namespace message_relay {

class JournalCompactor {
 public:
  JournalCompactor(boost::asio::io_context& io, Journal& journal) : io_(io), journal_(journal) {}

  // Schedules the first step if the journal needs a compaction and no step is scheduled.
  void start_if_needed();
  // Whether a step is scheduled.
  [[nodiscard]] bool running() const { return running_; }

 private:
  void schedule_step();

  boost::asio::io_context& io_;
  Journal& journal_;
  bool running_ = false;
};

}  // namespace message_relay
