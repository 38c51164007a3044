// Linear regression of measured costs over sizes, and the sizes that deviate from the fitted line.
#pragma once

#include <vector>

namespace scale_tool {

struct Point {
  double size = 0;
  double cost = 0;
};

// A point is an outlier if its cost deviates from the fitted line by more than this fraction of the cost.
constexpr double kOutlierDeviationFraction = 0.15;

struct LinearFit {
  double slope = 0;      // increase of the cost for each unit of size
  double intercept = 0;  // cost at size 0
  // Root mean square deviation from the line, as a fraction of the mean cost; 0 if the mean cost is 0.
  double relative_residual = 0;
  // Of the power law through the two largest sizes, cost ~ size^exponent; 0 if a size or cost of theirs is
  // not positive or the two sizes are equal.
  double exponent = 0;
  std::vector<double> outlier_sizes;

  [[nodiscard]] double cost_at(double size) const { return intercept + slope * size; }
};

// Fits a line by ordinary least squares. The points must be in ascending order of size. Throws
// std::invalid_argument if there are fewer than two different sizes.
[[nodiscard]] LinearFit fit_least_squares(const std::vector<Point>& points);

}  // namespace scale_tool
