#include "clock.hpp"

#include <cstdio>
#include <fstream>

#include "log.hpp"

namespace message_relay {
namespace {

constexpr const char* kBootIdPath = "/proc/sys/kernel/random/boot_id";

// Journal time minus steady time.
Time& journal_offset() {
  static Time offset = wall_now() - steady_now();
  return offset;
}

// Identifies the period since the machine was started, in which the steady clock runs on.
std::string boot_id() {
  std::string id;
  std::ifstream(kBootIdPath) >> id;
  return id.empty() ? "unknown" : id;
}

// Replaces the file in one step, so that a process that is killed meanwhile leaves the old or the new one.
bool store_offset(const std::string& path) {
  const std::string next_path = path + ".next";
  std::ofstream file(next_path, std::ios::trunc);
  file << boot_id() << ' ' << journal_offset() << '\n';
  file.close();
  return file && std::rename(next_path.c_str(), path.c_str()) == 0;
}

}  // namespace

Time journal_now() { return steady_now() + journal_offset(); }

void load_journal_clock(const std::string& folder) {
  const std::string path = folder + "/clock";
  std::ifstream file(path);
  std::string stored_boot_id;
  Time offset = 0;
  if (file >> stored_boot_id >> offset && stored_boot_id == boot_id()) {
    journal_offset() = offset;
    return;
  }
  if (!store_offset(path))
    log("clock: " + path + " can't be written; a step of the wall clock moves deadlines");
}

}  // namespace message_relay
