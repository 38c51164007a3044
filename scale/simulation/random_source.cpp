#include "simulation/random_source.hpp"

#include <cmath>

namespace scale_tool::simulation {
namespace {

constexpr int kMantissaBits = 53;  // of a double

}  // namespace

double RandomSource::uniform() { return static_cast<double>(bits() >> (64 - kMantissaBits)) * 0x1.0p-53; }

double RandomSource::uniform(double min, double max) { return min + (max - min) * uniform(); }

bool RandomSource::bernoulli(double probability) { return uniform() < probability; }

double RandomSource::exponential(double mean) { return -mean * std::log1p(-uniform()); }

double RandomSource::log_normal(double mean, double variation) {
  const double variance_of_log = std::log1p(variation * variation);
  // The Box-Muller transform.
  const double radius = std::sqrt(-2 * std::log1p(-uniform()));
  const double angle = 2 * M_PI * uniform();
  const double normal = radius * std::cos(angle);
  return mean * std::exp(std::sqrt(variance_of_log) * normal - variance_of_log / 2);
}

std::size_t RandomSource::index(std::size_t size) { return static_cast<std::size_t>(bits() % size); }

}  // namespace scale_tool::simulation
