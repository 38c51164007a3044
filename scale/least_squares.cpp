#include "least_squares.hpp"

#include <cmath>
#include <stdexcept>

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

// 0 where a size or a cost is not above 0, or the sizes are the same.
double exponent_between(const Point& a, const Point& b) {
  const bool has_exponent = a.size > 0 && b.size > a.size && a.cost > 0 && b.cost > 0;
  return has_exponent ? std::log(b.cost / a.cost) / std::log(b.size / a.size) : 0;
}

}  // namespace

Line least_squares(const std::vector<Point>& points) {
  const Point mean = mean_of(points);
  // About the means: sums of squares of large sizes would lose the digits that tell them apart.
  double size_squares = 0;
  double size_cost_products = 0;
  for (const Point& point : points) {
    size_squares += (point.size - mean.size) * (point.size - mean.size);
    size_cost_products += (point.size - mean.size) * (point.cost - mean.cost);
  }
  if (!(size_squares > 0)) throw std::invalid_argument("least squares: two different sizes are needed");
  Line line;
  line.slope = size_cost_products / size_squares;
  line.intercept = mean.cost - line.slope * mean.size;
  double deviation_squares = 0;
  for (const Point& point : points) {
    const double deviation = point.cost - line.at(point.size);
    deviation_squares += deviation * deviation;
    if (std::abs(deviation) > kOffLineFraction * std::abs(point.cost)) line.off_line_at.push_back(point.size);
  }
  if (mean.cost != 0)
    line.residual = std::sqrt(deviation_squares / static_cast<double>(points.size())) / std::abs(mean.cost);
  line.exponent = exponent_between(points[points.size() - 2], points.back());
  return line;
}

}  // namespace scale_tool
