// The identity of messages: which ids are in use, and the one point at which a message completes.
//
// Invariant: each message in the journal is found by its client's id, and each completion is counted once and
// recorded once.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "completed_ids.hpp"
#include "journal.hpp"
#include "metrics.hpp"

namespace message_relay {

// Whether the client has been, or will be, told that the relay took the message on.
enum class ClientView { accepted, rejected };

// How a message with this final answer is counted.
[[nodiscard]] Completion completion_of(const FinalAnswer& answer);

class MessageRegistry {
 public:
  // Ids of completed messages are remembered for `retention`, so that resubmissions are not sent again.
  MessageRegistry(Journal& journal, Metrics& metrics, Time retention);

  // What another process handed over, besides its journal.
  void restore(MessageId next_id, const std::vector<CompletedId>& completed_ids);
  // Takes in the messages that the journal holds.
  void index_journal();

  // Gives a message its number. Its record follows, by the caller.
  [[nodiscard]] MessageId assign_id(const std::string& client_id);

  // Whether the relay has the message, or had it and remembers its completion.
  [[nodiscard]] bool is_known(const std::string& client_id) const;

  // Ends a message of the journal; of others nothing is done. It is not counted where it completed without
  // this relay (`completion` is empty).
  void complete(MessageId id, std::optional<Completion> completion, ClientView view);

  [[nodiscard]] MessageId next_id() const { return next_id_; }
  [[nodiscard]] const CompletedIds& completed_ids() const { return completed_ids_; }

 private:
  Journal& journal_;
  Metrics& metrics_;
  std::unordered_map<std::string, MessageId> open_ids_;  // by the client's id
  CompletedIds completed_ids_;                           // accepted and completed
  MessageId next_id_ = 1;
};

}  // namespace message_relay
