// The calls that are in flight.
#pragma once

#include <cstddef>
#include <map>

#include "records.hpp"

namespace dispatch {

/// The calls in flight by their ids. Ids count from 1 in the order in which the calls began.
class CallTable {
 public:
  /// Adds a call without messages and returns its id.
  CallId begin_call(EndpointState& endpoint, Time sent_at) {
    calls_[next_id_] = Call{.endpoint = &endpoint, .sent_at = sent_at};
    return next_id_++;
  }
  /// Throws std::out_of_range unless the call is in flight.
  Call& at(CallId id) { return calls_.at(id); }
  const Call& at(CallId id) const { return calls_.at(id); }
  /// Returns null for a call that has ended.
  const Call* find(CallId id) const {
    const auto it = calls_.find(id);
    return it == calls_.end() ? nullptr : &it->second;
  }
  void end_call(CallId id) { calls_.erase(id); }

  std::size_t size() const { return calls_.size(); }
  auto begin() const { return calls_.begin(); }
  auto end() const { return calls_.end(); }

 private:
  std::map<CallId, Call> calls_;
  CallId next_id_ = 1;
};

}  // namespace dispatch
