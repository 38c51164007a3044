// What a piece of work costs: processor time, memory.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace scale_tool {

// Processor time of this thread, microseconds: other work on the machine does not count.
double thread_time();

// What this thread has allocated by operator new, less what it freed: bytes as the allocator rounds them,
// with its word of bookkeeping for each block. Memory that is taken by malloc itself is not in it.
struct Memory {
  std::int64_t bytes = 0, blocks = 0;
};
Memory allocated();
// The most bytes since the mark.
void mark_peak();
std::int64_t peak_bytes();

// Processor time of one call, microseconds.
double time_of(const std::function<void()>& work);
double median(std::vector<double> all);  // 0 of none
// Of so many results.
double median_of(std::int64_t repetitions, const std::function<double()>& measure);

// A folder of its own, gone with this.
class ScratchFolder {
 public:
  ScratchFolder();  // throws std::system_error
  ~ScratchFolder();
  ScratchFolder(const ScratchFolder&) = delete;
  ScratchFolder& operator=(const ScratchFolder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace scale_tool
