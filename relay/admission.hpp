// Admission control: whether a message that a client hands in is taken on.
//
// Invariant: of each client id one message at a time is undecided; whoever hands in the same id meanwhile
// gets the same response. Pending messages stand in no record yet: the next decision round takes them.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "config.hpp"
#include "endpoint_directory.hpp"
#include "event_queue.hpp"
#include "ingress_server.hpp"
#include "journal.hpp"
#include "message_registry.hpp"
#include "metrics.hpp"
#include "write_ahead.hpp"

namespace message_relay {

struct PendingMessage {
  Message message;
  ResponseCallback respond;
};

class Admission {
 public:
  Admission(std::size_t max_open_messages, const Journal& journal, const WriteAheadQueue& write_ahead,
            const MessageRegistry& registry, const EndpointDirectory& directory, Metrics& metrics,
            EventQueue& events);

  // Answers at once, or once the next decision round's records stand in the journal.
  void submit(Message message, ResponseCallback respond);

  [[nodiscard]] std::vector<PendingMessage> take_pending();
  [[nodiscard]] bool has_pending() const { return !pending_.empty(); }

 private:
  void reject(const std::string& message_class, const ResponseCallback& respond);
  [[nodiscard]] bool has_capacity_for(const Message& message) const;
  ResponseCallback respond_to_all(const std::string& id, ResponseCallback respond);

  std::size_t max_open_messages_;
  const Journal& journal_;
  const WriteAheadQueue& write_ahead_;
  const MessageRegistry& registry_;
  const EndpointDirectory& directory_;
  Metrics& metrics_;
  EventQueue& events_;
  std::vector<PendingMessage> pending_;
  std::uint64_t pending_bytes_ = 0;  // that the journal will reserve for them
  // By client id of an undecided message: the callbacks of those that handed it in once more.
  std::unordered_map<std::string, std::vector<ResponseCallback>> duplicates_;
};

}  // namespace message_relay
