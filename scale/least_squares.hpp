// A straight line through measured costs, and where they leave it.
#pragma once

#include <vector>

namespace scale_tool {

struct Point {
  double size = 0;
  double cost = 0;
};

// A size is off the line where its cost is further from it than this fraction of the cost.
constexpr double kOffLineFraction = 0.15;

struct Line {
  double slope = 0;      // cost of one more
  double intercept = 0;  // cost of none
  double residual = 0;   // root of the mean squared deviation, as a fraction of the mean cost
  double exponent = 0;   // cost ~ size^exponent between the two largest sizes; 0 where one is not above 0
  std::vector<double> off_line_at;  // sizes

  [[nodiscard]] double at(double size) const { return intercept + slope * size; }
};

// Ordinary least squares; the points are in the order of their sizes. Throws std::invalid_argument where
// there are fewer than two different sizes.
[[nodiscard]] Line least_squares(const std::vector<Point>& points);

}  // namespace scale_tool
