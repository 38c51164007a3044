// The scale tool: its arithmetic, its files and arguments, and work that is counted, never timed.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <memory>

#include "least_squares.hpp"
#include "resource_meters.hpp"
#include "slopes.hpp"

namespace scale_tool {
namespace {

TEST(LeastSquares, FindsTheLineAndWhatIsOffIt) {
  const Line line = least_squares({{1, 5}, {2, 7}, {4, 11}});
  EXPECT_NEAR(line.slope, 2, 1e-12);
  EXPECT_NEAR(line.intercept, 3, 1e-12);
  EXPECT_NEAR(line.residual, 0, 1e-12);
  EXPECT_TRUE(line.off_line_at.empty());
  EXPECT_NEAR(line.at(1e6), 2'000'003, 1e-6);
  // Known: squares of 1 to 4 have the line 5 x - 5, deviations 1, -1, -1, 1 about a mean of 7.5.
  const Line bent = least_squares({{1, 1}, {2, 4}, {3, 9}, {4, 16}});
  EXPECT_NEAR(bent.slope, 5, 1e-12);
  EXPECT_NEAR(bent.intercept, -5, 1e-12);
  EXPECT_NEAR(bent.residual, 1 / 7.5, 1e-12);
  EXPECT_NEAR(bent.exponent, 2, 1e-12);
  EXPECT_EQ(bent.off_line_at, (std::vector<double>{1, 2}));
}

TEST(LeastSquares, KeepsItsDigitsFarFromNothingAndRefusesOneSize) {
  EXPECT_NEAR(least_squares({{1e9, 1}, {1e9 + 1, 2}, {1e9 + 2, 3}}).slope, 1, 1e-9);
  EXPECT_THROW(least_squares({{3, 1}, {3, 2}}), std::invalid_argument);
  EXPECT_THROW(least_squares({}), std::invalid_argument);
}

TEST(Meters, CountWhatIsHeldAndTheMostOfIt) {
  const Memory before = allocated();
  mark_peak();
  std::vector<std::unique_ptr<char[]>> held;
  held.reserve(10);
  for (int i = 0; i < 10; i++) held.push_back(std::make_unique<char[]>(1000));
  const Memory with = allocated();
  EXPECT_EQ(with.blocks - before.blocks, 11);
  EXPECT_GE(with.bytes - before.bytes, 10 * 1000);
  held = decltype(held)();
  EXPECT_EQ(allocated().blocks, before.blocks);
  EXPECT_EQ(allocated().bytes, before.bytes);
  EXPECT_GE(peak_bytes() - before.bytes, 10 * 1000);
}

struct Ran {
  int status = -1;
  std::string said;  // on both streams
};
Ran run(const std::string& arguments) {
  Ran ran;
  FILE* out = ::popen((std::string(SCALE_TOOL_PROGRAM) + " " + arguments + " 2>&1").c_str(), "r");
  if (out == nullptr) return ran;
  std::array<char, 4096> part{};
  while (const auto n = std::fread(part.data(), 1, part.size(), out)) ran.said.append(part.data(), n);
  const int status = ::pclose(out);
  ran.status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return ran;
}

// Each is named with its line, before anything is measured.
TEST(SlopesCommand, NamesWhatIsWrongInAnExperimentFile) {
  const ScratchFolder folder;
  const std::string file = folder.path() + "/x.toml";
  const std::vector<std::pair<std::string, std::string>> cases{
      {"[slopes]\nrepetitions = 3\nrepetition = 3\n", ":3: slopes.repetition: unknown"},
      {"[slopes]\nrepetitions = 'three'\n", ":2: slopes.repetitions: a whole number"},
      {"[slopes]\n\nrepetitions = 0\n",
       ":3: slopes.repetitions: a whole number, must lie between 1 and 1000"},
      {"[slopes]\nendpoints = [10, 20.5]\n", ":2: slopes.endpoints: whole numbers"},
      {"[slopes]\nendpoints = [10, 10]\n", ":2: slopes.endpoints: two different sizes"},
      {"slopes = 7\n", ":1: slopes: must be a table"},
      {"[slopes]\nendpoints = [\n", ":"}};
  for (const auto& [text, problem] : cases) {
    std::ofstream(file) << text;
    const Ran ran = run("slopes --experiment " + file);
    EXPECT_EQ(ran.status, 2) << text;
    EXPECT_NE(ran.said.find("scale_tool: " + file + problem), std::string::npos) << ran.said;
  }
}

TEST(SlopesCommand, EndsWith2OnABadArgument) {
  for (const std::string bad :
       {"slopes --onyl module", "slopes --only nonsense", "slopes --experiment /nowhere.toml",
        "slopes --json /nowhere/x.json --only module", "nonsense", ""}) {
    const Ran ran = run(bad);
    EXPECT_EQ(ran.status, 2) << bad;
    EXPECT_FALSE(ran.said.empty()) << bad;
  }
  EXPECT_EQ(run("slopes --help").status, 0);
}

// Endpoints on either side of the longest list that a relay reads, 4 MiB.
constexpr std::int64_t kMany = 31'000, kTooMany = 32'000;

// A part at small sizes, measured once; the row of a line.
class Part {
 public:
  explicit Part(void (*measure)(Slopes&)) : report_(""), slopes_(report_, small()) {
    slopes_.begin("part"), measure(slopes_), slopes_.end();
  }
  double line(const std::string& cost, const std::string& of, const std::string& column) const {
    return find(cost, of, column);
  }
  const std::vector<Row>& rows() const { return report_.rows(); }
  double reached(const std::string& cost, const std::string& of) const { return find(cost, of, "at"); }

 private:
  double find(const std::string& cost, const std::string& of, const std::string& column) const {
    for (const Row& row : report_.rows())
      if (row[1].second == Value(cost) && row[2].second == Value(of))
        for (const auto& [name, value] : row)
          if (name == column) return std::get<double>(value);
    ADD_FAILURE() << "no " << column << " of " << cost << ", " << of;
    return 0;
  }
  static const SlopesSettings& small() {
    static const SlopesSettings s = [] {
      SlopesSettings all;
      all.repetitions = 1, all.down = 10;
      all.endpoints = all.messages = {200, 400, 800};
      all.destinations_down = all.calls_out = all.recalled = all.batch = {4, 8};
      all.watched = {kMany, kTooMany}, all.rates = {10, 20};
      all.relay_program = MESSAGE_RELAY_PROGRAM;
      return all;
    }();
    return s;
  }
  Report report_;
  Slopes slopes_;
};

// Bounds with room for another library's maps, none for a second copy of a list or of the messages.
TEST(ModuleSlopes, MemoryGrowsInALineWithEndpointsAndMessages) {
  const Part module(module_slopes);
  EXPECT_LT(module.line("memory, bytes", kEndpoints, "residual"), 0.02);
  EXPECT_LT(module.line("memory, bytes", kEndpoints, "slope"), 1200);
  EXPECT_LT(module.line("memory, bytes", kMessages, "residual"), 0.02);
  EXPECT_LT(module.line("memory, bytes", kMessages, "slope"), 350);
}

// A record holds the body once, names and numbers beside it; memory the body and the message's node.
TEST(JournalSlopes, BytesOnDiskAndMemoryGrowInALineWithMessages) {
  const Part journal(journal_slopes);
  const double body = static_cast<double>(SlopesSettings().body_bytes);
  for (const std::string cost : {"on disk, bytes", "memory, bytes"}) {
    EXPECT_LT(journal.line(cost, kMessages, "residual"), 0.02) << cost;
    EXPECT_GT(journal.line(cost, kMessages, "slope"), body) << cost;
  }
  EXPECT_LT(journal.line("on disk, bytes", kMessages, "slope"), body + 120);
  EXPECT_LT(journal.line("memory, bytes", kMessages, "slope"), 2 * body + 600);
}

TEST(ListSlopes, BytesGrowInALineAndTellWhereAListIsTooLong) {
  const Part list(list_slopes);
  EXPECT_LT(list.line("whole list, bytes", kEndpoints, "residual"), 0.02);
  const double bytes = list.line("whole list, bytes", kEndpoints, "slope");
  EXPECT_GT(bytes, 100);
  EXPECT_LT(bytes, 200);
  EXPECT_NEAR(list.reached("whole list, bytes", kEndpoints), (4 << 20) / bytes, 50);
  EXPECT_LT(list.line("members, bytes", kEndpoints, "slope"), 400);
}

// The program itself: all messages are delivered (else the part throws), and the list ends where the tool
// says.
TEST(RelaySlopes, ARelayAmongStandInsReadsListsUpToItsLimit) {
  const Part relay(relay_slopes);
  EXPECT_EQ(relay.line("one change on the watch, bytes", kEndpoints, "slope"), 0);
  EXPECT_EQ(relay.line("one change on the watch, bytes", kEndpoints, "residual"), 0);
  std::vector<Value> too_long;
  for (const Row& row : relay.rows())
    if (row[1].second == Value("not ready, a list too long, bytes")) too_long.push_back(row[3].second);
  EXPECT_EQ(too_long, std::vector<Value>{kTooMany});
}

}  // namespace
}  // namespace scale_tool
