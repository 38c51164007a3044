#include "relay_process.hpp"

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>

namespace scale_tool {

RelayProcess::RelayProcess(const std::string& program, const std::string& folder, const std::string& config)
    : folder_(folder) {
  const std::string file = folder + "/config.json", log = folder + "/log", state = state_in(folder);
  std::filesystem::create_directories(state);
  std::ofstream(file) << config;
  std::ofstream(log, std::ios::trunc);
  pid_ = ::fork();
  if (pid_ < 0) throw std::system_error(errno, std::generic_category(), "fork");
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it never outlives the tool, however that ends
    const bool quiet = std::freopen("/dev/null", "w", stdout) && std::freopen(log.c_str(), "a", stderr);
    if (!quiet || ::setenv("LB_CONFIG", file.c_str(), 1) != 0 || ::setenv("LB_STATE", state.c_str(), 1) != 0)
      ::_exit(126);
    ::execl(program.c_str(), program.c_str(), static_cast<char*>(nullptr));
    ::_exit(127);
  }
  if (const int error = ::clock_getcpuclockid(pid_, &clock_); error != 0) {
    ::kill(pid_, SIGKILL), ::waitpid(pid_, nullptr, 0);
    throw std::system_error(error, std::generic_category(), "clock of a process");
  }
}

RelayProcess::~RelayProcess() {
  if (pid_ > 0) ::kill(pid_, SIGKILL), ::waitpid(pid_, nullptr, 0);
}

bool RelayProcess::ended() {
  if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) pid_ = -1;
  return pid_ < 0;
}

double RelayProcess::processor_time() const {
  timespec t{};
  ::clock_gettime(clock_, &t);
  return static_cast<double>(t.tv_sec) * 1e6 + static_cast<double>(t.tv_nsec) * 1e-3;
}

std::int64_t RelayProcess::status(const std::string& name) const {
  std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(in, line);)
    if (line.rfind(name + ":", 0) == 0) return 1024 * std::atoll(line.c_str() + name.size() + 1);
  return 0;
}

std::string RelayProcess::log() const {
  std::ifstream in(folder_ + "/log");
  return {std::istreambuf_iterator<char>(in), {}};
}

}  // namespace scale_tool
