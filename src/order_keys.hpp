// The messages of each order key, in the order in which they were taken on.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "dispatch/types.hpp"

namespace dispatch {

/// A queue of messages for each order key, and until when the key is kept quiet. A key is forgotten when it
/// has no message and is quiet no longer.
class OrderKeys {
 public:
  /// The messages of one key, in their order.
  struct Queue {
    std::deque<MessageId> messages;
    Time quiet_until = 0;  // no first attempt before
  };

  void add(const std::string& key, MessageId id) { keys_[key].messages.push_back(id); }
  void remove(const std::string& key, MessageId id, Time now) {
    auto& messages = keys_[key].messages;
    messages.erase(std::find(messages.begin(), messages.end(), id));
    forget_if_unused(key, now);
  }
  /// Only for a key that has messages.
  const Queue& at(const std::string& key) const { return keys_.at(key); }
  void keep_quiet(const std::string& key, Time until) {
    Time& quiet_until = keys_[key].quiet_until;
    quiet_until = std::max(quiet_until, until);
    quiet_periods_.emplace_back(until, key);
  }
  /// Forgets keys whose quiet periods are over.
  void forget_unused(Time now) {
    while (!quiet_periods_.empty() && quiet_periods_.front().first <= now) {
      forget_if_unused(quiet_periods_.front().second, now);
      quiet_periods_.pop_front();
    }
  }
  std::size_t tracked_count() const { return keys_.size() + quiet_periods_.size(); }

 private:
  void forget_if_unused(const std::string& key, Time now) {
    const auto it = keys_.find(key);
    if (it != keys_.end() && it->second.messages.empty() && now >= it->second.quiet_until) keys_.erase(it);
  }

  std::map<std::string, Queue> keys_;
  std::deque<std::pair<Time, std::string>> quiet_periods_;  // their ends, with the keys
};

}  // namespace dispatch
