// The subcommand `scale_tool fleet`: parses its arguments and runs one simulation for each number of relays
// and each seed.
#include <cstddef>
#include <exception>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

#include "commands.hpp"
#include "fleet.hpp"
#include "fleet_experiment.hpp"
#include "report.hpp"

namespace scale_tool {
namespace {

constexpr int kMaxJobs = 256;

struct Arguments {
  std::string experiment_file;
  std::string json_file;
  std::vector<std::int64_t> relay_counts;
  std::vector<std::int64_t> seeds;
  int jobs = 1;
};

// One simulation to run.
struct Task {
  std::int64_t relay_count = 0;
  std::int64_t seed = 0;
};

// Returns 0 if `all` is 0.
double fraction(double part, double all) { return all > 0 ? part / all : 0; }
double fraction(std::int64_t part, std::int64_t all) {
  return fraction(static_cast<double>(part), static_cast<double>(all));
}

Row make_row(const Task& task, const FleetResult& result) {
  return {{"relays", task.relay_count},
          {"seed", task.seed},
          {"destinations", result.destinations},
          {"messages", result.messages},
          {"served", fraction(result.delivered, result.messages)},
          {"in_aim", fraction(result.within_objective, result.messages)},
          {"sound_served", fraction(result.unaffected_delivered, result.unaffected_messages)},
          {"failed", result.failed},
          {"handed_back", result.rejected},
          {"never_tried", result.never_attempted},
          {"of_limit", fraction(static_cast<double>(result.calls_succeeded), result.calls_allowed)},
          {"refused_a_served", fraction(result.calls_rejected, result.calls_succeeded)},
          {"calls_failed", result.calls_failed},
          {"falls", result.collapses},
          {"told_falls", result.collapses_by_notified_relays},
          {"longest_overrun_s", result.longest_overrun},
          {"overruns", result.overruns},
          {"cpu_a_relay", result.cpu_seconds_per_relay},
          {"bytes_a_relay", result.bytes_per_relay},
          {"digest", std::to_string(result.digest)}};
}

std::vector<Task> make_tasks(const FleetExperiment& experiment) {
  std::vector<Task> tasks;
  for (const auto relay_count : experiment.relay_counts)
    for (const auto seed : experiment.seeds) tasks.push_back({relay_count, seed});
  return tasks;
}

// Runs the simulations of an experiment, which are independent of each other, on several threads. A row is
// added to the report only after all rows before it, so that the order of the rows does not depend on the
// threads.
class FleetRunner {
 public:
  // Both must outlive this object.
  FleetRunner(const FleetExperiment& experiment, Report& report)
      : settings_(experiment.settings), tasks_(make_tasks(experiment)), report_(report) {}

  // Returns when all simulations have ended. Once a simulation throws, no further one is started, and its
  // exception is rethrown after the running ones have ended.
  void run(int jobs);

 private:
  void run_tasks();
  FleetResult simulate(std::size_t task);
  void add_rows();

  const FleetSettings& settings_;
  const std::vector<Task> tasks_;
  Report& report_;
  std::mutex mutex_;  // guards the members below, the report and the progress line
  std::size_t next_task_ = 0;
  std::map<std::size_t, FleetResult> results_;  // by index of the task
  std::exception_ptr error_;
};

void FleetRunner::run(int jobs) {
  std::vector<std::thread> threads;
  for (int i = 1; i < jobs; i++) threads.emplace_back([this] { run_tasks(); });
  run_tasks();
  for (auto& thread : threads) thread.join();
  show_progress("");
  if (error_) std::rethrow_exception(error_);
}

void FleetRunner::run_tasks() {
  std::unique_lock lock(mutex_);
  while (next_task_ < tasks_.size() && !error_) {
    const std::size_t task = next_task_++;
    lock.unlock();
    std::exception_ptr error;
    FleetResult result;
    try {
      result = simulate(task);
    } catch (...) {
      error = std::current_exception();
    }
    lock.lock();
    if (error) error_ = error;
    results_[task] = result;
    add_rows();
  }
}

FleetResult FleetRunner::simulate(std::size_t task) {
  FleetSettings settings = settings_;
  settings.relay_count = static_cast<int>(tasks_[task].relay_count);
  settings.seed = static_cast<std::uint64_t>(tasks_[task].seed);
  const std::string progress_prefix =
      "run " + std::to_string(task + 1) + " of " + std::to_string(tasks_.size()) + ", " +
      std::to_string(settings.relay_count) + " relays, seed " + std::to_string(settings.seed) + ": ";
  return run_fleet(settings, [&](double second) {
    const std::lock_guard lock(mutex_);
    show_progress(progress_prefix + std::to_string(static_cast<int>(second)) + " s");
  });
}

void FleetRunner::add_rows() {
  for (auto task = report_.rows().size(); results_.contains(task) && !error_; task++)
    report_.add(make_row(tasks_[task], results_.at(task)));
}

void run(const Arguments& arguments) {
  FleetExperiment experiment = read_fleet_experiment(arguments.experiment_file);
  if (!arguments.relay_counts.empty()) experiment.relay_counts = arguments.relay_counts;
  if (!arguments.seeds.empty()) experiment.seeds = arguments.seeds;
  Report report(arguments.json_file);
  FleetRunner(experiment, report).run(arguments.jobs);
  std::cout << report.table();
}

}  // namespace

void add_fleet_command(CLI::App& app) {
  const auto arguments = std::make_shared<Arguments>();
  CLI::App* command =
      app.add_subcommand("fleet", "Simulate a fleet of relays in virtual time against modelled destinations");
  command
      ->add_option("--experiment", arguments->experiment_file,
                   "TOML file whose table [fleet] describes the simulations")
      ->check(CLI::ExistingFile);
  command->add_option("--json", arguments->json_file,
                      "output file for the results, one JSON line for each simulation");
  command
      ->add_option("--relays", arguments->relay_counts,
                   "numbers of relays, instead of those in the experiment file")
      ->check(CLI::Range(std::int64_t{1}, kMaxRelays));
  command->add_option("--seeds", arguments->seeds, "seeds, instead of those in the experiment file")
      ->check(CLI::NonNegativeNumber);
  command->add_option("--jobs", arguments->jobs, "number of simulations to run in parallel")
      ->check(CLI::Range(1, kMaxJobs));
  command->callback([arguments] { run(*arguments); });
}

}  // namespace scale_tool
