// Meters for processor time and allocated memory, the median of measurements, and a temporary directory for
// them. All times are in microseconds.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace scale_tool {

// Processor time of the calling thread, user and system. Other load on the machine is not included.
[[nodiscard]] double thread_cpu_time();
// Runs `work` once and returns the processor time that the calling thread spent in it.
[[nodiscard]] double cpu_time_of(const std::function<void()>& work);

// Memory that the calling thread has allocated through operator new, minus what it has freed. The bytes are
// the usable sizes of the blocks, as rounded up by the allocator, plus one word of allocator overhead for
// each block. Memory from direct calls of malloc is not included.
struct AllocatedMemory {
  std::int64_t bytes = 0;
  std::int64_t blocks = 0;
};
[[nodiscard]] AllocatedMemory allocated_memory();
// The highest value of AllocatedMemory::bytes on the calling thread since the last reset of the peak.
[[nodiscard]] std::int64_t peak_allocated_bytes();
void reset_peak_allocated_bytes();

// Returns 0 if there are no values.
[[nodiscard]] double median(std::vector<double> values);
// Calls `measure` this many times and returns the median of its results.
[[nodiscard]] double median_of(std::int64_t repetitions, const std::function<double()>& measure);

// A new temporary directory, which the destructor removes with its contents.
class TemporaryDirectory {
 public:
  // Throws std::system_error if the directory can't be created.
  TemporaryDirectory();
  ~TemporaryDirectory();
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace scale_tool
