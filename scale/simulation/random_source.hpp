// Generates the random numbers of the simulation.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace scale_tool::simulation {

// Draws from random distributions. The distributions of the standard library differ between implementations,
// whereas these give the same numbers for the same seed on every platform.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  // 64 random bits.
  [[nodiscard]] std::uint64_t bits() { return engine_(); }
  // Uniformly distributed in [0, 1).
  [[nodiscard]] double uniform();
  // Uniformly distributed in [min, max).
  [[nodiscard]] double uniform(double min, double max);
  // True with the given probability.
  [[nodiscard]] bool bernoulli(double probability);
  [[nodiscard]] double exponential(double mean);
  // `variation` is the coefficient of variation: the standard deviation divided by the mean.
  [[nodiscard]] double log_normal(double mean, double variation);
  // An index from 0 to `size` - 1; `size` must not be 0.
  [[nodiscard]] std::size_t index(std::size_t size);

 private:
  std::mt19937_64 engine_;
};

}  // namespace scale_tool::simulation
