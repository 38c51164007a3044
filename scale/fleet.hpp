// A fleet of hollow relays: many instances of the real module in one process and in virtual time, against
// modelled destinations. Nothing of it depends on the machine: equal settings and seed give equal results.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "dispatch/dispatcher.hpp"

namespace scale_tool {

// Lengths in seconds, rates a second. A pair is a range from which each destination draws.
struct FleetSettings {
  int relays = 30;
  std::uint64_t seed = 1;
  // Of the full size; traffic for each relay and destination stays the same in a part of it.
  int destinations_per_relay = 146;
  int most_destinations = 200;
  double endpoints = 1.7;  // for each destination, in the mean; they share its limit
  double length = 60, warm_up = 15;

  // What is asked, as a share of each destination's limit; of some destinations another share.
  double limit = 2.84;  // calls a second that a destination takes of all relays
  double load = 0.5;
  double hot_part = 0, hot_load = 0;
  double burst_load = 0, burst_from = 0, burst_to = 0;  // of all, for a while in place of `load`
  double uneven = 0;  // variation of what the relays get, in means: 1 gives some several times the mean
  double unsafe_part = 0.23;
  double aim = 1.5, deadline = 8, unsafe_aim = 2, unsafe_deadline = 16;

  // Limits: over fixed windows, else a plain rate of which `depth` seconds can be saved up.
  double window_part = 0.67, window_least = 1, window_most = 2;
  double depth_least = 0.4, depth_most = 1;
  double refused_count_part = 0;  // of destinations at which refused calls use the limit up
  double tells_wait_least = 0.05, tells_wait_most = 0.9;
  double spare_least = 1.2, spare_most = 1.6;  // capacity over the limit
  double service = 0.15, service_cv = 0.6;
  double weight_off = 0.5;  // how far the list's weight is off at most
  double report_period = 0.4, report_delay = 0.15, report_noise = 0.1;
  double same_zone = 0.015, cross_zone = 0.05;  // one way
  int zones = 2;

  // Troubles. Destinations are down for `down` in turn, so that this part of them is down at any time; an
  // endpoint is replaced by another so many times a second; relays are killed at once, their folders kept.
  double down_part = 0, down = 10;
  double churn = 0, list_delay = 1;
  double killed_part = 0, killed_at = 30, killed_for = 1;

  int slots = 145, open_max = 4'150, attempts_max = 6;
  double cold_from = 0.22, cold = 9, fall_multiple = 2, overload_for = 1.5;
};

struct FleetResult {
  std::int64_t destinations = 0, endpoints = 0;
  // Messages that arrived after the warm-up and whose time was up before the end.
  std::int64_t messages = 0, served = 0, in_aim = 0, failed = 0, handed_back = 0, never_tried = 0;
  // Of these, those whose destination was neither down nor cold in their time.
  std::int64_t sound_messages = 0, sound_served = 0;
  // After the warm-up.
  std::int64_t calls = 0, calls_served = 0, calls_refused = 0, calls_failed = 0;
  double limit_calls = 0;                  // that the limits would have allowed
  std::int64_t falls = 0, told_falls = 0;  // pushed over while cold; two thirds by relays that had been told
  // The longest time after the restart for which the calls in a destination's window went on being more than
  // its limit allows; and how many destinations had more than their window and 2 s of that.
  double longest_overrun = 0;
  std::int64_t overruns = 0;
  // At the end, with what the emulator itself holds.
  std::int64_t bytes_a_relay = 0;
  double processor_seconds_a_relay = 0;  // for a second of virtual time
  std::uint64_t digest = 0;              // of all that happened, in order
};

// Throws std::invalid_argument naming the setting that makes no sense.
void validate(const FleetSettings& settings);

// Throws as validate() does. `progress` hears of each virtual second.
FleetResult run_fleet(
    const FleetSettings& settings, const std::function<void(double second)>& progress = [](double) {});

}  // namespace scale_tool
