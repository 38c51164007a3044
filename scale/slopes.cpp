#include "slopes.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>

#include "resource_meters.hpp"

namespace scale_tool {
namespace {

// The sizes, separated by spaces; "-" if there are none.
std::string join_sizes(const std::vector<double>& sizes) {
  if (sizes.empty()) return "-";
  std::ostringstream out;
  for (const double size : sizes) out << (out.tellp() > 0 ? " " : "") << static_cast<std::int64_t>(size);
  return out.str();
}

// Extrapolates the cost at a larger size by a power law through the last point. Predicts better than the
// fitted line if the cost does not grow linearly.
double extrapolate_power_law(const Point& last, double exponent, double size) {
  return last.cost * std::pow(size / last.size, exponent);
}

}  // namespace

SlopeRecorder::SlopeRecorder(Report& report, const SlopesSettings& settings, std::string part)
    : report_(report), settings_(settings), part_(std::move(part)) {}

void SlopeRecorder::report_value(SizeKind kind, std::int64_t size, const Cost& cost) {
  const std::string size_name = to_string(kind);
  report_.add(
      {{"part", part_}, {"cost", cost.name}, {"of", size_name}, {"size", size}, {"measured", cost.value}});
  show_progress(part_ + ": " + cost.name + " at " + std::to_string(size) + " " + size_name);
}

void SlopeRecorder::add(SizeKind kind, std::int64_t size, const Cost& cost) {
  report_value(kind, size, cost);
  Series* series = find_series(kind, cost.name);
  if (series == nullptr)
    series = &series_.emplace_back(Series{.cost_name = cost.name, .kind = kind, .points = {}});
  series->points.push_back({.size = static_cast<double>(size), .cost = cost.value});
}

void SlopeRecorder::add_medians(SizeKind kind, std::int64_t size, const std::function<Costs()>& measure) {
  std::vector<Costs> repetitions;
  for (std::int64_t i = 0; i < settings_.repetitions; i++) repetitions.push_back(measure());
  for (std::size_t i = 0; i < repetitions.front().size(); i++) {
    std::vector<double> values;
    values.reserve(repetitions.size());
    for (const Costs& costs : repetitions) values.push_back(costs.at(i).value);
    add(kind, size, {repetitions.front()[i].name, median(std::move(values))});
  }
}

SlopeRecorder::Series* SlopeRecorder::find_series(SizeKind kind, const std::string& cost_name) {
  const auto found = std::find_if(series_.begin(), series_.end(), [&](const Series& series) {
    return series.kind == kind && series.cost_name == cost_name;
  });
  return found == series_.end() ? nullptr : &*found;
}

void SlopeRecorder::report_size_reaching(SizeKind kind, const std::string& cost_name, double max_value) {
  Series* series = find_series(kind, cost_name);
  if (series != nullptr) series->max_value = max_value;
}

Row SlopeRecorder::fitted_line_row(const Series& series) const {
  const LinearFit fit = fit_least_squares(series.points);
  const double target_size = settings_.target_size(series.kind);
  const double power_law_cost =
      target_size > 0 ? extrapolate_power_law(series.points.back(), fit.exponent, target_size) : 0;
  return {{"part", part_},
          {"cost", series.cost_name},
          {"of", to_string(series.kind)},
          {"slope", fit.slope},
          {"intercept", fit.intercept},
          {"residual", fit.relative_residual},
          {"exponent", fit.exponent},
          {"asked", static_cast<std::int64_t>(target_size)},
          {"line_there", target_size > 0 ? fit.cost_at(target_size) : 0.0},
          {"power_there", power_law_cost},
          {"off_line_at", join_sizes(fit.outlier_sizes)}};
}

// The size is 0 if the fitted line does not rise.
Row SlopeRecorder::size_at_limit_row(const Series& series) const {
  const LinearFit fit = fit_least_squares(series.points);
  const double size = fit.slope > 0 ? (series.max_value - fit.intercept) / fit.slope : 0;
  return {{"part", part_},
          {"cost", series.cost_name},
          {"of", to_string(series.kind)},
          {"reaches", series.max_value},
          {"at", size}};
}

void SlopeRecorder::report_fitted_lines() {
  std::erase_if(series_, [](const Series& series) { return series.points.size() < 2; });
  for (const Series& series : series_) report_.add(fitted_line_row(series));
  for (const Series& series : series_)
    if (series.max_value > 0) report_.add(size_at_limit_row(series));
  series_.clear();
  show_progress("");
}

}  // namespace scale_tool
