// Runs the relay as a child process and reads its processor time, memory and log.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <ctime>
#include <string>

namespace scale_tool {

// A memory field of /proc/<pid>/status: the resident set size, or its peak.
enum class MemoryField { resident, peak_resident };

// A running relay process. Invariant: `pid_` is the id of the child process, or -1 once it has exited and has
// been reaped.
class RelayProcess {
 public:
  // Starts the program with this configuration. The directory receives its log, its configuration file and
  // its state. Throws std::system_error if the process can't be started.
  RelayProcess(const std::string& program, const std::string& directory, const std::string& config);
  // Kills the process if it is still running.
  ~RelayProcess();
  RelayProcess(const RelayProcess&) = delete;
  RelayProcess& operator=(const RelayProcess&) = delete;

  // The state directory of a relay that is started in this directory.
  [[nodiscard]] static std::string state_directory(const std::string& directory) {
    return directory + "/state";
  }

  [[nodiscard]] bool has_exited();
  // Processor time of all threads of the process, user and system, in microseconds.
  [[nodiscard]] double cpu_time() const;
  // Returns 0 if the field can't be read.
  [[nodiscard]] std::int64_t memory_bytes(MemoryField field) const;
  // Everything that the process has logged so far.
  [[nodiscard]] std::string log() const;

 private:
  void kill_and_reap();

  std::string directory_;
  pid_t pid_ = -1;
  clockid_t cpu_clock_{};
};

}  // namespace scale_tool
