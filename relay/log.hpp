// The log on standard error: one line for each notable event, with the wall time; frequent events are
// counted.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <string>

namespace message_relay {

// Writes one line; `line` comes without its line feed.
void log(const std::string& line);

// Counts frequent events by reason and writes at most one line a second: a line for each of many requests
// would be a load of its own.
class CountingLog {
 public:
  // `subject` begins each line.
  CountingLog(boost::asio::io_context& io, std::string subject) : timer_(io), subject_(std::move(subject)) {}

  // `reason` is one of a few literals, so that the counts stay few.
  void count(const char* reason);

 private:
  void write_counts();

  boost::asio::steady_timer timer_;
  std::string subject_;
  std::map<std::string, std::size_t> counts_;  // by reason, since the last line
};

}  // namespace message_relay
