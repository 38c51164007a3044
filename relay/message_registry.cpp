#include "message_registry.hpp"

#include <algorithm>

namespace message_relay {

Completion completion_of(const FinalAnswer& answer) {
  return answer.retryable ? Completion::declined : Completion::aborted;
}

MessageRegistry::MessageRegistry(Journal& journal, Metrics& metrics, Time retention)
    : journal_(journal), metrics_(metrics), completed_ids_(retention) {}

void MessageRegistry::restore(MessageId next_id, const std::vector<CompletedId>& completed_ids) {
  next_id_ = next_id;
  completed_ids_.restore(completed_ids);
}

void MessageRegistry::index_journal() {
  for (const auto& [id, journaled] : journal_.messages()) {
    next_id_ = std::max(next_id_, id + 1);
    open_ids_[journaled.message.id] = id;
  }
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
  if (admission == AdmissionResult::accepted) completed_ids_.add(message.id, steady_now());
  open_ids_.erase(message.id);
  journal_.record_completed(id);
}

}  // namespace message_relay
