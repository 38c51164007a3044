#include "resource_meters.hpp"

#include <malloc.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <new>
#include <system_error>
#include <utility>

#include "units.hpp"

namespace {

// Of each thread by itself: threads that count together would slow one another down.
struct AllocationCounters {
  std::int64_t bytes = 0;
  std::int64_t blocks = 0;
  std::int64_t peak_bytes = 0;
};
thread_local AllocationCounters counters;

std::int64_t block_bytes(void* block) {
  return static_cast<std::int64_t>(::malloc_usable_size(block) + sizeof(std::size_t));
}

void* throw_if_null(void* block) {
  if (block == nullptr) throw std::bad_alloc();
  return block;
}

void* count(void* block) noexcept {
  if (block == nullptr) return block;
  counters.bytes += block_bytes(block);
  counters.blocks++;
  counters.peak_bytes = std::max(counters.peak_bytes, counters.bytes);
  return block;
}

void release(void* block) noexcept {
  if (block == nullptr) return;
  counters.bytes -= block_bytes(block);
  counters.blocks--;
  std::free(block);
}

void* allocate(std::size_t size) noexcept { return count(std::malloc(size)); }

void* allocate_aligned(std::size_t size, std::align_val_t alignment) noexcept {
  const auto step = static_cast<std::size_t>(alignment);
  const std::size_t rounded_size = (size + step - 1) / step * step;
  return count(std::aligned_alloc(step, rounded_size));
}

}  // namespace

// Every form is replaced, so that no block of another allocator comes to be freed here, nor one of these
// there.
void* operator new(std::size_t size) { return throw_if_null(allocate(size)); }
void* operator new[](std::size_t size) { return throw_if_null(allocate(size)); }
void* operator new(std::size_t size, const std::nothrow_t&) noexcept { return allocate(size); }
void* operator new[](std::size_t size, const std::nothrow_t&) noexcept { return allocate(size); }
void* operator new(std::size_t size, std::align_val_t alignment) {
  return throw_if_null(allocate_aligned(size, alignment));
}
void* operator new[](std::size_t size, std::align_val_t alignment) {
  return throw_if_null(allocate_aligned(size, alignment));
}
void operator delete(void* block) noexcept { release(block); }
void operator delete[](void* block) noexcept { release(block); }
void operator delete(void* block, std::size_t) noexcept { release(block); }
void operator delete[](void* block, std::size_t) noexcept { release(block); }
void operator delete(void* block, const std::nothrow_t&) noexcept { release(block); }
void operator delete[](void* block, const std::nothrow_t&) noexcept { release(block); }
void operator delete(void* block, std::align_val_t) noexcept { release(block); }
void operator delete[](void* block, std::align_val_t) noexcept { release(block); }
void operator delete(void* block, std::size_t, std::align_val_t) noexcept { release(block); }
void operator delete[](void* block, std::size_t, std::align_val_t) noexcept { release(block); }

namespace scale_tool {

double thread_cpu_time() {
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * kMicrosecondsPerSecond +
         static_cast<double>(time.tv_nsec) * kMicrosecondsPerNanosecond;
}

double cpu_time_of(const std::function<void()>& work) {
  const double before = thread_cpu_time();
  work();
  return thread_cpu_time() - before;
}

Memory allocated() { return {.bytes = counters.bytes, .blocks = counters.blocks}; }

std::int64_t peak_bytes() { return counters.peak_bytes; }

void reset_peak() { counters.peak_bytes = counters.bytes; }

double median(std::vector<double> values) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto half = values.size() / 2;
  return values.size() % 2 == 1 ? values[half] : (values[half - 1] + values[half]) / 2;
}

double median_of(std::int64_t repetitions, const std::function<double()>& measure) {
  std::vector<double> values;
  for (std::int64_t i = 0; i < repetitions; i++) values.push_back(measure());
  return median(std::move(values));
}

ScratchFolder::ScratchFolder()
    : path_((std::filesystem::temp_directory_path() / "scale-tool-XXXXXX").string()) {
  if (::mkdtemp(path_.data()) == nullptr) throw std::system_error(errno, std::generic_category(), path_);
}

ScratchFolder::~ScratchFolder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

}  // namespace scale_tool
