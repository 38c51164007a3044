#include "operator_commands.hpp"

#include "log.hpp"

namespace message_relay {

namespace {

std::string ok_reply(const std::string& text) { return "OK " + text + "\n"; }
std::string error_reply(const std::string& text) { return "ERR " + text + "\n"; }

std::string describe(NotReadyReason reason) {
  switch (reason) {
    case NotReadyReason::stopping:
      return "stopping";
    case NotReadyReason::paused:
      return "paused; RESUME ends it";
    case NotReadyReason::journal_not_writable:
      return "the journal can't be written";
    case NotReadyReason::no_active_endpoint:
      break;
  }
  return "no endpoint in the list is ready";
}

}  // namespace

std::string OperatorCommands::run(const OperatorCommand& command) {
  switch (command.verb) {
    case OperatorVerb::status:
      return status();
    case OperatorVerb::metrics:
      return metrics();
    case OperatorVerb::suspend:
      return change_suspension(command.endpoint, SuspensionState::suspended);
    case OperatorVerb::restore:
      return change_suspension(command.endpoint, SuspensionState::restored);
    case OperatorVerb::pause:
      return pause();
    case OperatorVerb::resume:
      return resume();
  }
  return error_reply("unknown call");
}

std::string OperatorCommands::status() const {
  const auto reason = collaborators_.readiness.not_ready_reason();
  return reason ? error_reply(describe(*reason)) : ok_with_open_messages("");
}

std::string OperatorCommands::metrics() const {
  Gauges gauges;
  gauges.outstanding = collaborators_.journal.messages().size();
  gauges.discovered = collaborators_.directory.endpoints().size();
  gauges.ejected = collaborators_.dispatcher.excluded_endpoint_count();
  gauges.limited = collaborators_.dispatcher.limited_destinations().size();
  gauges.forwards = collaborators_.delivery.messages_written();
  const Metrics& metrics = collaborators_.metrics;
  return metrics.render(gauges) + Metrics::render(collaborators_.memory) +
         Metrics::render({"attempts", metrics.attempts()}) +
         Metrics::render({"clients.closed", collaborators_.ingress.closes().totals()}) +
         Metrics::render({"clients.rejected", collaborators_.ingress.rejections().totals()}) +
         Metrics::render({"messages.rejected", collaborators_.admission.rejections().totals()}) +
         Metrics::render({"responses.unexpected", collaborators_.delivery.unexpected_responses().totals()}) +
         "END\n";
}

std::string OperatorCommands::change_suspension(const EndpointId& id, SuspensionState change) {
  const bool suspended = is_suspended(id);
  if (!suspended && !collaborators_.directory.was_ever_listed(id))
    return error_reply("no list has named " + id);
  const bool changes = suspended != (change == SuspensionState::suspended);
  if (changes) apply_suspension(id, change);
  if (!collaborators_.write_ahead.journal_writable())
    return error_reply(id + ": done, but the journal can't be written; a restart would forget it");
  return ok_reply(id + (change == SuspensionState::suspended ? " suspended" : " restored") +
                  (changes ? "" : " already"));
}

void OperatorCommands::apply_suspension(const EndpointId& id, SuspensionState change) {
  const bool suspend = change == SuspensionState::suspended;
  collaborators_.journal.record_suspension(id, change);
  if (suspend) {
    collaborators_.delivery.cancel_unsent(id);
    collaborators_.delivery.close_idle(id);
  }
  // Gets a round of its own: calls decided in earlier rounds have already been sent or cancelled, and all
  // later rounds take the change into account.
  collaborators_.events.add_without_round(dispatch::event::EndpointSuspension{id, suspend});
  collaborators_.round.run();
  log((suspend ? "operators: suspended endpoint " : "operators: restored endpoint ") + id + " by command");
}

bool OperatorCommands::is_suspended(const EndpointId& id) const {
  return collaborators_.journal.suspended_endpoints().contains(id);
}

std::string OperatorCommands::pause() {
  if (collaborators_.readiness.stopping()) return error_reply("stopping");
  if (!collaborators_.readiness.paused()) {
    collaborators_.readiness.set_paused(true);
    log("operators: paused the relay");
    collaborators_.ingress.drain(true);
  }
  return ok_with_open_messages("paused, ");
}

std::string OperatorCommands::resume() {
  if (collaborators_.readiness.stopping()) return error_reply("stopping");
  if (collaborators_.readiness.paused()) {
    collaborators_.readiness.set_paused(false);
    log("operators: resumed the relay");
    collaborators_.ingress.drain(false);
  }
  return ok_with_open_messages("at work, ");
}

std::string OperatorCommands::ok_with_open_messages(const std::string& prefix) const {
  return ok_reply(prefix + std::to_string(collaborators_.journal.messages().size()) + " messages held");
}

}  // namespace message_relay
