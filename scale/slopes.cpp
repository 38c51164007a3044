#include "slopes.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "resource_meters.hpp"

namespace scale_tool {
namespace {

constexpr std::int64_t kMostSize = 20'000'000;

// Fewer than two sizes make no line.
void read_sizes(Experiment& experiment, const std::string& key, Sizes& sizes) {
  experiment.read(key, sizes, 1, kMostSize);
  std::sort(sizes.begin(), sizes.end());
  sizes.erase(std::unique(sizes.begin(), sizes.end()), sizes.end());
  if (sizes.size() < 2) experiment.reject(key, "two different sizes are needed");
}

std::string text_of(const std::vector<double>& sizes) {
  std::ostringstream out;
  for (const double size : sizes) out << (out.tellp() > 0 ? " " : "") << static_cast<std::int64_t>(size);
  return out.str().empty() ? "-" : out.str();
}

double asked(const SlopesSettings& s, const std::string& of) {
  if (of == kEndpoints || of == kWatched) return s.asked_endpoints;
  if (of == kMessages) return s.asked_messages;
  if (of == kDestinationsDown || of == kRecalled) return s.asked_destinations;
  if (of == kRate) return s.asked_messages_per_s;
  return 0;
}

// Where a cost does not grow in a line, this tells more of larger sizes.
double power_at(const Point& last, double exponent, double size) {
  return last.cost * std::pow(size / last.size, exponent);
}

}  // namespace

void SlopesSettings::read(Experiment& e) {
  e.read("repetitions", repetitions, 1, 1000);
  e.read("endpoints_per_destination", endpoints_per_destination, 1, 1000);
  e.read("body_bytes", body_bytes, 0, 64 * 1024);
  e.read("down", down, 1, 100'000);
  read_sizes(e, "endpoints", endpoints);
  read_sizes(e, "messages", messages);
  read_sizes(e, "destinations_down", destinations_down);
  read_sizes(e, "calls_out", calls_out);
  read_sizes(e, "recalled", recalled);
  read_sizes(e, "batch", batch);
  read_sizes(e, "watched", watched);
  read_sizes(e, "rates", rates);
  e.read("asked_endpoints", asked_endpoints, 0, 1e12);
  e.read("asked_destinations", asked_destinations, 0, 1e12);
  e.read("asked_messages", asked_messages, 0, 1e12);
  e.read("asked_messages_per_s", asked_messages_per_s, 0.001, 1e12);
  e.read("asked_memory_bytes", asked_memory_bytes, 0, 1e15);
  e.read("asked_restart_s", asked_restart_s, 0, 1e6);
  e.read("list_limit_bytes", list_limit_bytes, 1, std::int64_t{1} << 40);
}

void Slopes::tell(const std::string& cost, const std::string& of, std::int64_t size, double value) {
  report_.add({{"part", part_}, {"cost", cost}, {"of", of}, {"size", size}, {"measured", value}});
  progress(part_ + ": " + cost + " at " + std::to_string(size) + " " + of);
}

void Slopes::add(const std::string& cost, const std::string& of, std::int64_t size, double value) {
  tell(cost, of, size, value);
  series(cost, of).points.push_back({static_cast<double>(size), value});
}

void Slopes::add_medians(const std::string& of, std::int64_t size, const std::function<Costs()>& measure) {
  std::vector<Costs> all;
  for (std::int64_t i = 0; i < set.repetitions; i++) all.push_back(measure());
  for (std::size_t k = 0; k < all[0].size(); k++) {
    std::vector<double> values;
    for (const Costs& one : all) values.push_back(one.at(k).second);
    add(all[0][k].first, of, size, median(std::move(values)));
  }
}

Slopes::Series& Slopes::series(const std::string& cost, const std::string& of) {
  const auto it = std::find_if(series_.begin(), series_.end(),
                               [&](const Series& s) { return s.cost == cost && s.of == of; });
  return it != series_.end() ? *it : series_.emplace_back(Series{cost, of, {}, 0});
}

void Slopes::reach(const std::string& cost, const std::string& of, double most) {
  const auto it = std::find_if(series_.begin(), series_.end(),
                               [&](const Series& s) { return s.cost == cost && s.of == of; });
  if (it != series_.end()) it->most = most;
}

void Slopes::end() {
  for (const auto& s : series_) {
    if (s.points.size() < 2) continue;
    const Line line = least_squares(s.points);
    const double to = asked(set, s.of);
    report_.add({{"part", part_},
                 {"cost", s.cost},
                 {"of", s.of},
                 {"slope", line.slope},
                 {"intercept", line.intercept},
                 {"residual", line.residual},
                 {"exponent", line.exponent},
                 {"asked", static_cast<std::int64_t>(to)},
                 {"line_there", to > 0 ? line.at(to) : 0.0},
                 {"power_there", to > 0 ? power_at(s.points.back(), line.exponent, to) : 0.0},
                 {"off_line_at", text_of(line.off_line_at)}});
  }
  for (const auto& s : series_) {
    if (s.most <= 0 || s.points.size() < 2) continue;
    const Line line = least_squares(s.points);
    report_.add({{"part", part_},
                 {"cost", s.cost},
                 {"of", s.of},
                 {"reaches", s.most},
                 {"at", line.slope > 0 ? (s.most - line.intercept) / line.slope : 0.0}});
  }
  series_.clear();
  progress("");
}

}  // namespace scale_tool
