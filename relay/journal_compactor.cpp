#include "journal_compactor.hpp"

#include <boost/asio/post.hpp>

namespace message_relay {

void JournalCompactor::start_if_needed() {
  if (journal_.needs_compaction()) schedule_step();
}

void JournalCompactor::schedule_step() {
  if (running_) return;
  running_ = true;
  boost::asio::post(io_, [this] {
    running_ = false;
    if (journal_.compact()) schedule_step();
  });
}

}  // namespace message_relay
