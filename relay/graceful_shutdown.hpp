// Graceful shutdown: answers clients, waits for calls in flight, then ends the process.
//
// Invariant: the process ends 3 s after the shutdown began at the latest; open messages stay in the journal.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "decision_round.hpp"
#include "ingress_server.hpp"
#include "readiness.hpp"

namespace message_relay {

class GracefulShutdown {
 public:
  struct Collaborators {
    Readiness& readiness;
    DecisionRound& round;
    const Journal& journal;
    const WriteAheadQueue& write_ahead;
    const Admission& admission;
    const DeliveryClient& delivery;
    IngressServer& ingress;
  };

  GracefulShutdown(boost::asio::io_context& io, const Collaborators& collaborators)
      : parts_(collaborators), timer_(io) {}

  // Calls `done` once the process may end. Further calls are ignored.
  void begin(std::function<void()> done);

 private:
  void check();
  [[nodiscard]] bool deliveries_finished() const;
  [[nodiscard]] bool clients_finished(Time elapsed) const;

  Collaborators parts_;
  boost::asio::steady_timer timer_;
  std::function<void()> done_;
  Time started_at_ = 0;
};

}  // namespace message_relay
