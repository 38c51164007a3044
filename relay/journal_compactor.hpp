// Compacts the journal in bounded steps, with the event loop's other work between them.
#pragma once

#include <boost/asio/io_context.hpp>

#include "journal.hpp"

namespace message_relay {

class JournalCompactor {
 public:
  JournalCompactor(boost::asio::io_context& io, Journal& journal) : io_(io), journal_(journal) {}

  void start_if_wanted();
  [[nodiscard]] bool running() const { return running_; }

 private:
  void post_step();

  boost::asio::io_context& io_;
  Journal& journal_;
  bool running_ = false;
};

}  // namespace message_relay
