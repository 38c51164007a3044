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

// Exit statuses of a shell for the same failures.
constexpr int kCannotExecute = 126;
constexpr int kNotFound = 127;
constexpr std::int64_t kBytesPerKilobyte = 1024;

// Replaces what the file holds.
void write_file(const std::string& path, const std::string& content) {
  std::ofstream file(path, std::ios::trunc);
  file << content;
}

// In the child process: becomes the program.
[[noreturn]] void execute(const std::string& program, const std::string& config_file,
                          const std::string& state_folder, const std::string& log_file) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // the relay never outlives the tool, however that ends
  const bool has_output = std::freopen("/dev/null", "w", stdout) != nullptr &&
                          std::freopen(log_file.c_str(), "a", stderr) != nullptr;
  if (!has_output) ::_exit(kCannotExecute);
  if (::setenv("LB_CONFIG", config_file.c_str(), 1) != 0) ::_exit(kCannotExecute);
  if (::setenv("LB_STATE", state_folder.c_str(), 1) != 0) ::_exit(kCannotExecute);
  ::execl(program.c_str(), program.c_str(), static_cast<char*>(nullptr));
  ::_exit(kNotFound);
}

std::string name_of(MemoryField field) { return field == MemoryField::resident ? "VmRSS:" : "VmHWM:"; }

}  // namespace

RelayProcess::RelayProcess(const std::string& program, const std::string& folder, const std::string& config)
    : folder_(folder) {
  const std::string config_file = folder + "/config.json";
  const std::string log_file = folder + "/log";
  const std::string state = state_folder(folder);
  std::filesystem::create_directories(state);
  write_file(config_file, config);
  write_file(log_file, "");
  pid_ = ::fork();
  if (pid_ < 0) throw std::system_error(errno, std::generic_category(), "fork");
  if (pid_ == 0) execute(program, config_file, state, log_file);
  if (const int error = ::clock_getcpuclockid(pid_, &cpu_clock_); error != 0) {
    kill();
    throw std::system_error(error, std::generic_category(), "clock of a process");
  }
}

RelayProcess::~RelayProcess() {
  if (pid_ > 0) kill();
}

void RelayProcess::kill() {
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

bool RelayProcess::has_ended() {
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
  const std::string prefix = name_of(field);
  for (std::string line; std::getline(in, line);)
    if (line.starts_with(prefix)) return kBytesPerKilobyte * std::atoll(line.c_str() + prefix.size());
  return 0;
}

std::string RelayProcess::log() const {
  std::ifstream in(folder_ + "/log");
  return {std::istreambuf_iterator<char>(in), {}};
}

}  // namespace scale_tool
