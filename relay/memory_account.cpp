#include "memory_account.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace message_relay {

namespace {

// Resident memory is measured after this many bytes have been charged.
constexpr std::size_t kReviewIntervalBytes = std::size_t{1} << 20;
// The allocator is trimmed when more than this is not attributed.
constexpr std::size_t kTrimThresholdBytes = std::size_t{1} << 20;
// Shortest time between two trims in microseconds. A trim walks the whole heap.
constexpr Time kMinTrimInterval = 50'000;
constexpr Time kMinTrimIntervalOverCapacity = 5'000;
// Messages and ids may take one half of what endpoint lists leave. The rest is for requests and calls.
constexpr std::size_t kOwedDivisor = 2;
// One message may take this fraction, an eighth, of what is left for messages.
constexpr std::size_t kMessageDivisor = 8;

}  // namespace

std::string_view name_of(MemoryUse use) {
  constexpr std::array<std::string_view, kMemoryUseCount> names{
      "requests", "messages", "completed_ids", "calls", "endpoint_list", "operators", "unattributed"};
  return names.at(static_cast<std::size_t>(use));
}

MemoryAccount::MemoryAccount(std::size_t capacity_bytes, std::size_t baseline_bytes, ResidentMeter meter,
                             Trim trim)
    : capacity_(capacity_bytes),
      baseline_(baseline_bytes),
      meter_(std::move(meter)),
      trim_(std::move(trim)) {}

std::size_t MemoryAccount::used() const {
  return std::accumulate(used_.begin(), used_.end(), std::size_t{0});
}

void MemoryAccount::add(MemoryUse use, std::size_t bytes) {
  used_[static_cast<std::size_t>(use)] += bytes;
  charged_since_review_ += bytes;
  if (charged_since_review_ >= kReviewIntervalBytes) review();
}

bool MemoryAccount::try_charge(MemoryUse use, std::size_t bytes, const MemoryHolder* requester) {
  if (!fits(bytes) && !make_room(bytes, requester)) return false;
  add(use, bytes);
  return true;
}

void MemoryAccount::charge(MemoryUse use, std::size_t bytes) {
  if (!fits(bytes)) make_room(bytes, nullptr);
  add(use, bytes);
}

void MemoryAccount::remove_holder(MemoryHolder& holder) { std::erase(holders_, &holder); }

void MemoryAccount::release(MemoryUse use, std::size_t bytes) {
  used_[static_cast<std::size_t>(use)] -= bytes;
}

bool MemoryAccount::may_admit(std::size_t message_bytes) const {
  const std::size_t limit = (capacity_ - std::min(capacity_, used(MemoryUse::endpoint_list))) / kOwedDivisor;
  const std::size_t owed = used(MemoryUse::messages) + used(MemoryUse::completed_ids);
  return owed < limit && message_bytes <= (limit - owed) / kMessageDivisor;
}

bool MemoryAccount::make_room(std::size_t bytes, const MemoryHolder* requester) {
  while (!fits(bytes)) {
    MemoryHolder* const holder = next_to_evict();
    if (holder == nullptr) break;
    if (holder == requester) return false;
    evicted_holders_++;
    const std::size_t used_before = used();
    holder->give_up_memory();
    if (used() >= used_before) break;  // Guards against a holder that releases nothing.
  }
  return fits(bytes);
}

// The product of bytes and time is the largest for large requests that make no progress.
MemoryHolder* MemoryAccount::next_to_evict() const {
  const Time now = steady_now();
  MemoryHolder* next = nullptr;
  double highest = 0;
  for (MemoryHolder* const holder : holders_) {
    const std::size_t bytes = holder->releasable_bytes();
    if (bytes == 0) continue;
    const Time held_for = std::max<Time>(now - holder->held_since(), 0) + 1;
    const double rank = static_cast<double>(bytes) * static_cast<double>(held_for);
    if (rank <= highest) continue;
    highest = rank;
    next = holder;
  }
  return next;
}

std::optional<std::size_t> MemoryAccount::measure_unattributed() const {
  const auto resident = meter_ ? meter_() : std::nullopt;
  if (!resident) return std::nullopt;
  const std::size_t attributed = baseline_ + used() - used(MemoryUse::unattributed);
  return *resident - std::min(*resident, attributed);
}

// What the allocator keeps free serves the next charges, so only what is left after a trim is counted.
void MemoryAccount::review() {
  charged_since_review_ = 0;
  const auto measured = measure_unattributed();
  if (!measured) return;
  std::size_t& unattributed = used_[static_cast<std::size_t>(MemoryUse::unattributed)];
  const bool over_capacity = used() - unattributed + *measured > capacity_;
  const Time interval = over_capacity ? kMinTrimIntervalOverCapacity : kMinTrimInterval;
  const Time now = steady_now();
  if (*measured <= kTrimThresholdBytes || !trim_ || now < last_trim_ + interval) {
    unattributed = std::min(unattributed, *measured);
    return;
  }
  last_trim_ = now;
  trim_();
  unattributed = measure_unattributed().value_or(*measured);
}

std::string describe(const MemoryAccount& account) {
  std::string text = " capacity=" + std::to_string(account.capacity());
  for (std::size_t i = 0; i < kMemoryUseCount; i++) {
    const auto use = static_cast<MemoryUse>(i);
    text.append(" ").append(name_of(use)).append("=").append(std::to_string(account.used(use)));
  }
  return text;
}

MemoryCharge& MemoryCharge::operator=(MemoryCharge&& other) noexcept {
  if (this == &other) return *this;
  account_->release(use_, bytes_);
  account_ = other.account_;
  use_ = other.use_;
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

bool MemoryCharge::try_resize(std::size_t bytes, const MemoryHolder* requester) {
  if (bytes > bytes_ && !account_->try_charge(use_, bytes - bytes_, requester)) return false;
  if (bytes < bytes_) account_->release(use_, bytes_ - bytes);
  bytes_ = bytes;
  return true;
}

void MemoryCharge::resize(std::size_t bytes) {
  if (bytes > bytes_) account_->charge(use_, bytes - bytes_);
  if (bytes < bytes_) account_->release(use_, bytes_ - bytes);
  bytes_ = bytes;
}

}  // namespace message_relay
