#include "journal_compactor.hpp"

#include <boost/asio/post.hpp>

namespace message_relay {

void JournalCompactor::start_if_wanted() {
  if (journal_.wants_compaction()) post_step();
}

void JournalCompactor::post_step() {
  if (running_) return;
  running_ = true;
  boost::asio::post(io_, [this] {
    running_ = false;
    if (journal_.compact()) post_step();
  });
}

}  // namespace message_relay
