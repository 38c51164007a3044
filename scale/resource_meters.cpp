#include "resource_meters.hpp"

#include <malloc.h>
#include <stdlib.h>
#include <time.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <new>
#include <system_error>
#include <utility>

namespace {

// Of each thread by itself: threads that count together would slow one another down.
thread_local std::int64_t bytes_now = 0, blocks_now = 0, most_bytes = 0;

std::int64_t bytes_of(void* block) {
  return static_cast<std::int64_t>(::malloc_usable_size(block) + sizeof(std::size_t));
}
void* must(void* block) {
  if (block == nullptr) throw std::bad_alloc();
  return block;
}
void* counted(void* block) noexcept {
  if (block == nullptr) return block;
  bytes_now += bytes_of(block), blocks_now++;
  most_bytes = std::max(most_bytes, bytes_now);
  return block;
}
void release(void* block) noexcept {
  if (block == nullptr) return;
  bytes_now -= bytes_of(block), blocks_now--;
  std::free(block);
}
void* aligned(std::size_t size, std::align_val_t to) {
  const auto align = static_cast<std::size_t>(to);
  return std::aligned_alloc(align, (size + align - 1) / align * align);
}

}  // namespace

// Every form, so that no block of another allocator's comes to be freed here, nor one of these there.
void* operator new(std::size_t size) { return must(counted(std::malloc(size))); }
void* operator new[](std::size_t size) { return must(counted(std::malloc(size))); }
void* operator new(std::size_t size, const std::nothrow_t&) noexcept { return counted(std::malloc(size)); }
void* operator new[](std::size_t size, const std::nothrow_t&) noexcept { return counted(std::malloc(size)); }
void* operator new(std::size_t size, std::align_val_t to) { return must(counted(aligned(size, to))); }
void* operator new[](std::size_t size, std::align_val_t to) { return must(counted(aligned(size, to))); }
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

double thread_time() {
  timespec t{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) * 1e6 + static_cast<double>(t.tv_nsec) * 1e-3;
}

Memory allocated() { return {bytes_now, blocks_now}; }
void mark_peak() { most_bytes = bytes_now; }
std::int64_t peak_bytes() { return most_bytes; }

double time_of(const std::function<void()>& work) {
  const double begin = thread_time();
  work();
  return thread_time() - begin;
}

double median(std::vector<double> all) {
  if (all.empty()) return 0;
  std::sort(all.begin(), all.end());
  const auto half = all.size() / 2;
  return all.size() % 2 == 1 ? all[half] : (all[half - 1] + all[half]) / 2;
}

double median_of(std::int64_t repetitions, const std::function<double()>& measure) {
  std::vector<double> all;
  for (std::int64_t i = 0; i < repetitions; i++) all.push_back(measure());
  return median(std::move(all));
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
