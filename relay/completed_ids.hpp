// Client ids of completed messages, remembered for a limited time so that a message that its client submits
// again is not delivered again.
#pragma once

#include <cstddef>
#include <deque>
#include <iterator>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
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
  static constexpr std::size_t kMaxIds = 16'384;

  // `retention` is in microseconds.
  explicit CompletedIds(Time retention) : retention_(retention) {}

  // Remembers an id, after expired ids have been removed. An id that is remembered already keeps its expiry
  // time.
  void add(const std::string& id, Time now) {
    remove_expired(now);
    if (ids_.contains(id)) return;
    if (entries_.size() >= kMaxIds) remove_oldest();
    insert({now + retention_, id});
  }
  void remove_expired(Time now) {
    while (!entries_.empty() && now >= entries_.front().expires_at) remove_oldest();
  }
  [[nodiscard]] bool contains(const std::string& id) const { return ids_.contains(id); }
  [[nodiscard]] std::size_t size() const { return ids_.size(); }
  // The memory in bytes that the ids take.
  [[nodiscard]] std::size_t memory_bytes() const { return memory_bytes_; }
  // The memory in bytes that an id of this length takes.
  [[nodiscard]] static std::size_t memory_bytes(const std::string& id) {
    return kEntryOverheadBytes + id.size();
  }

  // Returns the entries that another process restores after a handover, the first to expire first, and
  // forgets them.
  [[nodiscard]] std::vector<CompletedId> take() {
    ids_.clear();
    memory_bytes_ = 0;
    std::vector<CompletedId> entries(std::make_move_iterator(entries_.begin()),
                                     std::make_move_iterator(entries_.end()));
    entries_.clear();
    return entries;
  }
  void restore(std::vector<CompletedId> entries) {
    for (CompletedId& entry : entries)
      if (!ids_.contains(entry.id)) insert(std::move(entry));
  }

 private:
  // The entry, its place in the index and what the allocator adds to them.
  static constexpr std::size_t kEntryOverheadBytes = 144;

  void insert(CompletedId entry) {
    memory_bytes_ += memory_bytes(entry.id);
    entries_.push_back(std::move(entry));
    ids_.insert(entries_.back().id);
  }
  void remove_oldest() {
    memory_bytes_ -= memory_bytes(entries_.front().id);
    ids_.erase(entries_.front().id);
    entries_.pop_front();
  }

  Time retention_;
  std::deque<CompletedId> entries_;           // the first to expire first
  std::unordered_set<std::string_view> ids_;  // of entries_, whose elements do not move
  std::size_t memory_bytes_ = 0;
};

}  // namespace message_relay
