#include "relay_process.hpp"

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>

#include "units.hpp"

namespace scale_tool {
namespace {

// Exit statuses that a shell returns for the same failures.
constexpr int kCannotExecute = 126;
constexpr int kNotFound = 127;
constexpr std::int64_t kBytesPerKibibyte = 1024;

// Overwrites the file with this content.
void write_file(const std::string& path, const std::string& content) {
  std::ofstream file(path, std::ios::trunc);
  file << content;
}

// Runs in the child process: redirects the output, sets the relay's environment and executes the program.
[[noreturn]] void execute_relay(const std::string& program, const std::string& config_file,
                                const std::string& state_directory, const std::string& log_file) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // so that the relay never outlives the tool, even if that is killed
  const bool has_output = std::freopen("/dev/null", "w", stdout) != nullptr &&
                          std::freopen(log_file.c_str(), "a", stderr) != nullptr;
  if (!has_output) ::_exit(kCannotExecute);
  if (::setenv("LB_CONFIG", config_file.c_str(), 1) != 0) ::_exit(kCannotExecute);
  if (::setenv("LB_STATE", state_directory.c_str(), 1) != 0) ::_exit(kCannotExecute);
  ::execl(program.c_str(), program.c_str(), static_cast<char*>(nullptr));
  ::_exit(kNotFound);
}

std::string status_field_prefix(MemoryField field) {
  return field == MemoryField::resident ? "VmRSS:" : "VmHWM:";
}

}  // namespace

RelayProcess::RelayProcess(const std::string& program, const std::string& directory,
                           const std::string& config)
    : directory_(directory) {
  const std::string config_file = directory + "/config.json";
  const std::string log_file = directory + "/log";
  const std::string relay_state = state_directory(directory);
  std::filesystem::create_directories(relay_state);
  write_file(config_file, config);
  write_file(log_file, "");
  pid_ = ::fork();
  if (pid_ < 0)
    throw std::system_error(errno, std::generic_category(), "cannot fork a process for the relay");
  if (pid_ == 0) execute_relay(program, config_file, relay_state, log_file);
  if (const int error = ::clock_getcpuclockid(pid_, &cpu_clock_); error != 0) {
    kill_and_reap();
    throw std::system_error(error, std::generic_category(),
                            "cannot get the processor time clock of the relay process");
  }
}

RelayProcess::~RelayProcess() {
  if (pid_ > 0) kill_and_reap();
}

void RelayProcess::kill_and_reap() {
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

bool RelayProcess::has_exited() {
  if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) pid_ = -1;
  return pid_ < 0;
}

double RelayProcess::cpu_time() const {
  timespec time{};
  ::clock_gettime(cpu_clock_, &time);
  return static_cast<double>(time.tv_sec) * kMicrosecondsPerSecond +
         static_cast<double>(time.tv_nsec) * kMicrosecondsPerNanosecond;
}

std::int64_t RelayProcess::memory_bytes(MemoryField field) const {
  std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
  const std::string prefix = status_field_prefix(field);
  for (std::string line; std::getline(in, line);)
    if (line.starts_with(prefix)) return kBytesPerKibibyte * std::atoll(line.c_str() + prefix.size());
  return 0;
}

std::string RelayProcess::log() const {
  std::ifstream in(directory_ + "/log");
  return {std::istreambuf_iterator<char>(in), {}};
}

}  // namespace scale_tool
