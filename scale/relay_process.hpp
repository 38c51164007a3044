// The relay's program as a child process, with its processor time and memory.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <ctime>
#include <string>

namespace scale_tool {

// A field of /proc/PID/status.
enum class MemoryField { resident, peak_resident };

// Invariant: `pid_` is the running child, or -1 once it has ended and been waited for.
class RelayProcess {
 public:
  // Starts the program with this configuration, in a folder for its log, configuration and state. Throws
  // std::system_error where it can't be started.
  RelayProcess(const std::string& program, const std::string& folder, const std::string& config);
  // Kills it.
  ~RelayProcess();
  RelayProcess(const RelayProcess&) = delete;
  RelayProcess& operator=(const RelayProcess&) = delete;

  // Where the relay of a folder keeps its state.
  [[nodiscard]] static std::string state_folder(const std::string& folder) { return folder + "/state"; }

  [[nodiscard]] bool has_ended();
  // Of all its threads, user and system, in microseconds.
  [[nodiscard]] double cpu_time() const;
  [[nodiscard]] std::int64_t memory_bytes(MemoryField field) const;
  // All that it has logged.
  [[nodiscard]] std::string log() const;

 private:
  void kill();

  std::string folder_;
  pid_t pid_ = -1;
  clockid_t cpu_clock_{};
};

}  // namespace scale_tool
