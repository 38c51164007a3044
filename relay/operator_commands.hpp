// Carries out operators' commands and words the replies.
//
// Each reply begins with "OK" or "ERR". Operators' tools read these texts: they are an exchanged format and
// keep their wording.
#pragma once

#include <string>

#include "decision_round.hpp"
#include "ingress_server.hpp"
#include "metrics.hpp"
#include "operator_server.hpp"
#include "readiness.hpp"

namespace message_relay {

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
  };

  explicit OperatorCommands(const Collaborators& collaborators) : parts_(collaborators) {}

  // The whole reply, each line with its end.
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

  Collaborators parts_;
};

}  // namespace message_relay
