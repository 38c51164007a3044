// The relay's program as a child process: its time and memory.
#pragma once

#include <sys/types.h>
#include <time.h>

#include <cstdint>
#include <string>

namespace scale_tool {

class RelayProcess {
 public:
  // Starts it on a folder, where its log, configuration and state lie. Throws std::system_error.
  RelayProcess(const std::string& program, const std::string& folder, const std::string& config);
  ~RelayProcess();  // kills it
  RelayProcess(const RelayProcess&) = delete;
  RelayProcess& operator=(const RelayProcess&) = delete;

  static std::string state_in(const std::string& folder) { return folder + "/state"; }
  bool ended();
  double processor_time() const;  // of all its threads, user and system, microseconds
  // A line of /proc/PID/status in bytes: VmRSS, VmHWM.
  std::int64_t status(const std::string& name) const;
  std::string log() const;

 private:
  std::string folder_;
  pid_t pid_ = -1;
  clockid_t clock_{};
};

}  // namespace scale_tool
