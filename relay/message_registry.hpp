// The registry of messages: which ids are in use, and the only place that completes a message.
//
// Invariant: each message in the journal can be looked up by its client id, and each completion is counted
// once and recorded once.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "completed_ids.hpp"
#include "journal.hpp"
#include "memory_account.hpp"
#include "metrics.hpp"

namespace message_relay {

// What the client is told, or has been told, about the admission of its message.
enum class AdmissionResult { accepted, rejected };

// The completion that metrics count for a message with this final answer.
[[nodiscard]] Completion completion_of(const FinalAnswer& answer);

// The memory in bytes that a message takes from its admission until it is completed: the message itself, its
// records, and the copies of its body in a call.
[[nodiscard]] std::size_t memory_bytes(const Message& message);

class MessageRegistry {
 public:
  // Client ids of completed messages are kept for `retention` microseconds, so that a message that its client
  // submits again is not delivered again.
  MessageRegistry(Journal& journal, Metrics& metrics, MemoryAccount& memory, Time retention);

  // Restores what another process handed over in addition to the journal.
  void restore(MessageId next_id, std::vector<CompletedId> completed_ids);
  // Indexes the messages in the journal by client id, and assigns ids above theirs from now on. Charges their
  // memory, which is owed.
  void index_journal();

  // Assigns the next message id. The caller must then record the message in the journal.
  [[nodiscard]] MessageId assign_id(const std::string& client_id);

  // Charges the memory of a message that is to be admitted. Returns false if it must be rejected: the memory
  // of the message and, later, of its id may not be available, or completed ids would have to be forgotten
  // before they expire. complete() releases the memory.
  [[nodiscard]] bool reserve_memory(const Message& message);
  // Forgets the completed ids that have expired.
  void remove_expired_ids();

  // Whether a message with this client id is open or is remembered as completed.
  [[nodiscard]] bool is_known(const std::string& client_id) const;

  // Completes a message: counts it, records its completion and, if its client was told that it is accepted,
  // remembers its client id. `completion` is empty if the message is settled although this relay did not
  // deliver it; it is then not counted. Does nothing for a message that is not in the journal.
  void complete(MessageId id, std::optional<Completion> completion, AdmissionResult admission);

  [[nodiscard]] MessageId next_id() const { return next_id_; }
  // Returns the completed ids for a handover, and forgets them: the process ends after it. restore() undoes
  // this.
  [[nodiscard]] std::vector<CompletedId> take_completed_ids() { return completed_ids_.take(); }

 private:
  Journal& journal_;
  Metrics& metrics_;
  MemoryAccount& memory_;
  MemoryCharge completed_ids_memory_;
  std::unordered_map<std::string, MessageId> open_ids_;  // by client id
  CompletedIds completed_ids_;                           // of accepted messages
  MessageId next_id_ = 1;
};

}  // namespace message_relay
