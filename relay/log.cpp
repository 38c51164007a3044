#include "log.hpp"

#include <chrono>
#include <cstdio>

#include "clock.hpp"

namespace message_relay {

namespace {

constexpr auto kCountInterval = std::chrono::seconds(1);
constexpr Time kMicrosecondsPerSecond = 1'000'000;

}  // namespace

void log(const std::string& line) {
  const Time now = wall_now();
  std::fprintf(stderr, "%lld.%06lld %s\n", static_cast<long long>(now / kMicrosecondsPerSecond),
               static_cast<long long>(now % kMicrosecondsPerSecond), line.c_str());
}

void CountingLog::count(const char* reason) {
  const bool line_scheduled = !counts_.empty();
  counts_[reason]++;
  totals_[reason]++;
  if (line_scheduled) return;
  timer_.expires_after(kCountInterval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) write_counts();
  });
}

void CountingLog::write_counts() {
  std::string line = subject_ + ":";
  for (const auto& [reason, count] : counts_) line += " " + reason + " (" + std::to_string(count) + ")";
  counts_.clear();
  log(line);
}

}  // namespace message_relay
