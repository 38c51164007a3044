#include "admission.hpp"

#include <algorithm>
#include <utility>

#include "client_responses.hpp"

namespace message_relay {

namespace {

// Returns the reason, a string literal, or nothing if the message is admitted.
std::optional<const char*> rejection_reason(dispatch::AdmissionDecision decision) {
  switch (decision) {
    case dispatch::AdmissionDecision::limit_reached:
      return "too many open messages";
    case dispatch::AdmissionDecision::pipelined_limit_reached:
      return "too many open messages for a pipelined one";
    case dispatch::AdmissionDecision::connection_share_reached:
      return "too many open messages of the connection";
    case dispatch::AdmissionDecision::admit:
      break;
  }
  return std::nullopt;
}

}  // namespace

Admission::Admission(std::size_t max_open_messages, const Journal& journal,
                     const WriteAheadQueue& write_ahead, MessageRegistry& registry,
                     const EndpointDirectory& directory, Metrics& metrics, EventQueue& events,
                     boost::asio::io_context& io)
    : max_open_messages_(max_open_messages),
      journal_(journal),
      write_ahead_(write_ahead),
      registry_(registry),
      directory_(directory),
      metrics_(metrics),
      events_(events),
      rejections_(io, "messages: rejected") {}

void Admission::submit(Message message, ResponseCallback respond) {
  if (const auto original = duplicates_.find(message.id); original != duplicates_.end()) {
    original->second.push_back(std::move(respond));
    return;
  }
  // The client submits the message again on a new connection because the response was lost. A message that
  // has been completed since then must not be delivered again either.
  if (registry_.is_known(message.id)) {
    respond(kAccepted);
    return;
  }
  if (!directory_.knows_destination(message.destination)) {
    // Until discovery has sent a list, the relay cannot tell whether the destination exists.
    if (directory_.list_received())
      respond(kUnknownDestination);
    else
      reject(message, respond, "no endpoint list yet");
    return;
  }
  if (const auto reason = reserve_capacity(message)) {
    reject(message, respond, *reason);
    return;
  }
  respond = share_response_with_duplicates(message.id, std::move(respond));
  pending_reserved_bytes_ += Journal::reserved_bytes(message);
  pending_by_connection_.add(message.connection);
  pending_.push_back({std::move(message), std::move(respond)});
  events_.request_round();
}

std::vector<PendingMessage> Admission::take_pending() {
  pending_reserved_bytes_ = 0;
  pending_by_connection_ = {};
  return std::exchange(pending_, {});
}

void Admission::reject(const Message& message, const ResponseCallback& respond, const char* reason) {
  rejections_.count(reason);
  metrics_.count(message.message_class, Completion::declined);
  respond(kTemporarilyRejected);
}

std::optional<const char*> Admission::reserve_capacity(const Message& message) {
  const auto submission = message.pipelined ? dispatch::Submission::pipelined : dispatch::Submission::single;
  const auto decision = dispatch::decide_admission(open_messages(message.connection), submission);
  if (const auto reason = rejection_reason(decision)) return reason;
  if (!write_ahead_.journal_writable()) return "journal not writable";
  if (!journal_.has_capacity_for(message, pending_reserved_bytes_)) return "journal full";
  if (!registry_.reserve_memory(message)) return "no memory for the message";
  return std::nullopt;
}

// A connection with pending and recorded messages is not counted twice.
dispatch::OpenMessages Admission::open_messages(ConnectionId connection) const {
  const ConnectionMessageCounts& recorded = journal_.unanswered_by_connection();
  return {.limit = max_open_messages_,
          .total = pending_.size() + journal_.unanswered_count(),
          .of_connection = recorded.of(connection) + pending_by_connection_.of(connection),
          .connections = std::max(recorded.connections(), pending_by_connection_.connections())};
}

ResponseCallback Admission::share_response_with_duplicates(const std::string& id, ResponseCallback respond) {
  duplicates_[id];
  return [this, id, respond = std::move(respond)](const ClientResponse& response) {
    respond(response);
    const auto duplicates = duplicates_.extract(id);
    for (const auto& respond_to_duplicate : duplicates.mapped()) respond_to_duplicate(response);
  };
}

}  // namespace message_relay
