// Writes a dispatcher's actions as lines of the simulator's protocol.
#pragma once

#include <cstdint>
#include <string>

#include "dispatch/dispatcher.hpp"

namespace simulator_adapter {

/// A visitor of dispatch::Action that appends one line to the reply for each action of one instance.
class ActionWriter {
 public:
  /// `reply` and `instance`, the name of the instance, must outlive the writer.
  ActionWriter(std::string& reply, const std::string& instance) : reply_(reply), instance_(instance) {}

  void operator()(const dispatch::action::Send& action);
  void operator()(const dispatch::action::Reject& action);
  void operator()(const dispatch::action::Fail& action);
  void operator()(const dispatch::action::Cancel& action);
  void operator()(const dispatch::action::CloseIdleConnections& action);
  void operator()(const dispatch::action::SetTimer& action);
  void operator()(const dispatch::action::FetchEndpointList& action);
  void operator()(const dispatch::action::Subscribe& action);
  void operator()(const dispatch::action::HealthCheck& action);
  void operator()(const dispatch::action::SendGossip& action);
  void operator()(const dispatch::action::Log& action);
  /// Appends the line which says that the instance can't continue, with the cause.
  void write_fatal(const std::string& cause);

 private:
  template <class WriteFields>
  void write_line(const char* kind, WriteFields write_fields);

  std::string& reply_;
  const std::string& instance_;
};

/// Appends the line that ends the reply to a round.
void write_end_of_reply(std::string& reply);

}  // namespace simulator_adapter
