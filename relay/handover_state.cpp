#include "handover_state.hpp"

#include <optional>
#include <utility>

namespace message_relay {

namespace {

// Names the source of a malformed address in error messages.
const std::string kFieldPath = "handover";

BinaryWriter begin_record(HandoverRecordTag tag) {
  BinaryWriter record;
  record.number(tag);
  return record;
}

// Writes the number of elements that precedes the elements of a list.
template <class List>
void write_count(BinaryWriter& out, const List& list) {
  out.number(static_cast<std::uint32_t>(list.size()));
}

template <class ReadElement>
void read_list(BinaryReader& in, ReadElement read_element) {
  for (auto remaining = in.number<std::uint32_t>(); remaining > 0; remaining--) read_element();
}

void write_listed_endpoint(BinaryWriter& out, const ListedEndpoint& listed) {
  const dispatch::Endpoint& endpoint = listed.endpoint;
  out.text(endpoint.id)
      .number(endpoint.destination)
      .number(endpoint.zone)
      .number(endpoint.kind)
      .number(endpoint.status)
      .number(endpoint.weight)
      .number(endpoint.added_at)
      .text(format_address(listed.address));
}

ListedEndpoint read_listed_endpoint(BinaryReader& in) {
  ListedEndpoint listed;
  dispatch::Endpoint& endpoint = listed.endpoint;
  endpoint.id = in.text();
  endpoint.destination = in.number<std::int64_t>();
  endpoint.zone = in.number<int>();
  endpoint.kind = in.number<int>();
  endpoint.status = in.number<dispatch::EndpointStatus>();
  endpoint.weight = in.number<double>();
  endpoint.added_at = in.number<Time>();
  listed.address = read_address(in.text(), kFieldPath);
  return listed;
}

// Writes only the fields that are needed to complete a message in flight. The body is in the journal.
void write_message(BinaryWriter& out, const OutgoingMessage& message) {
  out.number(message.id).number(message.attempt).number(message.timeout).text(message.client_id);
}

OutgoingMessage read_message(BinaryReader& in) {
  OutgoingMessage message;
  message.id = in.number<MessageId>();
  message.attempt = in.number<int>();
  message.timeout = in.number<Time>();
  message.client_id = in.text();
  return message;
}

// Writes an outcome after the flag even where there is none, so that the field has a fixed size.
void write_provisional_outcome(BinaryWriter& out, const std::optional<Outcome>& provisional_outcome) {
  out.number(provisional_outcome.has_value()).number(provisional_outcome.value_or(Outcome::timeout));
}

std::optional<Outcome> read_provisional_outcome(BinaryReader& in) {
  const bool has_outcome = in.number<bool>();
  const auto outcome = in.number<Outcome>();
  return has_outcome ? std::optional(outcome) : std::nullopt;
}

std::string encode_state_record(const HandoverState& state, const std::vector<CompletedId>& completed_ids) {
  BinaryWriter record = begin_record(HandoverRecordTag::state);
  record.number(state.endpoint_list.version)
      .number(state.list_received)
      .number(state.paused)
      .number(state.next_message_id)
      .text(state.learned_state);
  write_count(record, state.endpoint_list.entries);
  for (const ListedEndpoint& listed : state.endpoint_list.entries) write_listed_endpoint(record, listed);
  write_count(record, state.ever_listed);
  for (const std::string& id : state.ever_listed) record.text(id);
  write_count(record, state.destinations);
  for (const std::int64_t destination : state.destinations) record.number(destination);
  write_count(record, completed_ids);
  for (const CompletedId& completed : completed_ids) record.number(completed.expires_at).text(completed.id);
  return record.payload();
}

}  // namespace

std::string encode_tag(HandoverRecordTag tag) { return begin_record(tag).payload(); }

HandoverRecordTag decode_tag(BinaryReader& in) { return in.number<HandoverRecordTag>(); }

std::string encode_state(const HandoverState& state) { return encode_state_record(state, {}); }

std::string encode_completed_ids(const HandoverState& state) {
  return encode_state_record({}, state.completed_ids);
}

void decode_state(BinaryReader& in, HandoverState& state) {
  state.endpoint_list.is_snapshot = true;
  state.endpoint_list.version = in.number<std::int64_t>();
  state.list_received = in.number<bool>();
  state.paused = in.number<bool>();
  state.next_message_id = in.number<MessageId>();
  state.learned_state = in.text();
  read_list(in, [&] { state.endpoint_list.entries.push_back(read_listed_endpoint(in)); });
  read_list(in, [&] { state.ever_listed.push_back(in.text()); });
  read_list(in, [&] { state.destinations.push_back(in.number<std::int64_t>()); });
  read_list(in, [&] {
    CompletedId completed;
    completed.expires_at = in.number<Time>();
    completed.id = in.text();
    state.completed_ids.push_back(std::move(completed));
  });
}

std::string encode_client(const ClientConnection& client) {
  const bool is_reading = !client.received_bytes.empty();
  BinaryWriter record =
      begin_record(is_reading ? HandoverRecordTag::reading_client : HandoverRecordTag::client);
  record.number(client.served_before).number(client.idle_since);
  if (is_reading) record.number(client.timeout_at).text(client.received_bytes);
  return record.payload();
}

ClientConnection decode_client(BinaryReader& in) {
  ClientConnection client;
  client.served_before = in.number<bool>();
  client.idle_since = in.number<Time>();
  return client;
}

ClientConnection decode_reading_client(BinaryReader& in) {
  ClientConnection client = decode_client(in);
  client.timeout_at = in.number<Time>();
  client.received_bytes = in.text();
  return client;
}

std::string encode_call(const InFlightCall& call) {
  BinaryWriter record = begin_record(HandoverRecordTag::call);
  record.text(call.endpoint)
      .text(format_address(call.address))
      .number(call.sent_at)
      .number(call.response_due)
      .text(call.response_bytes);
  write_count(record, call.messages);
  for (std::size_t i = 0; i < call.messages.size(); i++) {
    write_message(record, call.messages[i]);
    write_provisional_outcome(record, call.provisional_outcomes[i]);
  }
  return record.payload();
}

InFlightCall decode_call(BinaryReader& in) {
  InFlightCall call;
  call.endpoint = in.text();
  call.address = read_address(in.text(), kFieldPath);
  call.sent_at = in.number<Time>();
  call.response_due = in.number<Time>();
  call.response_bytes = in.text();
  read_list(in, [&] {
    call.messages.push_back(read_message(in));
    call.provisional_outcomes.push_back(read_provisional_outcome(in));
  });
  return call;
}

}  // namespace message_relay
