// Client ids of completed messages, remembered for a while: handed in again, they are not sent again.
#pragma once

#include <deque>
#include <string>
#include <unordered_set>
#include <vector>

#include "clock.hpp"

namespace message_relay {

struct CompletedId {
  Time forget_at = 0;  // by the steady clock
  std::string id;
  bool operator==(const CompletedId&) const = default;
};

// Invariant: at most kMaxIds are remembered; beyond that the oldest are forgotten first.
class CompletedIds {
 public:
  explicit CompletedIds(Time retention) : retention_(retention) {}

  void add(const std::string& id, Time now) {
    while (!entries_.empty() && (now >= entries_.front().forget_at || entries_.size() >= kMaxIds)) {
      ids_.erase(entries_.front().id);
      entries_.pop_front();
    }
    if (ids_.insert(id).second) entries_.push_back({now + retention_, id});
  }
  [[nodiscard]] bool contains(const std::string& id) const { return ids_.contains(id); }
  [[nodiscard]] std::size_t size() const { return ids_.size(); }

  // For another process, which restores them.
  [[nodiscard]] const std::deque<CompletedId>& entries() const { return entries_; }
  void restore(const std::vector<CompletedId>& entries) {
    for (const CompletedId& entry : entries)
      if (ids_.insert(entry.id).second) entries_.push_back(entry);
  }

 private:
  static constexpr std::size_t kMaxIds = 16'384;

  Time retention_;
  std::deque<CompletedId> entries_;  // soonest forgotten first
  std::unordered_set<std::string> ids_;
};

}  // namespace message_relay
