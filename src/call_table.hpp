// The calls in flight.
#pragma once

#include <cstddef>
#include <map>

#include "records.hpp"

namespace dispatch {

/// Calls by their numbers, which count from 1 in the order in which the calls began.
class CallTable {
 public:
  CallId begin_call(EndpointState& endpoint, Time sent_at) {
    calls_[next_id_] = Call{&endpoint, sent_at, 0, 0, false};
    return next_id_++;
  }
  /// Only for calls in flight.
  Call& at(CallId id) { return calls_.at(id); }
  const Call& at(CallId id) const { return calls_.at(id); }
  /// Null for a call that is over.
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
