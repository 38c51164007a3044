// Client ids of completed messages, remembered for a limited time so that a message that its client submits
// again is not delivered again.
#pragma once

#include <deque>
#include <string>
#include <unordered_set>
#include <vector>

#include "clock.hpp"

namespace message_relay {

struct CompletedId {
  Time expires_at = 0;  // steady time, microseconds
  std::string id;
  bool operator==(const CompletedId&) const = default;
};

// Invariant: at most kMaxIds ids are remembered; beyond that the oldest are evicted first.
class CompletedIds {
 public:
  // `retention` is in microseconds.
  explicit CompletedIds(Time retention) : retention_(retention) {}

  // Remembers an id, after expired ids have been removed. An id that is remembered already keeps its expiry
  // time.
  void add(const std::string& id, Time now) {
    while (!entries_.empty() && (now >= entries_.front().expires_at || entries_.size() >= kMaxIds)) {
      ids_.erase(entries_.front().id);
      entries_.pop_front();
    }
    if (ids_.insert(id).second) entries_.push_back({now + retention_, id});
  }
  [[nodiscard]] bool contains(const std::string& id) const { return ids_.contains(id); }
  [[nodiscard]] std::size_t size() const { return ids_.size(); }

  // The entries that another process restores after a handover, the first to expire first.
  [[nodiscard]] const std::deque<CompletedId>& entries() const { return entries_; }
  void restore(const std::vector<CompletedId>& entries) {
    for (const CompletedId& entry : entries)
      if (ids_.insert(entry.id).second) entries_.push_back(entry);
  }

 private:
  static constexpr std::size_t kMaxIds = 16'384;

  Time retention_;
  std::deque<CompletedId> entries_;  // the first to expire first
  std::unordered_set<std::string> ids_;
};

}  // namespace message_relay
