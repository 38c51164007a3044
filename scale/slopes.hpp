// The cost of each part of the relay at several sizes, and the line through them.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "experiment.hpp"
#include "least_squares.hpp"
#include "report.hpp"

namespace scale_tool {

using Sizes = std::vector<std::int64_t>;
// What one measurement tells: name with unit, value.
using Costs = std::vector<std::pair<std::string, double>>;

// The table [slopes] of an experiment file. The sizes of each list grow.
struct SlopesSettings {
  std::int64_t repetitions = 3;            // of each measurement; the median counts
  double endpoints_per_destination = 1.7;  // listed
  std::int64_t body_bytes = 200;           // of a message
  std::int64_t down = 1000;                // destinations among which held messages are spread
  Sizes endpoints{40'000, 80'000, 160'000, 323'000};
  Sizes messages{40'000, 80'000, 160'000, 320'000};
  Sizes destinations_down{250, 500, 1000, 2000, 4000};
  Sizes calls_out{64, 128, 256, 512, 1024};
  Sizes recalled{500, 1000, 2000, 4000};  // destinations, of what an earlier life had learnt
  Sizes batch{1, 8, 64, 512};             // records written by one commit
  Sizes watched{2000, 5000, 10'000, 20'000, 30'000, 40'000};  // endpoints told to the relay by a watch
  Sizes rates{50, 100, 208, 416};                             // messages a second handed to the relay
  std::string relay_program;                                  // by an argument, not by the file
  // What a relay of the fleet is to bear; each line is followed to there. 0: not asked.
  double asked_endpoints = 323'000, asked_destinations = 190'000, asked_messages = 9.2e6;
  double asked_messages_per_s = 208, asked_memory_bytes = 64e6, asked_restart_s = 10;
  std::int64_t list_limit_bytes = 4 << 20;  // kMostList of relay/platform.cpp

  void read(Experiment& experiment);  // throws BadInput
};

// Collects costs and reports them: each as it is measured, the lines at the end of a part.
class Slopes {
 public:
  Slopes(Report& report, const SlopesSettings& settings) : set(settings), report_(report) {}

  void begin(const std::string& part) { part_ = part; }
  // `cost` names its unit, as "round, us"; `of` is one of those below.
  void add(const std::string& cost, const std::string& of, std::int64_t size, double value);
  // The medians of several measurements.
  void add_medians(const std::string& of, std::int64_t size, const std::function<Costs()>& measure);
  // What belongs to no line.
  void tell(const std::string& cost, const std::string& of, std::int64_t size, double value);
  // Also to be told with the lines: at what size this cost's reaches so much.
  void reach(const std::string& cost, const std::string& of, double most);
  void end();

  const SlopesSettings& set;

 private:
  struct Series {
    std::string cost, of;
    std::vector<Point> points;
    double most = 0;  // 0: not to be told
  };
  Series& series(const std::string& cost, const std::string& of);
  Report& report_;
  std::string part_;
  std::vector<Series> series_;  // of this part
};

// What sizes are sizes of.
inline const std::string kEndpoints = "endpoints listed", kWatched = "endpoints on a watch",
                         kMessages = "messages held", kDestinationsDown = "destinations down",
                         kCallsOut = "calls out", kRecalled = "destinations learnt",
                         kBatch = "records a commit", kRate = "messages a second";

void module_slopes(Slopes& slopes);
void journal_slopes(Slopes& slopes);
void list_slopes(Slopes& slopes);
void relay_slopes(Slopes& slopes);

}  // namespace scale_tool
