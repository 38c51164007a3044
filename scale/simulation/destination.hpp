// Models a destination: how the receiver of the messages answers the calls of all relays.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <set>

#include "dispatch/dispatcher.hpp"
#include "fleet.hpp"
#include "simulation/load_reporter.hpp"
#include "simulation/overload_detector.hpp"
#include "simulation/overrun_meter.hpp"
#include "simulation/random_source.hpp"
#include "simulation/rate_limiter.hpp"
#include "simulation/virtual_time.hpp"

namespace scale_tool::simulation {

using RelayIndex = std::size_t;

// The answer of a destination to a call.
struct CallReply {
  dispatch::Outcome outcome = dispatch::Outcome::succeeded;
  Time processing_time = 0;  // from the call's arrival until the reply leaves
  Time retry_after = 0;      // the Retry-After of a rejected call; 0 if there is none
  dispatch::LoadReport load_report;
};

// The properties that differ between destinations.
struct DestinationTraits {
  bool has_fixed_window = false;  // otherwise the rate limit is a token bucket
  double window = 0;              // length of a fixed window, in seconds
  double bucket_fill_time = 0;    // time in which an empty token bucket fills up, in seconds
  RejectedCalls rejected_calls = RejectedCalls::not_counted;
  double retry_after_probability = 0;  // of a call that the rate limit rejects
  double full_capacity = 0;            // calls per second
  double window_phase = 0;             // fraction of a fixed window that is over at time 0
};

// Draws the properties of one destination at random.
[[nodiscard]] DestinationTraits draw_traits(const DestinationSettings& settings, RandomSource& random);

// A destination has a rate limit, a capacity above the rate limit, outages and load reports. After an outage
// it starts with a fraction of its capacity (slow start). It collapses permanently if it is overloaded in
// slow start.
//
// Invariant: an outage lasts from `outage_start_` until `outage_end_` and is followed by slow start; a new
// outage begins only after slow start. `notified_relays_` holds the relays that know of the last outage. A
// collapsed destination admits no further calls. The times passed to the functions must not decrease.
class Destination {
 public:
  // `load` is the rate of the destination's messages as a multiple of its rate limit. `settings` must outlive
  // this object.
  Destination(const DestinationSettings& settings, double load, const DestinationTraits& traits);

  // The mean number of messages that arrive for the destination per second.
  [[nodiscard]] double message_rate() const { return rate_limit_ * load_; }
  // In calls per second.
  [[nodiscard]] double rate_limit() const { return rate_limit_; }
  // The weight of the destination's endpoints in the endpoint list: the rate limit with a relative error.
  [[nodiscard]] double listed_weight() const;
  [[nodiscard]] const RateLimiter& rate_limiter() const { return *rate_limiter_; }

  // Processes a call that arrives from a relay and returns the reply; nothing if the call is never answered.
  [[nodiscard]] std::optional<CallReply> receive_call(Time now, RelayIndex relay, RandomSource& random);

  // Begins an outage, unless the destination is already down, in slow start or collapsed. Returns whether the
  // outage began.
  [[nodiscard]] bool begin_outage(Time now, Time duration, OutageSymptom symptom);
  // Records that the relay knows of the present or last outage.
  void notify(RelayIndex relay) { notified_relays_.insert(relay); }
  // Returns whether the given time is within the present or last outage, or the destination has collapsed.
  [[nodiscard]] bool is_down(Time at) const;
  [[nodiscard]] bool is_in_slow_start(Time now) const;
  // The cause of the destination's collapse; OverloadCause::none if it has not collapsed.
  [[nodiscard]] OverloadCause collapse_cause() const { return collapse_cause_; }

  [[nodiscard]] OverrunMeter& overrun_meter() { return overrun_meter_; }
  [[nodiscard]] const OverrunMeter& overrun_meter() const { return overrun_meter_; }

 private:
  double capacity(Time now) const;
  std::optional<CallReply> reply_in_outage(Time now, RandomSource& random);
  CallReply reject(Time now, std::optional<Time> retry_after, RandomSource& random);
  CallReply serve(Time now, double capacity, RandomSource& random);

  const DestinationSettings& settings_;
  double rate_limit_;
  double load_;
  DestinationTraits traits_;
  std::unique_ptr<RateLimiter> rate_limiter_;
  LoadReporter load_reporter_;
  OverrunMeter overrun_meter_;
  OverloadDetector overload_detector_;

  double queued_calls_ = 0;  // at `queue_updated_at_`
  Time queue_updated_at_ = 0;
  Time outage_start_ = kNever;
  Time outage_end_ = -kNever;
  OutageSymptom outage_symptom_ = OutageSymptom::unreachable;
  OverloadCause collapse_cause_ = OverloadCause::none;
  std::set<RelayIndex> notified_relays_;
};

}  // namespace scale_tool::simulation
