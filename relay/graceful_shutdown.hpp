// Graceful shutdown: responds to clients, waits for calls in flight, then lets the process end.
//
// Invariant: the shutdown takes at most 3 s; messages that are still open stay in the journal.
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
      : collaborators_(collaborators), timer_(io) {}

  // Begins the shutdown; calls `done` when the process may end. Does nothing if a shutdown has begun before.
  void begin(std::function<void()> done);

 private:
  // Ends the shutdown if everything has finished or the time is up, otherwise checks again later.
  void check();
  [[nodiscard]] bool deliveries_finished() const;
  // `elapsed` is the time since the shutdown began, in microseconds.
  [[nodiscard]] bool clients_finished(Time elapsed) const;
  // Answers the requests that have arrived, then lets the process end.
  void finish();

  Collaborators collaborators_;
  boost::asio::steady_timer timer_;
  std::function<void()> done_;
  Time started_at_ = 0;  // steady time
};

}  // namespace message_relay
