// Admission control: decides whether a message that a client submits is recorded or rejected.
//
// Invariant: at most one message per client id has a response that is still outstanding; clients that submit
// the same id in the meantime get the same response. Pending messages are not recorded in the journal yet:
// the next decision round takes them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "config.hpp"
#include "connection_message_counts.hpp"
#include "dispatch/admission_limits.hpp"
#include "endpoint_directory.hpp"
#include "event_queue.hpp"
#include "ingress_server.hpp"
#include "journal.hpp"
#include "message_registry.hpp"
#include "metrics.hpp"
#include "write_ahead.hpp"

namespace message_relay {

// A message that has passed the admission checks and waits for the next decision round.
struct PendingMessage {
  Message message;
  ResponseCallback respond;
};

class Admission {
 public:
  Admission(std::size_t max_open_messages, const Journal& journal, const WriteAheadQueue& write_ahead,
            MessageRegistry& registry, const EndpointDirectory& directory, Metrics& metrics,
            EventQueue& events, boost::asio::io_context& io);

  // Calls `respond` once: immediately if the message is rejected or already known, otherwise after the
  // records of the next decision round are committed to the journal. If that commit fails, the message is
  // rejected.
  void submit(Message message, ResponseCallback respond);

  // Returns the pending messages, in the order of their submission, and removes them.
  [[nodiscard]] std::vector<PendingMessage> take_pending();
  [[nodiscard]] bool has_pending() const { return !pending_.empty(); }
  // Why messages were rejected.
  [[nodiscard]] const CountingLog& rejections() const { return rejections_; }

 private:
  // `reason` is a string literal for the log and the metrics.
  void reject(const Message& message, const ResponseCallback& respond, const char* reason);
  // Returns the reason to reject the message for lack of capacity, a string literal, or nothing. The memory
  // of the message is reserved then.
  [[nodiscard]] std::optional<const char*> reserve_capacity(const Message& message);
  // The open messages, including the pending ones, as they concern a new message.
  [[nodiscard]] dispatch::OpenMessages open_messages(ConnectionId connection) const;
  // Wraps the callback so that clients that submit the same id until then get the same response.
  ResponseCallback share_response_with_duplicates(const std::string& id, ResponseCallback respond);

  std::size_t max_open_messages_;
  const Journal& journal_;
  const WriteAheadQueue& write_ahead_;
  MessageRegistry& registry_;
  const EndpointDirectory& directory_;
  Metrics& metrics_;
  EventQueue& events_;
  CountingLog rejections_;
  std::vector<PendingMessage> pending_;
  ConnectionMessageCounts pending_by_connection_;  // of pending_
  std::uint64_t pending_reserved_bytes_ = 0;       // that the journal will reserve for the pending messages
  // By client id of each message whose response is outstanding: the callbacks of its duplicate submissions.
  std::unordered_map<std::string, std::vector<ResponseCallback>> duplicates_;
};

}  // namespace message_relay
