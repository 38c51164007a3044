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

// Each thread has its own counters: shared counters would slow the threads down by contention.
struct AllocationCounters {
  std::int64_t bytes = 0;
  std::int64_t blocks = 0;
  std::int64_t peak_bytes = 0;
};
thread_local AllocationCounters allocation_counters;

// Usable size of a block plus the allocator's word of overhead.
std::int64_t block_bytes(void* block) {
  return static_cast<std::int64_t>(::malloc_usable_size(block) + sizeof(std::size_t));
}

void* throw_if_null(void* block) {
  if (block == nullptr) throw std::bad_alloc();
  return block;
}

void* record_allocation(void* block) noexcept {
  if (block == nullptr) return block;
  allocation_counters.bytes += block_bytes(block);
  allocation_counters.blocks++;
  allocation_counters.peak_bytes = std::max(allocation_counters.peak_bytes, allocation_counters.bytes);
  return block;
}

void deallocate(void* block) noexcept {
  if (block == nullptr) return;
  allocation_counters.bytes -= block_bytes(block);
  allocation_counters.blocks--;
  std::free(block);
}

void* allocate(std::size_t size) noexcept { return record_allocation(std::malloc(size)); }

void* allocate_aligned(std::size_t size, std::align_val_t alignment) noexcept {
  const auto alignment_bytes = static_cast<std::size_t>(alignment);
  const std::size_t rounded_size = (size + alignment_bytes - 1) / alignment_bytes * alignment_bytes;
  return record_allocation(std::aligned_alloc(alignment_bytes, rounded_size));
}

}  // namespace

// Every form of operator new and delete is replaced, so that a block is always freed by the allocator that
// allocated it.
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
void operator delete(void* block) noexcept { deallocate(block); }
void operator delete[](void* block) noexcept { deallocate(block); }
void operator delete(void* block, std::size_t) noexcept { deallocate(block); }
void operator delete[](void* block, std::size_t) noexcept { deallocate(block); }
void operator delete(void* block, const std::nothrow_t&) noexcept { deallocate(block); }
void operator delete[](void* block, const std::nothrow_t&) noexcept { deallocate(block); }
void operator delete(void* block, std::align_val_t) noexcept { deallocate(block); }
void operator delete[](void* block, std::align_val_t) noexcept { deallocate(block); }
void operator delete(void* block, std::size_t, std::align_val_t) noexcept { deallocate(block); }
void operator delete[](void* block, std::size_t, std::align_val_t) noexcept { deallocate(block); }

namespace scale_tool {

double thread_cpu_time() {
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * kMicrosecondsPerSecond +
         static_cast<double>(time.tv_nsec) * kMicrosecondsPerNanosecond;
}

double cpu_time_of(const std::function<void()>& work) {
  const double start_time = thread_cpu_time();
  work();
  return thread_cpu_time() - start_time;
}

AllocatedMemory allocated_memory() {
  return {.bytes = allocation_counters.bytes, .blocks = allocation_counters.blocks};
}

std::int64_t peak_allocated_bytes() { return allocation_counters.peak_bytes; }

void reset_peak_allocated_bytes() { allocation_counters.peak_bytes = allocation_counters.bytes; }

double median(std::vector<double> values) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto middle = values.size() / 2;
  return values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
}

double median_of(std::int64_t repetitions, const std::function<double()>& measure) {
  std::vector<double> values;
  for (std::int64_t i = 0; i < repetitions; i++) values.push_back(measure());
  return median(std::move(values));
}

TemporaryDirectory::TemporaryDirectory()
    : path_((std::filesystem::temp_directory_path() / "scale-tool-XXXXXX").string()) {
  if (::mkdtemp(path_.data()) == nullptr) throw std::system_error(errno, std::generic_category(), path_);
}

TemporaryDirectory::~TemporaryDirectory() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

}  // namespace scale_tool
