// A straight line through measured costs, and where they leave it.
#pragma once

#include <vector>

namespace scale_tool {

struct Point {
  double size = 0, cost = 0;
};

struct Line {
  double slope = 0;      // cost of one more
  double intercept = 0;  // cost of none
  double residual = 0;   // root of the mean squared deviation, as a share of the mean cost
  double exponent = 0;   // cost ~ size^exponent between the two largest sizes; 0 where one is not above 0
  std::vector<double> off_line_at;  // sizes whose cost is further from the line than kOffLine of itself
  double at(double size) const { return intercept + slope * size; }
};

constexpr double kOffLine = 0.15;

// Ordinary least squares; the points in the order of their sizes. Throws std::invalid_argument where there
// are fewer than two different sizes.
Line least_squares(const std::vector<Point>& points);

}  // namespace scale_tool
