// Limits this relay's calls to a destination that may be returning from an outage.
//
// The platform counts a relay as notified of an outage as soon as one of its calls failed or was rejected
// during it, and from then on the relay's calls count towards the budget of the destination in slow start.
// A single unsuccessful call, which ejects no endpoint, is therefore enough to limit its calls.
//
// Invariant: from an unsuccessful call until a later one is served, however long that takes, calls take
// tokens at this relay's share of the rate that the destination withstands right after an outage. If there
// may have been an outage meanwhile, the rate then grows with the capacity of a destination in slow start. No
// call is limited before the first unsuccessful one.
#pragma once

#include "learned_records.hpp"
#include "round_context.hpp"

namespace dispatch {

/// A call that failed or was rejected.
struct UnsuccessfulCall {
  Time sent_at = 0;
  /// Available destinations answer some calls like this, too. The first such call in a row leaves one token.
  bool is_weak_evidence = false;
  /// The destination reported that its rate limit is used up, which explains the rejection without an outage.
  /// A single such call limits nothing.
  bool is_explained_by_limit = false;
  /// The end of a Retry-After. No tokens accumulate before it: relays that were told the same one would
  /// otherwise all resume at once.
  Time blocked_until = 0;
};

/// What the relay knows of the calls to a destination, per second.
struct KnownLoad {
  double demand = 0;      ///< the recent messages of this relay
  double rate_limit = 0;  ///< over all relays; 0: unknown
};

/// A token bucket for the calls to the endpoints that share one rate limit, while they may be in slow start.
class SlowStartPacer {
 public:
  /// Takes account of a call that failed or was rejected. Returns whether it is the first for which calls are
  /// limited.
  bool on_unsuccessful(RoundContext& round, const UnsuccessfulCall& call, const KnownLoad& load);
  /// Takes account of a served call. Returns whether slow start begins with it.
  bool on_served(const RoundContext& round, Time sent_at, const KnownLoad& load);
  /// Returns the time at which a token for the next call is available. Begins or ends slow start when it is
  /// due. `rate_limit` is the destination's limit in calls per second over all relays; 0: unknown.
  Time token_ready_at(const RoundContext& round, double rate_limit);
  void take_token(const RoundContext& round);

  /// Whether calls are limited.
  bool is_active() const { return record_.phase != SlowStartPhase::inactive; }
  /// Whether calls are limited and the next one has to wait for a token.
  bool is_out_of_tokens() const { return is_active() && record_.bucket.tokens() < 1; }
  /// Whether calls are limited now: slow start may have ended since the last call.
  bool is_limiting(const RoundContext& round) const;
  /// Whether the state must be kept after the destination has left the list.
  bool has_recent_outage(const RoundContext& round) const;

  SlowStartRecord& record() { return record_; }  ///< For the learned state only.

 private:
  void begin_phase(SlowStartPhase phase, Time at);
  void update_phase(const RoundContext& round);
  /// What this relay may send: calls per second, and calls at once.
  struct Allowance {
    double rate = 0;
    double burst = 1;
  };
  Allowance allowance(const RoundContext& round, double rate_limit) const;
  Time estimated_recovery(const RoundContext& round, double rate_limit) const;
  double initial_tokens(RoundContext& round, double rate_limit) const;
  void set_tokens(RoundContext& round, const UnsuccessfulCall& call, const KnownLoad& load,
                  Time blocked_until);

  SlowStartRecord record_;
};

}  // namespace dispatch
