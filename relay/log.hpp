// The log on standard error: one line for each notable event, with the wall-clock time. Frequent events are
// counted and logged as a summary.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace message_relay {

// Writes one line. `line` has no line feed.
void log(const std::string& line);

// Counts frequent events by reason and writes at most one line per second, since a line for each of many
// requests would itself be a considerable load.
class CountingLog {
 public:
  // Each line begins with `subject`.
  CountingLog(boost::asio::io_context& io, std::string subject) : timer_(io), subject_(std::move(subject)) {}

  // Counts one event. `reason` is one of a few string literals, so that the number of counts stays small.
  void count(const char* reason);
  // By reason, all that have been counted.
  [[nodiscard]] const std::map<std::string, std::uint64_t>& totals() const { return totals_; }

 private:
  void write_counts();

  boost::asio::steady_timer timer_;
  std::string subject_;
  std::map<std::string, std::size_t> counts_;  // by reason, since the last line was written
  std::map<std::string, std::uint64_t> totals_;
};

}  // namespace message_relay
