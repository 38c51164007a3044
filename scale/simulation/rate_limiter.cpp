#include "simulation/rate_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace scale_tool::simulation {

TokenBucket::TokenBucket(double rate, double fill_time, RejectedCalls rejected_calls)
    : rate_(rate), fill_time_(fill_time), rejected_calls_(rejected_calls), tokens_(rate * fill_time) {}

void TokenBucket::refill(Time now) {
  tokens_ = std::min(depth(), tokens_ + rate_ * to_seconds(now - refilled_at_));
  refilled_at_ = now;
}

double TokenBucket::remaining_fraction(Time now) {
  refill(now);
  return std::max(0.0, tokens_) / depth();
}

std::optional<Time> TokenBucket::admit(Time now) {
  refill(now);
  const bool admitted = tokens_ >= 1;
  if (admitted || rejected_calls_ == RejectedCalls::counted) tokens_ = std::max(tokens_ - 1, -depth());
  if (admitted) return std::nullopt;
  return to_microseconds((1 - tokens_) / rate_) + 1;
}

FixedWindow::FixedWindow(double rate, double length, double phase, RejectedCalls rejected_calls)
    : rate_(rate), length_(length), phase_(phase), rejected_calls_(rejected_calls) {}

void FixedWindow::advance(Time now) {
  const auto index = static_cast<std::int64_t>(std::floor(to_seconds(now) / length_ + phase_));
  if (index == window_index_) return;
  window_index_ = index;
  counted_calls_ = 0;
}

double FixedWindow::remaining_fraction(Time now) {
  advance(now);
  return std::max(0.0, allowance() - static_cast<double>(counted_calls_)) / allowance();
}

std::optional<Time> FixedWindow::admit(Time now) {
  advance(now);
  const auto index = static_cast<double>(window_index_);
  const auto max_calls =
      static_cast<std::int64_t>(std::floor((index + 1) * allowance()) - std::floor(index * allowance()));
  const bool admitted = counted_calls_ < max_calls;
  if (admitted || rejected_calls_ == RejectedCalls::counted) counted_calls_++;
  if (admitted) return std::nullopt;
  return to_microseconds((index + 1 - phase_) * length_) - now + 1;
}

}  // namespace scale_tool::simulation
