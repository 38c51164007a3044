// The cost of each part of the relay at several sizes, and the line through them.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "least_squares.hpp"
#include "report.hpp"
#include "slopes_settings.hpp"

namespace scale_tool {

// One value of a cost. Its name ends with the unit, as in "round, us".
struct Cost {
  std::string name;
  double value = 0;
};
using Costs = std::vector<Cost>;

// Collects the costs of one part of the relay and reports them: each value as it is measured, the lines at
// the end.
// Invariant: a series holds the points of one cost over one kind of size, in the order in which they were
// added.
class SlopeRecorder {
 public:
  // The report and the settings must outlive this. `part` is the name of the part in the report.
  SlopeRecorder(Report& report, const SlopesSettings& settings, std::string part);

  [[nodiscard]] const SlopesSettings& settings() const { return settings_; }

  // Reports a value and adds it to the series of its cost.
  void add(SizeKind kind, std::int64_t size, const Cost& cost);
  // Calls `measure` as often as the settings say, and adds the median of each cost.
  void add_medians(SizeKind kind, std::int64_t size, const std::function<Costs()>& measure);
  // Reports a value that belongs to no line.
  void report_value(SizeKind kind, std::int64_t size, const Cost& cost);
  // Has report_lines() report the size, too, at which this cost reaches `max_value`. 0: not known, no report.
  void report_size_reaching(SizeKind kind, const std::string& cost_name, double max_value);
  // Reports the lines through all series.
  void report_lines();

 private:
  struct Series {
    std::string cost_name;
    SizeKind kind = SizeKind::listed_endpoints;
    std::vector<Point> points;
    double max_value = 0;  // 0: none
  };
  Series* find_series(SizeKind kind, const std::string& cost_name);
  Row line_row(const Series& series) const;
  Row reached_row(const Series& series) const;

  Report& report_;
  const SlopesSettings& settings_;
  std::string part_;
  std::vector<Series> series_;
};

// Each measures one part. Throws std::runtime_error where the part does not do its work.
void measure_module(SlopeRecorder& recorder);
void measure_journal(SlopeRecorder& recorder);
void measure_endpoint_list(SlopeRecorder& recorder);
void measure_relay(SlopeRecorder& recorder);

}  // namespace scale_tool
