#include "message_registry.hpp"

#include <algorithm>
#include <utility>

namespace message_relay {

namespace {

// The records of a message in the journal, the registry and the dispatcher, in bytes.
constexpr std::size_t kMessageOverheadBytes = 1536;
constexpr std::size_t kIdCopies = 4;
constexpr std::size_t kKeyCopies = 4;
// A call that carries several messages has the body in Base64, beside the body in the journal: 1 + 4/3.
constexpr std::size_t kBodyCopiesNumerator = 7;
constexpr std::size_t kBodyCopiesDenominator = 3;

}  // namespace

Completion completion_of(const FinalAnswer& answer) {
  return answer.retryable ? Completion::declined : Completion::aborted;
}

std::size_t memory_bytes(const Message& message) {
  const std::size_t names = message.message_class.size() + message.tenant.size();
  const std::size_t keys = message.idempotency_key.size() + message.order_key.size();
  return kMessageOverheadBytes + kIdCopies * message.id.size() + names + kKeyCopies * keys +
         message.body.size() * kBodyCopiesNumerator / kBodyCopiesDenominator;
}

MessageRegistry::MessageRegistry(Journal& journal, Metrics& metrics, MemoryAccount& memory, Time retention)
    : journal_(journal),
      metrics_(metrics),
      memory_(memory),
      completed_ids_memory_(memory, MemoryUse::completed_ids),
      completed_ids_(retention) {}

void MessageRegistry::restore(MessageId next_id, std::vector<CompletedId> completed_ids) {
  next_id_ = next_id;
  completed_ids_.restore(std::move(completed_ids));
  completed_ids_memory_.resize(completed_ids_.memory_bytes());
}

void MessageRegistry::index_journal() {
  for (const auto& [id, journaled] : journal_.messages()) {
    next_id_ = std::max(next_id_, id + 1);
    open_ids_[journaled.message.id] = id;
    memory_.charge(MemoryUse::messages, memory_bytes(journaled.message));
  }
}

bool MessageRegistry::reserve_memory(const Message& message) {
  remove_expired_ids();
  if (completed_ids_.size() + open_ids_.size() >= CompletedIds::kMaxIds) return false;
  const std::size_t bytes = memory_bytes(message);
  return memory_.may_admit(bytes + CompletedIds::memory_bytes(message.id)) &&
         memory_.try_charge(MemoryUse::messages, bytes);
}

void MessageRegistry::remove_expired_ids() {
  completed_ids_.remove_expired(steady_now());
  completed_ids_memory_.resize(completed_ids_.memory_bytes());
}

MessageId MessageRegistry::assign_id(const std::string& client_id) {
  const MessageId id = next_id_++;
  open_ids_[client_id] = id;
  return id;
}

bool MessageRegistry::is_known(const std::string& client_id) const {
  return open_ids_.contains(client_id) || completed_ids_.contains(client_id);
}

void MessageRegistry::complete(MessageId id, std::optional<Completion> completion,
                               AdmissionResult admission) {
  const auto entry = journal_.messages().find(id);
  if (entry == journal_.messages().end()) return;
  const Message& message = entry->second.message;
  if (completion) metrics_.count(message.message_class, *completion);
  memory_.release(MemoryUse::messages, memory_bytes(message));
  if (admission == AdmissionResult::accepted) completed_ids_.add(message.id, steady_now());
  completed_ids_memory_.resize(completed_ids_.memory_bytes());
  open_ids_.erase(message.id);
  journal_.record_completed(id);
}

}  // namespace message_relay
