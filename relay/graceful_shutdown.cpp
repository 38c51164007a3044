#include "graceful_shutdown.hpp"

#include <chrono>
#include <utility>

#include "log.hpp"

namespace message_relay {

namespace {

// SIGKILL follows SIGTERM after 3.7 s at the earliest. Until these times after SIGTERM new connections are
// waited for, calls are begun, and the process ends, whether calls are in flight or not.
constexpr Time kAcceptPeriod = 600'000;
constexpr Time kSendPeriod = 1'500'000;
constexpr Time kMaxDuration = 3'000'000;
constexpr auto kCheckInterval = std::chrono::milliseconds(20);

}  // namespace

void GracefulShutdown::begin(std::function<void()> done) {
  if (parts_.readiness.stopping()) return;
  parts_.readiness.set_stopping();
  log("stopping: " + std::to_string(parts_.journal.messages().size()) + " open messages");
  done_ = std::move(done);
  started_at_ = steady_now();
  parts_.ingress.drain(true);
  check();
}

void GracefulShutdown::check() {
  const Time elapsed = steady_now() - started_at_;
  if (elapsed >= kSendPeriod) parts_.round.stop_deciding();
  const bool finished =
      deliveries_finished() && clients_finished(elapsed) && parts_.write_ahead.journal_writable();
  if (finished || elapsed >= kMaxDuration) {
    log("stopped: " + std::to_string(parts_.journal.messages().size()) + " messages left in the journal, " +
        std::to_string(parts_.delivery.in_flight_count()) + " calls in flight");
    done_();
    return;
  }
  timer_.expires_after(kCheckInterval);
  timer_.async_wait([this](boost::system::error_code bad) {
    if (!bad) check();
  });
}

bool GracefulShutdown::deliveries_finished() const {
  return parts_.delivery.in_flight_count() == 0 &&
         (!parts_.round.deciding() || parts_.journal.messages().empty());
}

bool GracefulShutdown::clients_finished(Time elapsed) const {
  return elapsed >= kAcceptPeriod && !parts_.ingress.has_active_connections() &&
         !parts_.admission.has_pending();
}

}  // namespace message_relay
