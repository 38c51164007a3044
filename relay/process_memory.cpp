#include "process_memory.hpp"

#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>

namespace message_relay {

namespace {

// Files may take this fraction, a quarter, of the memory.
constexpr std::uint64_t kFileDivisor = 4;
// The processes that an upgrade runs at a time.
constexpr std::uint64_t kProcesses = 2;
// The objects of a connection that is idle, in bytes.
constexpr std::size_t kDescriptorBytes = 1024;
// What the program takes if the system does not tell, in bytes.
constexpr std::size_t kAssumedBaseline = 5'000'000;
// The smallest capacity, with which a relay can still serve small messages.
constexpr std::size_t kMinCapacity = 1'000'000;

// Blocks of this size are returned to the system as soon as they are free. The allocator would raise the
// threshold by itself, and large blocks would then split the heap.
constexpr int kMmapThresholdBytes = 32 * 1024;
constexpr int kTrimThresholdBytes = 256 * 1024;

}  // namespace

std::optional<std::size_t> resident_bytes() {
#ifdef __SANITIZE_ADDRESS__
  return std::nullopt;
#else
  std::FILE* const file = std::fopen("/proc/self/statm", "r");
  if (file == nullptr) return std::nullopt;
  std::size_t virtual_pages = 0;
  std::size_t resident_pages = 0;
  const int fields = std::fscanf(file, "%zu %zu", &virtual_pages, &resident_pages);
  std::fclose(file);
  if (fields != 2) return std::nullopt;
  return resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
#endif
}

void configure_allocator() {
  ::mallopt(M_ARENA_MAX, 1);
  ::mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  ::mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
}

void trim_allocator() { ::malloc_trim(0); }

std::uint64_t file_budget(std::uint64_t memory_bytes, std::uint64_t disk_bytes) {
  return std::min(disk_bytes, memory_bytes / kFileDivisor);
}

std::size_t program_bytes() { return resident_bytes().value_or(kAssumedBaseline); }

std::size_t account_capacity(std::uint64_t memory_bytes, std::uint64_t disk_bytes, std::size_t descriptors,
                             std::size_t program_bytes) {
  const std::uint64_t share = (memory_bytes - file_budget(memory_bytes, disk_bytes)) / kProcesses;
  const std::uint64_t fixed = program_bytes + descriptors * kDescriptorBytes;
  return std::max(kMinCapacity, static_cast<std::size_t>(share - std::min(share, fixed)));
}

}  // namespace message_relay
