// Executes operators' commands and produces the replies.
//
// Each reply begins with "OK" or "ERR", except the reply to METRICS, which ends with "END". Operators' tools
// parse these texts, so their wording must not change.
#pragma once

#include <string>

#include "decision_round.hpp"
#include "ingress_server.hpp"
#include "metrics.hpp"
#include "operator_server.hpp"
#include "readiness.hpp"

namespace message_relay {

// Executes commands on the running relay. The collaborators must outlive it.
class OperatorCommands {
 public:
  struct Collaborators {
    Readiness& readiness;
    Journal& journal;
    EventQueue& events;
    DecisionRound& round;
    const WriteAheadQueue& write_ahead;
    const EndpointDirectory& directory;
    DeliveryClient& delivery;
    IngressServer& ingress;
    const dispatch::Dispatcher& dispatcher;
    const Metrics& metrics;
    const MemoryAccount& memory;
    const Admission& admission;
  };

  explicit OperatorCommands(const Collaborators& collaborators) : collaborators_(collaborators) {}

  // Executes a command and returns the complete reply, each line with its line feed.
  [[nodiscard]] std::string run(const OperatorCommand& command);

 private:
  [[nodiscard]] std::string status() const;
  [[nodiscard]] std::string metrics() const;
  [[nodiscard]] std::string change_suspension(const EndpointId& id, SuspensionState change);
  void apply_suspension(const EndpointId& id, SuspensionState change);
  [[nodiscard]] bool is_suspended(const EndpointId& id) const;
  [[nodiscard]] std::string pause();
  [[nodiscard]] std::string resume();
  [[nodiscard]] std::string ok_with_open_messages(const std::string& prefix) const;

  Collaborators collaborators_;
};

}  // namespace message_relay
