#include "graceful_shutdown.hpp"

#include <chrono>
#include <utility>

#include "log.hpp"

namespace message_relay {

namespace {

// Times since the start of the shutdown (SIGTERM), in microseconds.

// The process stays up at least this long, since clients may still open connections.
constexpr Time kAcceptPeriod = 600'000;
// No new calls start after this time.
constexpr Time kSendPeriod = 1'500'000;
// The process ends at this time even if calls are in flight: SIGKILL follows SIGTERM after 3.7 s at the
// earliest.
constexpr Time kMaxDuration = 3'000'000;

constexpr auto kCheckInterval = std::chrono::milliseconds(20);

}  // namespace

void GracefulShutdown::begin(std::function<void()> done) {
  if (collaborators_.readiness.stopping()) return;
  collaborators_.readiness.set_stopping();
  log("stopping: " + std::to_string(collaborators_.journal.messages().size()) + " open messages");
  done_ = std::move(done);
  started_at_ = steady_now();
  collaborators_.ingress.drain(true);
  check();
}

void GracefulShutdown::check() {
  const Time elapsed = steady_now() - started_at_;
  if (elapsed >= kSendPeriod) collaborators_.round.stop_dispatching();
  const bool finished =
      deliveries_finished() && clients_finished(elapsed) && collaborators_.write_ahead.journal_writable();
  if (finished || elapsed >= kMaxDuration) {
    finish();
    return;
  }
  timer_.expires_after(kCheckInterval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) check();
  });
}

// The last round answers the requests whose messages wait to be recorded. What can't be answered any more is
// rejected.
void GracefulShutdown::finish() {
  collaborators_.round.stop_dispatching();
  collaborators_.round.run();
  collaborators_.ingress.reject_and_close_all();
  log("stopped: " + std::to_string(collaborators_.journal.messages().size()) +
      " messages left in the journal, " + std::to_string(collaborators_.delivery.in_flight_count()) +
      " calls in flight");
  done_();
}

bool GracefulShutdown::deliveries_finished() const {
  return collaborators_.delivery.in_flight_count() == 0 &&
         (!collaborators_.round.is_dispatching() || collaborators_.journal.messages().empty());
}

bool GracefulShutdown::clients_finished(Time elapsed) const {
  return elapsed >= kAcceptPeriod && !collaborators_.ingress.has_active_connections() &&
         !collaborators_.admission.has_pending();
}

}  // namespace message_relay
