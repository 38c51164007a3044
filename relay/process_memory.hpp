// The memory of this process as the system sees it, the settings of the allocator, and the share of the
// memory limit that the process may fill.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

namespace message_relay {

// The resident memory of the process in bytes. Returns nothing if the system does not tell, and under
// sanitizers, which keep memory of their own.
[[nodiscard]] std::optional<std::size_t> resident_bytes();

// The resident memory of the process, or what it is assumed to be if the system does not tell.
[[nodiscard]] std::size_t program_bytes();

// Makes the allocator return free memory to the system soon. To be called once, before memory is allocated.
void configure_allocator();
// Makes the allocator return all free pages to the system.
void trim_allocator();

// The size in bytes that the files of the state folder may have, as memory includes them.
[[nodiscard]] std::uint64_t file_budget(std::uint64_t memory_bytes, std::uint64_t disk_bytes);

// The capacity in bytes of the process's memory account: a half of what the files leave, since the two
// processes of an upgrade share the limit, less what the program itself takes and what each descriptor takes.
[[nodiscard]] std::size_t account_capacity(std::uint64_t memory_bytes, std::uint64_t disk_bytes,
                                           std::size_t descriptors, std::size_t program_bytes);

}  // namespace message_relay
