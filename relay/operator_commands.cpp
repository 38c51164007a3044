#include "operator_commands.hpp"

#include "log.hpp"

namespace message_relay {

namespace {

std::string ok(const std::string& text) { return "OK " + text + "\n"; }
std::string err(const std::string& text) { return "ERR " + text + "\n"; }

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
  return err("unknown call");
}

std::string OperatorCommands::status() const {
  const auto reason = parts_.readiness.not_ready_reason();
  return reason ? err(describe(*reason)) : ok_with_open_messages("");
}

std::string OperatorCommands::metrics() const {
  Gauges gauges;
  gauges.outstanding = parts_.journal.messages().size();
  gauges.discovered = parts_.directory.endpoints().size();
  gauges.ejected = parts_.dispatcher.excluded_endpoint_count();
  gauges.forwards = parts_.delivery.messages_written();
  return parts_.metrics.render(gauges) + "END\n";
}

std::string OperatorCommands::change_suspension(const EndpointId& id, SuspensionState change) {
  const bool suspended = is_suspended(id);
  if (!suspended && !parts_.directory.was_ever_listed(id)) return err("no list has named " + id);
  const bool changes = suspended != (change == SuspensionState::suspended);
  if (changes) apply_suspension(id, change);
  if (!parts_.write_ahead.journal_writable())
    return err(id + ": done, but the journal can't be written; a restart would forget it");
  return ok(id + (change == SuspensionState::suspended ? " suspended" : " restored") +
            (changes ? "" : " already"));
}

void OperatorCommands::apply_suspension(const EndpointId& id, SuspensionState change) {
  const bool suspend = change == SuspensionState::suspended;
  parts_.journal.record_suspension(id, change);
  if (suspend) {
    parts_.delivery.cancel_unsent(id);
    parts_.delivery.close_idle(id);
  }
  // Decided in a round of its own: calls decided before it have gone, those of later ones obey it.
  parts_.events.add_without_round(dispatch::event::EndpointSuspension{id, suspend});
  parts_.round.run();
  log((suspend ? "suspended " : "restored ") + id + " by operator");
}

bool OperatorCommands::is_suspended(const EndpointId& id) const {
  return parts_.journal.suspended_endpoints().contains(id);
}

std::string OperatorCommands::pause() {
  if (parts_.readiness.stopping()) return err("stopping");
  if (!parts_.readiness.paused()) {
    parts_.readiness.set_paused(true);
    log("paused by operator");
    parts_.ingress.drain(true);
  }
  return ok_with_open_messages("paused, ");
}

std::string OperatorCommands::resume() {
  if (parts_.readiness.stopping()) return err("stopping");
  if (parts_.readiness.paused()) {
    parts_.readiness.set_paused(false);
    log("resumed by operator");
    parts_.ingress.drain(false);
  }
  return ok_with_open_messages("at work, ");
}

std::string OperatorCommands::ok_with_open_messages(const std::string& prefix) const {
  return ok(prefix + std::to_string(parts_.journal.messages().size()) + " messages held");
}

}  // namespace message_relay
