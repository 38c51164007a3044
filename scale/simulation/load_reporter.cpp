#include "simulation/load_reporter.hpp"

#include <algorithm>

namespace scale_tool::simulation {

double LoadReporter::with_noise(double value, RandomSource& random) const {
  return value * (1 + settings_.load_report_noise * (2 * random.uniform() - 1));
}

dispatch::LoadReport LoadReporter::report(Time now, RateLimiter& limiter, RandomSource& random) {
  if (now >= publish_at_) {
    published_ = pending_;
    publish_at_ = kNever;
  }
  if (now - measured_at_ >= to_microseconds(settings_.load_report_period)) {
    measured_at_ = now;
    publish_at_ = now + to_microseconds(settings_.load_report_delay);
    pending_ = std::clamp(with_noise(limiter.remaining_fraction(now), random), 0.0, 1.0);
  }
  dispatch::LoadReport report;
  report.remaining_fraction = published_;
  report.rate_limit = with_noise(rate_limit_, random);
  return report;
}

}  // namespace scale_tool::simulation
