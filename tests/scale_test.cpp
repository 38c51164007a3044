// Tests of the scale tool: least squares, resource meters, arguments and experiment files, and the measured
// costs. Only bytes and message counts are checked, never times, which vary from run to run.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "least_squares.hpp"
#include "resource_meters.hpp"
#include "slopes.hpp"

namespace scale_tool {
namespace {

constexpr double kRoundingError = 1e-12;

TEST(LeastSquares, FitsTheLineAndReportsOutliers) {
  const LinearFit fit = fit_least_squares({{1, 5}, {2, 7}, {4, 11}});
  EXPECT_NEAR(fit.slope, 2, kRoundingError);
  EXPECT_NEAR(fit.intercept, 3, kRoundingError);
  EXPECT_NEAR(fit.relative_residual, 0, kRoundingError);
  EXPECT_TRUE(fit.outlier_sizes.empty());
  EXPECT_NEAR(fit.cost_at(1e6), 2'000'003, 1e-6);
  // The line fitted through the squares of 1 to 4 is 5 x - 5. The deviations are 1, -1, -1, 1 and the mean
  // is 7.5.
  const LinearFit squares = fit_least_squares({{1, 1}, {2, 4}, {3, 9}, {4, 16}});
  EXPECT_NEAR(squares.slope, 5, kRoundingError);
  EXPECT_NEAR(squares.intercept, -5, kRoundingError);
  EXPECT_NEAR(squares.relative_residual, 1 / 7.5, kRoundingError);
  EXPECT_NEAR(squares.exponent, 2, kRoundingError);
  EXPECT_EQ(squares.outlier_sizes, (std::vector<double>{1, 2}));
}

TEST(LeastSquares, KeepsPrecisionForLargeSizesAndRejectsASingleSize) {
  EXPECT_NEAR(fit_least_squares({{1e9, 1}, {1e9 + 1, 2}, {1e9 + 2, 3}}).slope, 1, 1e-9);
  EXPECT_THROW(static_cast<void>(fit_least_squares({{3, 1}, {3, 2}})), std::invalid_argument);
  EXPECT_THROW(static_cast<void>(fit_least_squares({})), std::invalid_argument);
}

constexpr int kBlockCount = 10;
constexpr int kBlockBytes = 1000;

TEST(ResourceMeters, CountAllocatedBlocksAndBytesAndTheirPeak) {
  const AllocatedMemory before = allocated_memory();
  reset_peak_allocated_bytes();
  std::vector<std::unique_ptr<char[]>> blocks;
  blocks.reserve(kBlockCount);
  for (int i = 0; i < kBlockCount; i++) blocks.push_back(std::make_unique<char[]>(kBlockBytes));
  const AllocatedMemory with_blocks = allocated_memory();
  EXPECT_EQ(with_blocks.blocks - before.blocks, kBlockCount + 1);  // plus the block of the vector itself
  EXPECT_GE(with_blocks.bytes - before.bytes, kBlockCount * kBlockBytes);
  blocks = decltype(blocks)();
  EXPECT_EQ(allocated_memory().blocks, before.blocks);
  EXPECT_EQ(allocated_memory().bytes, before.bytes);
  EXPECT_GE(peak_allocated_bytes() - before.bytes, kBlockCount * kBlockBytes);
}

struct ProgramRun {
  int exit_status = -1;
  std::string output;  // standard output and standard error
};

// Runs the program through a shell. The exit status is -1 if it can't be started or is killed by a signal.
ProgramRun run_scale_tool(const std::string& arguments) {
  ProgramRun run;
  const std::string command = std::string(SCALE_TOOL_PROGRAM) + " " + arguments + " 2>&1";
  FILE* pipe = ::popen(command.c_str(), "r");
  if (pipe == nullptr) return run;
  std::array<char, 4096> buffer{};
  while (const auto bytes = std::fread(buffer.data(), 1, buffer.size(), pipe))
    run.output.append(buffer.data(), bytes);
  const int status = ::pclose(pipe);
  run.exit_status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return run;
}

// The error is reported with the line and the key, before anything is measured.
TEST(SlopesCommand, InvalidExperimentFileIsReportedWithLineAndKey) {
  struct Case {
    std::string text;
    std::string problem;  // expected in the output after the path of the file
  };
  const Case cases[] = {{"[slopes]\nrepetitions = 3\nrepetition = 3\n", ":3: slopes.repetition: unknown"},
                        {"[slopes]\nrepetitions = 'three'\n", ":2: slopes.repetitions: a whole number"},
                        {"[slopes]\n\nrepetitions = 0\n",
                         ":3: slopes.repetitions: a whole number, must lie between 1 and 1000"},
                        {"[slopes]\nendpoints = [10, 20.5]\n", ":2: slopes.endpoints: whole numbers"},
                        {"[slopes]\nendpoints = [10, 10]\n", ":2: slopes.endpoints: two different sizes"},
                        {"slopes = 7\n", ":1: slopes: must be a table"},
                        {"[slopes]\nendpoints = [\n", ":"}};
  const TemporaryDirectory directory;
  const std::string file = directory.path() + "/experiment.toml";
  const std::string prefix = "scale_tool: " + file;
  for (const auto& [text, problem] : cases) {
    std::ofstream(file) << text;
    const ProgramRun run = run_scale_tool("slopes --experiment " + file);
    EXPECT_EQ(run.exit_status, 2) << text;
    EXPECT_NE(run.output.find(std::string(prefix).append(problem)), std::string::npos) << run.output;
  }
}

TEST(SlopesCommand, InvalidArgumentGivesExitStatus2) {
  for (const std::string arguments :
       {"slopes --onyl module", "slopes --only nonsense", "slopes --experiment /nowhere.toml",
        "slopes --json /nowhere/x.json --only module", "nonsense", ""}) {
    const ProgramRun run = run_scale_tool(arguments);
    EXPECT_EQ(run.exit_status, 2) << arguments;
    EXPECT_FALSE(run.output.empty()) << arguments;
  }
  EXPECT_EQ(run_scale_tool("slopes --help").exit_status, 0);
}

// Numbers of endpoints whose lists are just below and just above the longest list that a relay reads, 4 MiB.
constexpr std::int64_t kReadableEndpoints = 31'000;
constexpr std::int64_t kTooManyEndpoints = 32'000;
constexpr double kMaxListBytes = 4 << 20;

// Largest residual, as a fraction of the mean cost, at which growth counts as linear. A few times this value
// would show that a cost does not grow linearly.
constexpr double kMaxRelativeResidual = 0.02;

const SlopesSettings& small_settings() {
  static const SlopesSettings kSettings = [] {
    SlopesSettings settings;
    settings.repetitions = 1;
    settings.message_destination_count = 10;
    settings.listed_endpoints = {200, 400, 800};
    settings.held_messages = {200, 400, 800};
    settings.unavailable_destinations = {4, 8};
    settings.calls_in_flight = {4, 8};
    settings.learned_destinations = {4, 8};
    settings.records_per_commit = {4, 8};
    settings.watched_endpoints = {kReadableEndpoints, kTooManyEndpoints};
    settings.messages_per_second = {10, 20};
    settings.relay_program = MESSAGE_RELAY_PROGRAM;
    return settings;
  }();
  return kSettings;
}

// Measures a part of the relay once at small sizes and looks up values in its report.
class PartReport {
 public:
  explicit PartReport(void (*measure)(SlopeRecorder&)) : report_("") {
    SlopeRecorder recorder(report_, small_settings(), "part");
    measure(recorder);
    recorder.report_fitted_lines();
  }

  [[nodiscard]] double slope(const std::string& cost, SizeKind kind) const {
    return number(cost, kind, "slope");
  }
  [[nodiscard]] double relative_residual(const std::string& cost, SizeKind kind) const {
    return number(cost, kind, "residual");
  }
  // The size at which the fitted line of the cost reaches its limit.
  [[nodiscard]] double size_at_limit(const std::string& cost, SizeKind kind) const {
    return number(cost, kind, "at");
  }
  // The sizes at which the cost was reported as a single value.
  [[nodiscard]] std::vector<Value> sizes_of(const std::string& cost) const {
    std::vector<Value> sizes;
    for (const Row& row : report_.rows())
      if (row[1].value == Value(cost)) sizes.push_back(row[3].value);
    return sizes;
  }

 private:
  // Fails the test and returns 0 if the report has no such value.
  double number(const std::string& cost, SizeKind kind, const std::string& column) const {
    for (const Row& row : report_.rows())
      if (row[1].value == Value(cost) && row[2].value == Value(to_string(kind)))
        for (const Cell& cell : row)
          if (cell.column == column) return std::get<double>(cell.value);
    ADD_FAILURE() << "no " << column << " of " << cost << ", " << to_string(kind);
    return 0;
  }

  Report report_;
};

// Guards against a second copy of the endpoint list or of the messages. The bounds leave room for the maps of
// another standard library, but not for such a copy.
TEST(ModuleSlopes, MemoryGrowsLinearlyWithEndpointsAndMessages) {
  const PartReport module(measure_module);
  EXPECT_LT(module.relative_residual("memory, bytes", SizeKind::listed_endpoints), kMaxRelativeResidual);
  EXPECT_LT(module.slope("memory, bytes", SizeKind::listed_endpoints), 1200);
  EXPECT_LT(module.relative_residual("memory, bytes", SizeKind::held_messages), kMaxRelativeResidual);
  EXPECT_LT(module.slope("memory, bytes", SizeKind::held_messages), 350);
}

// A record on disk holds the body once, plus names and numbers. Memory holds the body and the map node of the
// message.
TEST(JournalSlopes, DiskSpaceAndMemoryGrowLinearlyWithMessages) {
  const PartReport journal(measure_journal);
  const auto body_bytes = static_cast<double>(small_settings().body_bytes);
  for (const std::string cost : {"on disk, bytes", "memory, bytes"}) {
    EXPECT_LT(journal.relative_residual(cost, SizeKind::held_messages), kMaxRelativeResidual) << cost;
    EXPECT_GT(journal.slope(cost, SizeKind::held_messages), body_bytes) << cost;
  }
  EXPECT_LT(journal.slope("on disk, bytes", SizeKind::held_messages), body_bytes + 120);
  EXPECT_LT(journal.slope("memory, bytes", SizeKind::held_messages), 2 * body_bytes + 600);
}

TEST(ListSlopes, ListLengthGrowsLinearlyAndReachesItsLimitAtTheReportedSize) {
  const PartReport list(measure_endpoint_list);
  EXPECT_LT(list.relative_residual("whole list, bytes", SizeKind::listed_endpoints), kMaxRelativeResidual);
  const double bytes_per_endpoint = list.slope("whole list, bytes", SizeKind::listed_endpoints);
  EXPECT_GT(bytes_per_endpoint, 100);
  EXPECT_LT(bytes_per_endpoint, 200);
  EXPECT_NEAR(list.size_at_limit("whole list, bytes", SizeKind::listed_endpoints),
              kMaxListBytes / bytes_per_endpoint, 50);
  EXPECT_LT(list.slope("members, bytes", SizeKind::listed_endpoints), 400);
}

// Runs the relay process. Delivers all messages (otherwise measure_relay() throws), and expects the relay to
// reject only the list that exceeds its limit.
TEST(RelaySlopes, RelayProcessDeliversMessagesAndReadsListsUpToItsLimit) {
  const PartReport relay(measure_relay);
  EXPECT_EQ(relay.slope("one change on the watch, bytes", SizeKind::listed_endpoints), 0);
  EXPECT_EQ(relay.relative_residual("one change on the watch, bytes", SizeKind::listed_endpoints), 0);
  EXPECT_EQ(relay.sizes_of("not ready, a list too long, bytes"), std::vector<Value>{kTooManyEndpoints});
}

}  // namespace
}  // namespace scale_tool
