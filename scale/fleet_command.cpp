// `fleet`: the experiment file and the arguments, one run for each number of relays and seed.
#include <algorithm>
#include <exception>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

#include "commands.hpp"
#include "experiment.hpp"
#include "fleet.hpp"
#include "report.hpp"

namespace scale_tool {
namespace {

constexpr double kMostTime = 3'600, kMostRate = 1e6;
constexpr std::int64_t kMostRelays = 10'000, kMostDestinations = 1'000'000;

struct Arguments {
  std::string experiment, json;
  std::vector<std::int64_t> relays, seeds;
  int jobs = 1;
};

struct Plan {
  FleetSettings settings;
  std::vector<std::int64_t> relays{30}, seeds{1};
};

void read_whole(Experiment& file, const char* key, int& value, std::int64_t least, std::int64_t most) {
  std::int64_t number = value;
  file.read(key, number, least, most);
  value = static_cast<int>(number);
}

Plan read_plan(const Arguments& given) {
  Plan plan;
  FleetSettings& s = plan.settings;
  Experiment file(given.experiment, "fleet");
  file.read("relays", plan.relays, 1, kMostRelays);
  file.read("seeds", plan.seeds, 0, INT64_MAX);
  read_whole(file, "destinations_per_relay", s.destinations_per_relay, 1, kMostDestinations);
  read_whole(file, "most_destinations", s.max_destinations, 1, kMostDestinations);
  read_whole(file, "zones", s.network.zone_count, 1, 1'000);
  read_whole(file, "slots", s.relay.max_calls_in_flight, 1, 100'000);
  read_whole(file, "open_max", s.relay.max_open_messages, 1, 10'000'000);
  read_whole(file, "attempts_max", s.relay.max_attempts, 1, 1'000);
  const std::pair<const char*, double*> parts[] = {
      {"hot_part", &s.workload.hot_fraction},
      {"unsafe_part", &s.workload.non_idempotent_fraction},
      {"window_part", &s.destination.fixed_window_fraction},
      {"refused_count_part", &s.destination.rejections_count_fraction},
      {"tells_wait_least", &s.destination.min_retry_after_probability},
      {"tells_wait_most", &s.destination.max_retry_after_probability},
      {"weight_off", &s.destination.max_weight_error},
      {"report_noise", &s.destination.load_report_noise},
      {"down_part", &s.faults.unavailable_fraction},
      {"killed_part", &s.faults.killed_relay_fraction},
      {"cold_from", &s.destination.slow_start_capacity}};
  for (const auto& [key, value] : parts) file.read(key, *value, 0, 1);
  const std::pair<const char*, double*> above_zero[] = {
      {"length", &s.duration},
      {"aim", &s.workload.idempotent.latency_objective},
      {"deadline", &s.workload.idempotent.deadline},
      {"unsafe_aim", &s.workload.non_idempotent.latency_objective},
      {"unsafe_deadline", &s.workload.non_idempotent.deadline},
      {"window_least", &s.destination.min_window},
      {"window_most", &s.destination.max_window},
      {"depth_least", &s.destination.min_bucket_fill_time},
      {"depth_most", &s.destination.max_bucket_fill_time},
      {"service", &s.destination.mean_service_time},
      {"down", &s.faults.outage_duration},
      {"cold", &s.destination.slow_start_duration},
      {"overload_for", &s.destination.overload_duration},
      {"fall_multiple", &s.destination.overload_multiple},
      {"report_period", &s.destination.load_report_period},
      {"limit", &s.destination.rate_limit},
      {"load", &s.workload.load},
      {"spare_least", &s.destination.min_capacity_ratio},
      {"spare_most", &s.destination.max_capacity_ratio},
      {"endpoints", &s.destination.mean_endpoints}};
  constexpr double kLeast = 1e-6;
  for (const auto& [key, value] : above_zero) file.read(key, *value, kLeast, kMostTime);
  const std::pair<const char*, double*> from_zero[] = {{"warm_up", &s.warm_up},
                                                       {"hot_load", &s.workload.hot_load},
                                                       {"burst_load", &s.workload.burst_load},
                                                       {"burst_from", &s.workload.burst_start},
                                                       {"burst_to", &s.workload.burst_end},
                                                       {"service_cv", &s.destination.service_time_variation},
                                                       {"report_delay", &s.destination.load_report_delay},
                                                       {"same_zone", &s.network.same_zone_delay},
                                                       {"cross_zone", &s.network.cross_zone_delay},
                                                       {"list_delay", &s.network.max_list_delay},
                                                       {"killed_at", &s.faults.killed_at},
                                                       {"killed_for", &s.faults.restart_delay},
                                                       {"churn", &s.faults.endpoint_replacement_rate},
                                                       {"uneven", &s.workload.relay_skew}};
  for (const auto& [key, value] : from_zero) file.read(key, *value, 0, kMostRate);
  file.finish();
  try {
    validate(s);
  } catch (const std::invalid_argument& e) {
    throw BadInput((given.experiment.empty() ? "" : given.experiment + ": ") + "fleet: " + e.what());
  }
  if (!given.relays.empty()) plan.relays = given.relays;
  if (!given.seeds.empty()) plan.seeds = given.seeds;
  return plan;
}

double part(double of, double all) { return all > 0 ? of / all : 0; }

Row row_of(std::int64_t relays, std::int64_t seed, const FleetResult& r) {
  const auto n = [](std::int64_t v) { return static_cast<double>(v); };
  return {{"relays", relays},
          {"seed", seed},
          {"destinations", r.destinations},
          {"messages", r.messages},
          {"served", part(n(r.delivered), n(r.messages))},
          {"in_aim", part(n(r.within_objective), n(r.messages))},
          {"sound_served", part(n(r.unaffected_delivered), n(r.unaffected_messages))},
          {"failed", r.failed},
          {"handed_back", r.rejected},
          {"never_tried", r.never_attempted},
          {"of_limit", part(n(r.calls_succeeded), r.calls_allowed)},
          {"refused_a_served", part(n(r.calls_rejected), n(r.calls_succeeded))},
          {"calls_failed", r.calls_failed},
          {"falls", r.collapses},
          {"told_falls", r.collapses_by_notified_relays},
          {"longest_overrun_s", r.longest_overrun},
          {"overruns", r.overruns},
          {"cpu_a_relay", r.cpu_seconds_per_relay},
          {"bytes_a_relay", r.bytes_per_relay},
          {"digest", std::to_string(r.digest)}};
}

// The runs are independent of each other, and each of its thread; a row is added once all before it are
// there, so the order does not hang on the threads either.
void run(const Arguments& given) {
  const Plan plan = read_plan(given);
  Report report(given.json);
  std::vector<std::pair<std::int64_t, std::int64_t>> tasks;  // relays and seed
  for (const auto relays : plan.relays)
    for (const auto seed : plan.seeds) tasks.emplace_back(relays, seed);
  std::mutex lock;  // of all that follows
  std::size_t next = 0;
  std::map<std::size_t, FleetResult> ended;
  std::exception_ptr problem;
  const auto play = [&](std::size_t i) {
    FleetSettings s = plan.settings;
    s.relay_count = static_cast<int>(tasks[i].first), s.seed = static_cast<std::uint64_t>(tasks[i].second);
    const std::string name = "run " + std::to_string(i + 1) + " of " + std::to_string(tasks.size()) + ", " +
                             std::to_string(s.relay_count) + " relays, seed " + std::to_string(s.seed) + ": ";
    return run_fleet(s, [&](double second) {
      const std::lock_guard held(lock);
      progress(name + std::to_string(static_cast<int>(second)) + " s");
    });
  };
  const auto work = [&] {
    std::unique_lock held(lock);
    while (next < tasks.size() && !problem) {
      const std::size_t i = next++;
      held.unlock();
      std::exception_ptr failed;
      FleetResult result;
      try {
        result = play(i);
      } catch (...) {
        failed = std::current_exception();
      }
      held.lock();
      if (failed) problem = failed;
      ended[i] = result;
      for (auto row = report.rows().size(); ended.count(row) > 0 && !problem; row++)
        report.add(row_of(tasks[row].first, tasks[row].second, ended.at(row)));
    }
  };
  std::vector<std::thread> threads;
  for (int i = 1; i < given.jobs; i++) threads.emplace_back(work);
  work();
  for (auto& t : threads) t.join();
  progress("");
  if (problem) std::rethrow_exception(problem);
  std::cout << report.table();
}

}  // namespace

void add_fleet(CLI::App& app) {
  const auto given = std::make_shared<Arguments>();
  CLI::App* fleet = app.add_subcommand(
      "fleet", "Many instances of the module in virtual time, against modelled destinations");
  fleet->add_option("--experiment", given->experiment, "TOML file whose table [fleet] says what is played")
      ->check(CLI::ExistingFile);
  fleet->add_option("--json", given->json, "file for the results, a JSON line each");
  fleet->add_option("--relays", given->relays, "how many relays, in place of the file's")
      ->check(CLI::Range(std::int64_t{1}, kMostRelays));
  fleet->add_option("--seeds", given->seeds, "seeds, in place of the file's")->check(CLI::NonNegativeNumber);
  fleet->add_option("--jobs", given->jobs, "runs side by side")->check(CLI::Range(1, 256));
  fleet->callback([given] { run(*given); });
}

}  // namespace scale_tool
