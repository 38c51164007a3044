// What passes from one process to the next besides the journal, and the form in which it is sent.
//
// The form is exchanged between builds: tags, the order of fields and their sizes must not change.
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

// The descriptors in it are of the process that holds the state. It does not own them.
struct HandoverState {
  EndpointList endpoint_list;  // with its version
  bool list_received = false;  // from discovery, by this process or one before it
  bool paused = false;         // by operators
  // Messages count on from here. Calls in flight may carry an earlier number, though its message is over.
  MessageId next_number = 1;
  std::string learned_state;  // by the dispatcher
  std::vector<std::string> ever_listed;
  std::vector<std::int64_t> destinations;  // that any list has named
  std::vector<CompletedId> completed_ids;
  std::vector<IdleClient> clients;
  std::vector<InFlightCall> calls;
  int listener = -1;
};

// First byte of each record. Each but `state` and `end` comes with a descriptor.
enum class HandoverRecordTag : char {
  state = 'S',
  folder_lock = 'K',
  listener = 'L',
  client = 'C',
  call = 'O',
  end = 'E',
};

// Each writes one record, with its tag.
[[nodiscard]] std::string encode_tag(HandoverRecordTag tag);
[[nodiscard]] std::string encode_state(const HandoverState& state);
[[nodiscard]] std::string encode_client(const IdleClient& client);
[[nodiscard]] std::string encode_call(const InFlightCall& call);

// Each reads the rest of a record, behind its tag. Descriptors are left to the caller. Throws
// std::runtime_error on a short record and configuration::FieldError on a malformed address.
[[nodiscard]] HandoverRecordTag decode_tag(BinaryReader& in);
void decode_state(BinaryReader& in, HandoverState& state);
[[nodiscard]] IdleClient decode_client(BinaryReader& in);
[[nodiscard]] InFlightCall decode_call(BinaryReader& in);

}  // namespace message_relay
