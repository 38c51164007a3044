// Measures the cost of each part of the relay at several sizes, and fits a line through the costs.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "least_squares.hpp"
#include "report.hpp"
#include "slopes_settings.hpp"

namespace scale_tool {

// One measured cost. Its name ends with the unit, as in "round, us".
struct Cost {
  std::string name;
  double value = 0;
};
using Costs = std::vector<Cost>;

// Collects the costs of one part of the relay. Reports each value when it is added, and the fitted lines at
// the end. Invariant: a series holds the points of one cost over one kind of size, in the order in which they
// were added.
class SlopeRecorder {
 public:
  // The report and the settings must outlive the recorder. `part` is the name of the part in the report.
  SlopeRecorder(Report& report, const SlopesSettings& settings, std::string part);

  [[nodiscard]] const SlopesSettings& settings() const { return settings_; }

  // Reports a value and adds it to the series of its cost.
  void add(SizeKind kind, std::int64_t size, const Cost& cost);
  // Calls `measure` as many times as the settings say, and adds the median of each cost. Each call must
  // return the same costs in the same order.
  void add_medians(SizeKind kind, std::int64_t size, const std::function<Costs()>& measure);
  // Reports a value that no line is fitted through.
  void report_value(SizeKind kind, std::int64_t size, const Cost& cost);
  // Makes report_fitted_lines() also report the size at which this cost reaches `max_value`. Has no effect if
  // `max_value` is 0, or if the cost has not been added.
  void report_size_reaching(SizeKind kind, const std::string& cost_name, double max_value);
  // Reports the line fitted through each series of at least two points, and starts over without any series.
  void report_fitted_lines();

 private:
  struct Series {
    std::string cost_name;
    SizeKind kind = SizeKind::listed_endpoints;
    std::vector<Point> points;
    double max_value = 0;  // 0 if the cost has no limit
  };
  // Returns null if there is no such series.
  Series* find_series(SizeKind kind, const std::string& cost_name);
  Row fitted_line_row(const Series& series) const;
  Row size_at_limit_row(const Series& series) const;

  Report& report_;
  const SlopesSettings& settings_;
  std::string part_;
  std::vector<Series> series_;
};

// Each function measures one part of the relay: the dispatcher, the journal, the reader of the endpoint list,
// the relay process. Throws std::runtime_error if the part does not do its work.
void measure_module(SlopeRecorder& recorder);
void measure_journal(SlopeRecorder& recorder);
void measure_endpoint_list(SlopeRecorder& recorder);
void measure_relay(SlopeRecorder& recorder);

}  // namespace scale_tool
