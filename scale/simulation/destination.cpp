#include "simulation/destination.hpp"

#include <algorithm>
#include <cmath>

namespace scale_tool::simulation {
namespace {

constexpr Time kMicrosecondsPerMillisecond = 1'000;

// The probability that a call fails during an outage with OutageSymptom::failing.
constexpr double kFailureProbability = 0.9;

std::unique_ptr<RateLimiter> make_rate_limiter(double rate_limit, const DestinationTraits& traits) {
  if (traits.has_fixed_window)
    return std::make_unique<FixedWindow>(rate_limit, traits.window, traits.window_phase,
                                         traits.rejected_calls);
  return std::make_unique<TokenBucket>(rate_limit, traits.bucket_fill_time, traits.rejected_calls);
}

}  // namespace

DestinationTraits draw_traits(const DestinationSettings& settings, RandomSource& random) {
  DestinationTraits traits;
  traits.has_fixed_window = random.bernoulli(settings.fixed_window_fraction);
  traits.window = random.uniform(settings.min_window, settings.max_window);
  // A bucket with a depth of less than one token would admit no call.
  traits.bucket_fill_time = std::max(
      random.uniform(settings.min_bucket_fill_time, settings.max_bucket_fill_time), 1 / settings.rate_limit);
  traits.rejected_calls = random.bernoulli(settings.rejections_count_fraction) ? RejectedCalls::counted
                                                                               : RejectedCalls::not_counted;
  traits.retry_after_probability =
      random.uniform(settings.min_retry_after_probability, settings.max_retry_after_probability);
  traits.full_capacity =
      settings.rate_limit * random.uniform(settings.min_capacity_ratio, settings.max_capacity_ratio);
  traits.window_phase = random.uniform();
  return traits;
}

Destination::Destination(const DestinationSettings& settings, double load, const DestinationTraits& traits)
    : settings_(settings),
      rate_limit_(settings.rate_limit),
      load_(load),
      traits_(traits),
      rate_limiter_(make_rate_limiter(rate_limit_, traits)),
      load_reporter_(settings, rate_limit_),
      overrun_meter_(rate_limit_, rate_limiter_->period()),
      overload_detector_(settings) {}

double Destination::listed_weight() const {
  // All relays must see the same weight, so the error is derived from a random trait of the destination
  // instead of being drawn for each list.
  const double fixed_random = std::fmod(traits_.window_phase * 7, 1);
  const double error = settings_.max_weight_error * (2 * fixed_random - 1);
  return rate_limit_ * (1 + error);
}

bool Destination::is_down(Time at) const {
  return collapse_cause_ != OverloadCause::none || (at >= outage_start_ && at < outage_end_);
}

bool Destination::is_in_slow_start(Time now) const {
  return now >= outage_end_ && now < outage_end_ + to_microseconds(settings_.slow_start_duration);
}

double Destination::capacity(Time now) const {
  const double progress = to_seconds(now - outage_end_) / settings_.slow_start_duration;
  const double start = settings_.slow_start_capacity;
  return traits_.full_capacity * std::min(1.0, start + (1 - start) * std::max(0.0, progress));
}

bool Destination::begin_outage(Time now, Time duration, OutageSymptom symptom) {
  const bool has_recovered = now >= outage_end_ + to_microseconds(settings_.slow_start_duration);
  if (collapse_cause_ != OverloadCause::none || !has_recovered) return false;
  outage_start_ = now;
  outage_end_ = now + duration;
  outage_symptom_ = symptom;
  notified_relays_.clear();
  overload_detector_.clear();
  return true;
}

std::optional<CallReply> Destination::receive_call(Time now, RelayIndex relay, RandomSource& random) {
  overrun_meter_.record_call(now);
  const double capacity_now = capacity(now);
  if (!is_down(now) && is_in_slow_start(now))
    collapse_cause_ = overload_detector_.record_call(now, notified_relays_.contains(relay), capacity_now);
  if (is_down(now)) return reply_in_outage(now, random);
  queued_calls_ = std::max(0.0, queued_calls_ - capacity_now * to_seconds(now - queue_updated_at_));
  queue_updated_at_ = now;
  const std::optional<Time> retry_after = rate_limiter_->admit(now);
  const bool queue_is_full = queued_calls_ > std::max(1.0, capacity_now * traits_.bucket_fill_time);
  if (retry_after || queue_is_full) return reject(now, retry_after, random);
  return serve(now, capacity_now, random);
}

std::optional<CallReply> Destination::reply_in_outage(Time now, RandomSource& random) {
  CallReply reply;
  switch (outage_symptom_) {
    case OutageSymptom::unreachable:
      reply.outcome = dispatch::Outcome::connect_failed;
      reply.processing_time = kConnectTimeout;
      return reply;
    case OutageSymptom::refused:
      reply.outcome = dispatch::Outcome::connect_failed;
      return reply;
    case OutageSymptom::hung:
      return std::nullopt;
    case OutageSymptom::shut:
      return reject(now, outage_end_ - now, random);
    case OutageSymptom::failing:
      reply = serve(now, capacity(now), random);
      if (random.bernoulli(kFailureProbability)) reply.outcome = dispatch::Outcome::error;
      return reply;
  }
  return std::nullopt;
}

CallReply Destination::reject(Time now, std::optional<Time> retry_after, RandomSource& random) {
  CallReply reply;
  reply.outcome = dispatch::Outcome::rejected;
  if (retry_after && random.bernoulli(traits_.retry_after_probability))
    reply.retry_after = (*retry_after + kMicrosecondsPerMillisecond - 1) / kMicrosecondsPerMillisecond *
                        kMicrosecondsPerMillisecond;
  reply.load_report = load_reporter_.report(now, *rate_limiter_, random);
  return reply;
}

CallReply Destination::serve(Time now, double capacity, RandomSource& random) {
  const double queueing_time = queued_calls_ / capacity;
  queued_calls_ += 1;
  CallReply reply;
  reply.outcome = dispatch::Outcome::succeeded;
  reply.load_report = load_reporter_.report(now, *rate_limiter_, random);
  const double service_time =
      random.log_normal(settings_.mean_service_time, settings_.service_time_variation);
  reply.processing_time = to_microseconds(queueing_time + service_time);
  const bool is_reset = settings_.isolated_reset_fraction > 0 &&  // draws no number if there are no resets
                        random.bernoulli(settings_.isolated_reset_fraction);
  if (is_reset) reply.outcome = dispatch::Outcome::reset;
  return reply;
}

}  // namespace scale_tool::simulation
