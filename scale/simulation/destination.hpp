// A modelled destination: what the receiver of the messages does with the calls of all relays.
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

// What a destination makes of a call.
struct CallReply {
  dispatch::Outcome outcome = dispatch::Outcome::succeeded;
  Time processing_time = 0;  // from the call's arrival until the reply leaves
  Time retry_after = 0;      // advised to a rejected call; 0: no advice
  dispatch::LoadReport load_report;
};

// What differs between destinations.
struct DestinationTraits {
  bool has_fixed_window = false;  // else a token bucket
  double window = 0;              // seconds
  double bucket_fill_time = 0;    // seconds
  RejectedCalls rejected_calls = RejectedCalls::free;
  double retry_after_probability = 0;
  double full_capacity = 0;  // calls per second
  double phase = 0;          // of the limit's windows, between 0 and 1
};

[[nodiscard]] DestinationTraits draw_traits(const DestinationSettings& settings, RandomSource& random);

// Has a rate limit, a capacity above it, outages after which it comes back with a part of its capacity (slow
// start), and load reports. It collapses for good when it is overloaded in slow start.
//
// Invariant: an outage lasts from `down_from_` until `up_at_`, and slow start follows it; a new outage begins
// only after slow start. `notified_relays_` are those that know of the last outage. A collapsed destination
// admits nothing any more. The times passed in never go back.
class Destination {
 public:
  // `load` is the rate of its messages as a multiple of the rate limit. The settings must outlive this.
  Destination(const DestinationSettings& settings, double load, const DestinationTraits& traits);

  // The rate of its messages, per second.
  [[nodiscard]] double message_rate() const { return rate_limit_ * load_; }
  [[nodiscard]] double rate_limit() const { return rate_limit_; }
  // The weight that the endpoint list gives for its endpoints: the rate limit, wrong by some part.
  [[nodiscard]] double listed_weight() const;
  [[nodiscard]] const RateLimiter& rate_limiter() const { return *rate_limiter_; }

  // Takes in a call from a relay.
  [[nodiscard]] CallReply receive_call(Time now, RelayIndex relay, RandomSource& random);

  // Begins an outage of so long, unless there is one, or slow start or a collapse. Returns whether it began.
  [[nodiscard]] bool begin_outage(Time now, Time duration);
  // The relay knows of the present or last outage from now on.
  void notify(RelayIndex relay) { notified_relays_.insert(relay); }
  // In an outage at that time, or collapsed.
  [[nodiscard]] bool is_down(Time at) const;
  [[nodiscard]] bool is_in_slow_start(Time now) const;
  // What it collapsed under.
  [[nodiscard]] Overload collapse() const { return collapse_; }

  [[nodiscard]] OverrunMeter& overrun_meter() { return overrun_meter_; }
  [[nodiscard]] const OverrunMeter& overrun_meter() const { return overrun_meter_; }

 private:
  double capacity(Time now) const;
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
  Time down_from_ = kNever;
  Time up_at_ = -kNever;
  Overload collapse_ = Overload::none;
  std::set<RelayIndex> notified_relays_;
};

}  // namespace scale_tool::simulation
