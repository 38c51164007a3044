// The state that a process hands over besides the journal, and its binary encoding.
//
// Different builds exchange this encoding: tags, the order of fields and their sizes must not change.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "binary_format.hpp"
#include "clock.hpp"
#include "completed_ids.hpp"
#include "delivery_client.hpp"
#include "endpoint_list.hpp"
#include "ingress_server.hpp"

namespace message_relay {

// The descriptors are valid in the process that holds this state. The state does not own them.
struct HandoverState {
  EndpointList endpoint_list;  // current list of endpoints, with its version
  bool list_received = false;  // whether this process or a predecessor has received a list from discovery
  bool paused = false;         // whether operators have paused the relay
  // Id of the next message. Calls in flight may carry a smaller id whose message has already completed.
  MessageId next_message_id = 1;
  std::string learned_state;               // the dispatcher's learned state
  std::vector<std::string> ever_listed;    // ids of all endpoints that any list has named
  std::vector<std::int64_t> destinations;  // all destinations that any list has named
  std::vector<CompletedId> completed_ids;
  std::vector<ClientConnection> clients;
  std::vector<InFlightCall> calls;
  int listener = -1;  // the listening socket for clients; -1: not set
};

// The first byte of each record. All records except `state` and `end` carry a descriptor.
enum class HandoverRecordTag : char {
  state = 'S',
  folder_lock = 'K',
  listener = 'L',
  client = 'C',
  reading_client = 'R',  // a client connection with a part of a request; earlier builds do not know it
  call = 'O',
  end = 'E',
};

// Each of these functions encodes one record, including its tag.
[[nodiscard]] std::string encode_tag(HandoverRecordTag tag);
// The state without the completed ids.
[[nodiscard]] std::string encode_state(const HandoverState& state);
// The same kind of record, with the completed ids and otherwise empty.
[[nodiscard]] std::string encode_completed_ids(const HandoverState& state);
[[nodiscard]] std::string encode_client(const ClientConnection& client);
[[nodiscard]] std::string encode_call(const InFlightCall& call);

// decode_tag() reads the tag of a record; the other functions read the fields after the tag. The caller
// assigns the descriptors. All throw std::runtime_error if the record is too short and
// configuration::FieldError if an address is malformed.
[[nodiscard]] HandoverRecordTag decode_tag(BinaryReader& in);
void decode_state(BinaryReader& in, HandoverState& state);
[[nodiscard]] ClientConnection decode_client(BinaryReader& in);
[[nodiscard]] ClientConnection decode_reading_client(BinaryReader& in);
[[nodiscard]] InFlightCall decode_call(BinaryReader& in);

}  // namespace message_relay
