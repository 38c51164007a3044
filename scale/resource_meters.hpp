// What a piece of work costs: processor time and memory. All times are in microseconds.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace scale_tool {

// Processor time of this thread: other work on the machine does not count.
[[nodiscard]] double thread_cpu_time();
// Processor time of this thread for one call.
[[nodiscard]] double cpu_time_of(const std::function<void()>& work);

// Memory that this thread has allocated by operator new, less what it freed: in bytes as the allocator rounds
// them, with its word of bookkeeping for each block. Memory that is taken by malloc itself is not in it.
struct Memory {
  std::int64_t bytes = 0;
  std::int64_t blocks = 0;
};
[[nodiscard]] Memory allocated();
// The most bytes since the last reset of the peak.
[[nodiscard]] std::int64_t peak_bytes();
void reset_peak();

// 0 of no values.
[[nodiscard]] double median(std::vector<double> values);
// The median of so many measurements.
[[nodiscard]] double median_of(std::int64_t repetitions, const std::function<double()>& measure);

// A temporary folder of its own, which is removed with this.
class ScratchFolder {
 public:
  // Throws std::system_error where it can't be made.
  ScratchFolder();
  ~ScratchFolder();
  ScratchFolder(const ScratchFolder&) = delete;
  ScratchFolder& operator=(const ScratchFolder&) = delete;

  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace scale_tool
