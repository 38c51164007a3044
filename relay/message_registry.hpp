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
#include "metrics.hpp"

namespace message_relay {

// What the client is told, or has been told, about the admission of its message.
enum class AdmissionResult { accepted, rejected };

// The completion that metrics count for a message with this final answer.
[[nodiscard]] Completion completion_of(const FinalAnswer& answer);

class MessageRegistry {
 public:
  // Client ids of completed messages are kept for `retention` microseconds, so that a message that its client
  // submits again is not delivered again.
  MessageRegistry(Journal& journal, Metrics& metrics, Time retention);

  // Restores what another process handed over in addition to the journal.
  void restore(MessageId next_id, const std::vector<CompletedId>& completed_ids);
  // Indexes the messages in the journal by client id, and assigns ids above theirs from now on.
  void index_journal();

  // Assigns the next message id. The caller must then record the message in the journal.
  [[nodiscard]] MessageId assign_id(const std::string& client_id);

  // Whether a message with this client id is open or is remembered as completed.
  [[nodiscard]] bool is_known(const std::string& client_id) const;

  // Completes a message: counts it, records its completion and, if its client was told that it is accepted,
  // remembers its client id. `completion` is empty if the message is settled although this relay did not
  // deliver it; it is then not counted. Does nothing for a message that is not in the journal.
  void complete(MessageId id, std::optional<Completion> completion, AdmissionResult admission);

  [[nodiscard]] MessageId next_id() const { return next_id_; }
  [[nodiscard]] const CompletedIds& completed_ids() const { return completed_ids_; }

 private:
  Journal& journal_;
  Metrics& metrics_;
  std::unordered_map<std::string, MessageId> open_ids_;  // by client id
  CompletedIds completed_ids_;                           // of accepted messages
  MessageId next_id_ = 1;
};

}  // namespace message_relay
