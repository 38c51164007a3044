// The messages of each order key, in the order in which they were accepted.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "dispatch/types.hpp"

namespace dispatch {

/// The queue of messages and the quiet period of each order key. A key is removed once it has no messages and
/// its quiet period is over.
class OrderKeys {
 public:
  /// The messages of one key, in the order of their acceptance.
  struct Queue {
    std::deque<MessageId> messages;
    Time quiet_until = 0;  // no message of the key is sent for the first time before this
  };

  void add(const std::string& key, MessageId id) { keys_[key].messages.push_back(id); }
  void remove(const std::string& key, MessageId id, Time now) {
    auto& messages = keys_[key].messages;
    messages.erase(std::find(messages.begin(), messages.end(), id));
    remove_if_unused(key, now);
  }
  /// Throws std::out_of_range for a key that is not stored. A key that has messages is always stored.
  const Queue& at(const std::string& key) const { return keys_.at(key); }
  /// Extends the quiet period of the key to `until`, unless it already lasts longer.
  void extend_quiet_period(const std::string& key, Time until) {
    Time& quiet_until = keys_[key].quiet_until;
    quiet_until = std::max(quiet_until, until);
    quiet_periods_.emplace_back(until, key);
  }
  /// Removes the keys without messages whose quiet periods are over.
  void remove_unused(Time now) {
    while (!quiet_periods_.empty() && quiet_periods_.front().first <= now) {
      remove_if_unused(quiet_periods_.front().second, now);
      quiet_periods_.pop_front();
    }
  }
  /// The number of stored keys and quiet periods.
  std::size_t tracked_count() const { return keys_.size() + quiet_periods_.size(); }

 private:
  void remove_if_unused(const std::string& key, Time now) {
    const auto it = keys_.find(key);
    if (it != keys_.end() && it->second.messages.empty() && now >= it->second.quiet_until) keys_.erase(it);
  }

  std::map<std::string, Queue> keys_;
  std::deque<std::pair<Time, std::string>> quiet_periods_;  // the end of each period and its key
};

}  // namespace dispatch
