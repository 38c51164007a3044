// The scale tool: its arithmetic, its files and arguments, and costs that are counted, never timed.
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

TEST(LeastSquares, FindsTheLineAndWhatIsOffIt) {
  const LinearFit fit = fit_least_squares({{1, 5}, {2, 7}, {4, 11}});
  EXPECT_NEAR(fit.slope, 2, kRoundingError);
  EXPECT_NEAR(fit.intercept, 3, kRoundingError);
  EXPECT_NEAR(fit.relative_residual, 0, kRoundingError);
  EXPECT_TRUE(fit.outlier_sizes.empty());
  EXPECT_NEAR(fit.cost_at(1e6), 2'000'003, 1e-6);
  // The squares of 1 to 4 have the line 5 x - 5, with deviations 1, -1, -1, 1 about a mean of 7.5.
  const LinearFit squares = fit_least_squares({{1, 1}, {2, 4}, {3, 9}, {4, 16}});
  EXPECT_NEAR(squares.slope, 5, kRoundingError);
  EXPECT_NEAR(squares.intercept, -5, kRoundingError);
  EXPECT_NEAR(squares.relative_residual, 1 / 7.5, kRoundingError);
  EXPECT_NEAR(squares.exponent, 2, kRoundingError);
  EXPECT_EQ(squares.outlier_sizes, (std::vector<double>{1, 2}));
}

TEST(LeastSquares, KeepsItsDigitsWithLargeSizesAndRejectsASingleSize) {
  EXPECT_NEAR(fit_least_squares({{1e9, 1}, {1e9 + 1, 2}, {1e9 + 2, 3}}).slope, 1, 1e-9);
  EXPECT_THROW(static_cast<void>(fit_least_squares({{3, 1}, {3, 2}})), std::invalid_argument);
  EXPECT_THROW(static_cast<void>(fit_least_squares({})), std::invalid_argument);
}

constexpr int kBlocks = 10;
constexpr int kBlockBytes = 1000;

TEST(ResourceMeters, CountWhatIsAllocatedAndItsPeak) {
  const AllocatedMemory before = allocated_memory();
  reset_peak_allocated_bytes();
  std::vector<std::unique_ptr<char[]>> blocks;
  blocks.reserve(kBlocks);
  for (int i = 0; i < kBlocks; i++) blocks.push_back(std::make_unique<char[]>(kBlockBytes));
  const AllocatedMemory with_blocks = allocated_memory();
  EXPECT_EQ(with_blocks.blocks - before.blocks, kBlocks + 1);  // and the vector's own
  EXPECT_GE(with_blocks.bytes - before.bytes, kBlocks * kBlockBytes);
  blocks = decltype(blocks)();
  EXPECT_EQ(allocated_memory().blocks, before.blocks);
  EXPECT_EQ(allocated_memory().bytes, before.bytes);
  EXPECT_GE(peak_allocated_bytes() - before.bytes, kBlocks * kBlockBytes);
}

struct ProgramRun {
  int exit_status = -1;
  std::string output;  // on both streams
};

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

// Each is named with its line, before anything is measured.
TEST(SlopesCommand, NamesWhatIsWrongInAnExperimentFile) {
  struct Case {
    std::string text;
    std::string problem;  // after the path
  };
  const Case cases[] = {{"[slopes]\nrepetitions = 3\nrepetition = 3\n", ":3: slopes.repetition: unknown"},
                        {"[slopes]\nrepetitions = 'three'\n", ":2: slopes.repetitions: a whole number"},
                        {"[slopes]\n\nrepetitions = 0\n",
                         ":3: slopes.repetitions: a whole number, must lie between 1 and 1000"},
                        {"[slopes]\nendpoints = [10, 20.5]\n", ":2: slopes.endpoints: whole numbers"},
                        {"[slopes]\nendpoints = [10, 10]\n", ":2: slopes.endpoints: two different sizes"},
                        {"slopes = 7\n", ":1: slopes: must be a table"},
                        {"[slopes]\nendpoints = [\n", ":"}};
  const TemporaryDirectory folder;
  const std::string file = folder.path() + "/experiment.toml";
  const std::string prefix = "scale_tool: " + file;
  for (const auto& [text, problem] : cases) {
    std::ofstream(file) << text;
    const ProgramRun run = run_scale_tool("slopes --experiment " + file);
    EXPECT_EQ(run.exit_status, 2) << text;
    EXPECT_NE(run.output.find(std::string(prefix).append(problem)), std::string::npos) << run.output;
  }
}

TEST(SlopesCommand, EndsWith2OnABadArgument) {
  for (const std::string arguments :
       {"slopes --onyl module", "slopes --only nonsense", "slopes --experiment /nowhere.toml",
        "slopes --json /nowhere/x.json --only module", "nonsense", ""}) {
    const ProgramRun run = run_scale_tool(arguments);
    EXPECT_EQ(run.exit_status, 2) << arguments;
    EXPECT_FALSE(run.output.empty()) << arguments;
  }
  EXPECT_EQ(run_scale_tool("slopes --help").exit_status, 0);
}

// Endpoints on either side of the longest list that a relay reads, 4 MiB.
constexpr std::int64_t kReadableEndpoints = 31'000;
constexpr std::int64_t kTooManyEndpoints = 32'000;
constexpr double kMaxListBytes = 4 << 20;

// At a few times this residual a cost would not be taken to grow in a line.
constexpr double kMaxResidual = 0.02;

const SlopesSettings& small_sizes() {
  static const SlopesSettings kSettings = [] {
    SlopesSettings small;
    small.repetitions = 1;
    small.destinations_of_messages = 10;
    small.listed_endpoints = {200, 400, 800};
    small.held_messages = {200, 400, 800};
    small.unavailable_destinations = {4, 8};
    small.calls_in_flight = {4, 8};
    small.learned_destinations = {4, 8};
    small.records_per_commit = {4, 8};
    small.watched_endpoints = {kReadableEndpoints, kTooManyEndpoints};
    small.messages_per_second = {10, 20};
    small.relay_program = MESSAGE_RELAY_PROGRAM;
    return small;
  }();
  return kSettings;
}

// The report of a part that is measured once at small sizes.
class PartReport {
 public:
  explicit PartReport(void (*measure)(SlopeRecorder&)) : report_("") {
    SlopeRecorder recorder(report_, small_sizes(), "part");
    measure(recorder);
    recorder.report_lines();
  }

  [[nodiscard]] double slope(const std::string& cost, SizeKind kind) const {
    return number(cost, kind, "slope");
  }
  [[nodiscard]] double residual(const std::string& cost, SizeKind kind) const {
    return number(cost, kind, "residual");
  }
  // The size at which the cost reaches its limit.
  [[nodiscard]] double size_at_limit(const std::string& cost, SizeKind kind) const {
    return number(cost, kind, "at");
  }
  // At which the cost was measured, in no line.
  [[nodiscard]] std::vector<Value> sizes_of(const std::string& cost) const {
    std::vector<Value> sizes;
    for (const Row& row : report_.rows())
      if (row[1].value == Value(cost)) sizes.push_back(row[3].value);
    return sizes;
  }

 private:
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

// Bounds with room for another library's maps, none for a second copy of a list or of the messages.
TEST(ModuleSlopes, MemoryGrowsInALineWithEndpointsAndMessages) {
  const PartReport module(measure_module);
  EXPECT_LT(module.residual("memory, bytes", SizeKind::listed_endpoints), kMaxResidual);
  EXPECT_LT(module.slope("memory, bytes", SizeKind::listed_endpoints), 1200);
  EXPECT_LT(module.residual("memory, bytes", SizeKind::held_messages), kMaxResidual);
  EXPECT_LT(module.slope("memory, bytes", SizeKind::held_messages), 350);
}

// A record holds the body once, names and numbers beside it; memory the body and the message's node.
TEST(JournalSlopes, BytesOnDiskAndMemoryGrowInALineWithMessages) {
  const PartReport journal(measure_journal);
  const auto body_bytes = static_cast<double>(small_sizes().body_bytes);
  for (const std::string cost : {"on disk, bytes", "memory, bytes"}) {
    EXPECT_LT(journal.residual(cost, SizeKind::held_messages), kMaxResidual) << cost;
    EXPECT_GT(journal.slope(cost, SizeKind::held_messages), body_bytes) << cost;
  }
  EXPECT_LT(journal.slope("on disk, bytes", SizeKind::held_messages), body_bytes + 120);
  EXPECT_LT(journal.slope("memory, bytes", SizeKind::held_messages), 2 * body_bytes + 600);
}

TEST(ListSlopes, BytesGrowInALineAndTellWhereAListIsTooLong) {
  const PartReport list(measure_endpoint_list);
  EXPECT_LT(list.residual("whole list, bytes", SizeKind::listed_endpoints), kMaxResidual);
  const double bytes_per_endpoint = list.slope("whole list, bytes", SizeKind::listed_endpoints);
  EXPECT_GT(bytes_per_endpoint, 100);
  EXPECT_LT(bytes_per_endpoint, 200);
  EXPECT_NEAR(list.size_at_limit("whole list, bytes", SizeKind::listed_endpoints),
              kMaxListBytes / bytes_per_endpoint, 50);
  EXPECT_LT(list.slope("members, bytes", SizeKind::listed_endpoints), 400);
}

// The program itself: all messages are delivered (else the part throws), and the list ends where the tool
// says.
TEST(RelaySlopes, ARelayAmongItsPeersReadsListsUpToItsLimit) {
  const PartReport relay(measure_relay);
  EXPECT_EQ(relay.slope("one change on the watch, bytes", SizeKind::listed_endpoints), 0);
  EXPECT_EQ(relay.residual("one change on the watch, bytes", SizeKind::listed_endpoints), 0);
  EXPECT_EQ(relay.sizes_of("not ready, a list too long, bytes"), std::vector<Value>{kTooManyEndpoints});
}

}  // namespace
}  // namespace scale_tool
