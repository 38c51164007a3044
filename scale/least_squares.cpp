#include "least_squares.hpp"

#include <cmath>
#include <stdexcept>

namespace scale_tool {

Line least_squares(const std::vector<Point>& points) {
  const auto n = static_cast<double>(points.size());
  double mean_size = 0, mean_cost = 0;
  for (const auto& p : points) mean_size += p.size / n, mean_cost += p.cost / n;
  // About the means: sums of squares of large sizes would lose the digits that tell them apart.
  double sxx = 0, sxy = 0;
  for (const auto& p : points) {
    sxx += (p.size - mean_size) * (p.size - mean_size);
    sxy += (p.size - mean_size) * (p.cost - mean_cost);
  }
  if (!(sxx > 0)) throw std::invalid_argument("least squares: two different sizes are needed");
  Line line;
  line.slope = sxy / sxx;
  line.intercept = mean_cost - line.slope * mean_size;
  double squares = 0;
  for (const auto& p : points) {
    const double off = p.cost - line.at(p.size);
    squares += off * off;
    if (std::abs(off) > kOffLine * std::abs(p.cost)) line.off_line_at.push_back(p.size);
  }
  if (mean_cost != 0) line.residual = std::sqrt(squares / n) / std::abs(mean_cost);
  const Point &a = points[points.size() - 2], &b = points.back();
  if (a.size > 0 && b.size > a.size && a.cost > 0 && b.cost > 0)
    line.exponent = std::log(b.cost / a.cost) / std::log(b.size / a.size);
  return line;
}

}  // namespace scale_tool
