// Whether the relay is ready to accept messages, as the health check and the STATUS command report it.
#pragma once

#include <optional>

#include "endpoint_directory.hpp"
#include "write_ahead.hpp"

namespace message_relay {

enum class NotReadyReason { stopping, paused, journal_not_writable, no_active_endpoint };

class Readiness {
 public:
  Readiness(const EndpointDirectory& directory, const WriteAheadQueue& write_ahead)
      : directory_(directory), write_ahead_(write_ahead) {}

  // The process is shutting down. This cannot be undone.
  void set_stopping() { stopping_ = true; }
  [[nodiscard]] bool stopping() const { return stopping_; }
  void set_paused(bool paused) { paused_ = paused; }
  [[nodiscard]] bool paused() const { return paused_; }

  // The first reason that applies, in the order of the enumeration; empty if the relay is ready.
  [[nodiscard]] std::optional<NotReadyReason> not_ready_reason() const {
    if (stopping_) return NotReadyReason::stopping;
    if (paused_) return NotReadyReason::paused;
    if (!write_ahead_.journal_writable()) return NotReadyReason::journal_not_writable;
    if (!directory_.has_active_endpoint()) return NotReadyReason::no_active_endpoint;
    return std::nullopt;
  }

 private:
  const EndpointDirectory& directory_;
  const WriteAheadQueue& write_ahead_;
  bool stopping_ = false;
  bool paused_ = false;  // by an operator; client connections are drained
};

}  // namespace message_relay
