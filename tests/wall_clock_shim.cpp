// A library for LD_PRELOAD that steps the wall clock of a process: adds the seconds in the file that
// WALL_CLOCK_STEP_FILE names to every reading of CLOCK_REALTIME. The other clocks run on.
#include <dlfcn.h>

#include <cstdio>
#include <cstdlib>
#include <ctime>

// The names in the system's header are reserved.
// NOLINTNEXTLINE(readability-inconsistent-declaration-parameter-name)
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  using ClockGettime = int (*)(clockid_t, timespec*);
  static const auto kSystemFunction = reinterpret_cast<ClockGettime>(::dlsym(RTLD_NEXT, "clock_gettime"));
  const int result = kSystemFunction(clock, time);
  const char* const path = std::getenv("WALL_CLOCK_STEP_FILE");
  if (result != 0 || clock != CLOCK_REALTIME || path == nullptr) return result;
  if (std::FILE* const file = std::fopen(path, "r")) {
    long step = 0;
    if (std::fscanf(file, "%ld", &step) == 1) time->tv_sec += step;
    std::fclose(file);
  }
  return result;
}
