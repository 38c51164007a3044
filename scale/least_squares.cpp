#include "least_squares.hpp"

#include <cmath>
#include <stdexcept>
#include <string>

namespace scale_tool {
namespace {

Point mean_of(const std::vector<Point>& points) {
  const auto count = static_cast<double>(points.size());
  Point mean;
  for (const Point& point : points) {
    mean.size += point.size / count;
    mean.cost += point.cost / count;
  }
  return mean;
}

// Exponent of the power law through two points. 0 if a size or a cost is not positive, or if the second size
// is not larger than the first.
double power_law_exponent(const Point& first, const Point& second) {
  const bool has_exponent = first.size > 0 && second.size > first.size && first.cost > 0 && second.cost > 0;
  return has_exponent ? std::log(second.cost / first.cost) / std::log(second.size / first.size) : 0;
}

}  // namespace

LinearFit fit_least_squares(const std::vector<Point>& points) {
  const Point mean = mean_of(points);
  // Sums are taken about the means: with large sizes that are close together, plain sums of squares would
  // lose the digits in which the sizes differ.
  double sum_squared_size_deviations = 0;
  double sum_deviation_products = 0;
  for (const Point& point : points) {
    sum_squared_size_deviations += (point.size - mean.size) * (point.size - mean.size);
    sum_deviation_products += (point.size - mean.size) * (point.cost - mean.cost);
  }
  if (!(sum_squared_size_deviations > 0))
    throw std::invalid_argument("least squares fit: expected at least two different sizes among " +
                                std::to_string(points.size()) + " points");
  LinearFit fit;
  fit.slope = sum_deviation_products / sum_squared_size_deviations;
  fit.intercept = mean.cost - fit.slope * mean.size;
  double sum_squared_cost_deviations = 0;
  for (const Point& point : points) {
    const double deviation = point.cost - fit.cost_at(point.size);
    sum_squared_cost_deviations += deviation * deviation;
    if (std::abs(deviation) > kOutlierDeviationFraction * std::abs(point.cost))
      fit.outlier_sizes.push_back(point.size);
  }
  if (mean.cost != 0)
    fit.relative_residual =
        std::sqrt(sum_squared_cost_deviations / static_cast<double>(points.size())) / std::abs(mean.cost);
  fit.exponent = power_law_exponent(points[points.size() - 2], points.back());
  return fit;
}

}  // namespace scale_tool
