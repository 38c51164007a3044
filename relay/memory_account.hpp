// The account of the memory that peers make the process hold: clients' requests, messages and their ids,
// calls, endpoint lists, and what the allocator keeps beyond that.
//
// Invariant: the total never exceeds the capacity by more than what is owed, which means charged with
// charge(). If a charge does not fit, the holders that can give up memory are made to do so, the one with the
// most memory held for the longest time first.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "clock.hpp"

namespace message_relay {

// What memory is held for.
enum class MemoryUse {
  requests,       // of clients, while they are being read and answered
  messages,       // that are admitted and not completed, with the copies that a call needs
  completed_ids,  // that are remembered so that their messages are not delivered again
  calls,          // requests that are being written to endpoints, and their responses
  endpoint_list,  // lists that are being read, and the endpoints that are listed
  operators,      // their commands and the replies
  unattributed,   // the rest of the resident memory, for example what the allocator keeps
};
inline constexpr std::size_t kMemoryUseCount = static_cast<std::size_t>(MemoryUse::unattributed) + 1;

// The name of a use in metrics and in the log.
[[nodiscard]] std::string_view name_of(MemoryUse use);

// Something that can give up the memory that it holds.
class MemoryHolder {
 public:
  MemoryHolder() = default;
  MemoryHolder(const MemoryHolder&) = delete;
  MemoryHolder& operator=(const MemoryHolder&) = delete;
  virtual ~MemoryHolder() = default;

  // The bytes that give_up_memory() would release; 0 if none can be released now.
  [[nodiscard]] virtual std::size_t releasable_bytes() const = 0;
  // The steady time in microseconds since which the memory has been held.
  [[nodiscard]] virtual Time held_since() const = 0;
  // Releases the memory at once. The peer that has made the process hold it gets an error.
  virtual void give_up_memory() = 0;
};

class MemoryAccount {
 public:
  // Returns the resident memory of the process in bytes, or nothing if it is not known.
  using ResidentMeter = std::function<std::optional<std::size_t>()>;
  // Makes the allocator return free memory to the system.
  using Trim = std::function<void()>;

  // `capacity_bytes` is the limit of the total. With a meter, the resident memory that exceeds
  // `baseline_bytes` and the charged total counts as MemoryUse::unattributed.
  explicit MemoryAccount(std::size_t capacity_bytes, std::size_t baseline_bytes = 0,
                         ResidentMeter meter = nullptr, Trim trim = nullptr);
  ~MemoryAccount() = default;
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  // Charges the bytes if they fit, if necessary after other holders have given up memory. `requester`, which
  // may be null, is the holder on whose behalf the charge is made: the charge fails once it is the holder
  // that would have to give up memory next.
  [[nodiscard]] bool try_charge(MemoryUse use, std::size_t bytes, const MemoryHolder* requester = nullptr);
  // Charges bytes that are owed, also beyond the capacity.
  void charge(MemoryUse use, std::size_t bytes);
  void release(MemoryUse use, std::size_t bytes);

  // Whether a new message that takes this many bytes may be admitted. Messages and their ids together may
  // take a half of what endpoint lists leave of the capacity, and each message a fraction of what is left of
  // that: while memory is short, large messages are rejected first.
  [[nodiscard]] bool may_admit(std::size_t message_bytes) const;

  // Measures the resident memory, and trims the allocator if it keeps much. Called when much has been charged
  // since the last time, and to be called once in a while.
  void review();

  void add_holder(MemoryHolder& holder) { holders_.push_back(&holder); }
  // Does nothing if the holder is not there.
  void remove_holder(MemoryHolder& holder);

  [[nodiscard]] std::size_t capacity() const { return capacity_; }
  [[nodiscard]] std::size_t used() const;
  [[nodiscard]] std::size_t used(MemoryUse use) const { return used_[static_cast<std::size_t>(use)]; }
  [[nodiscard]] std::uint64_t evicted_holders() const { return evicted_holders_; }

 private:
  [[nodiscard]] bool fits(std::size_t bytes) const { return used() + bytes <= capacity_; }
  [[nodiscard]] MemoryHolder* next_to_evict() const;
  [[nodiscard]] std::optional<std::size_t> measure_unattributed() const;
  bool make_room(std::size_t bytes, const MemoryHolder* requester);
  void add(MemoryUse use, std::size_t bytes);

  std::size_t capacity_;
  std::size_t baseline_;  // resident memory of the program itself
  ResidentMeter meter_;
  Trim trim_;
  std::array<std::size_t, kMemoryUseCount> used_{};
  std::vector<MemoryHolder*> holders_;
  std::size_t charged_since_review_ = 0;
  Time last_trim_ = 0;  // steady time
  std::uint64_t evicted_holders_ = 0;
};

// The capacity and the uses as "name=bytes", each after a space.
[[nodiscard]] std::string describe(const MemoryAccount& account);

// One holder's part of the account, which is released with the object.
class MemoryCharge {
 public:
  MemoryCharge(MemoryAccount& account, MemoryUse use) : account_(&account), use_(use) {}
  ~MemoryCharge() { account_->release(use_, bytes_); }
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;
  MemoryCharge(MemoryCharge&& other) noexcept
      : account_(other.account_), use_(other.use_), bytes_(std::exchange(other.bytes_, 0)) {}
  MemoryCharge& operator=(MemoryCharge&& other) noexcept;

  [[nodiscard]] std::size_t bytes() const { return bytes_; }
  // Changes the charge to this many bytes. Returns false, and leaves it as it is, if more do not fit.
  [[nodiscard]] bool try_resize(std::size_t bytes, const MemoryHolder* requester = nullptr);
  // Changes the charge to this many bytes, which are owed.
  void resize(std::size_t bytes);

 private:
  MemoryAccount* account_;
  MemoryUse use_;
  std::size_t bytes_ = 0;
};

}  // namespace message_relay
