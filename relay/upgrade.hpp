// Upgrade: hands this process's state over to a successor and ends this process.
//
// Invariant: until the successor confirms, this process has given nothing away and goes on serving; once it
// has confirmed, this process does nothing more.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>

#include "decision_round.hpp"
#include "handover.hpp"
#include "ingress_server.hpp"
#include "readiness.hpp"

namespace message_relay {

class Upgrade {
 public:
  struct Collaborators {
    DecisionRound& round;
    const EventQueue& events;
    const Admission& admission;
    const WriteAheadQueue& write_ahead;
    Journal& journal;
    const JournalCompactor& compactor;
    const dispatch::Dispatcher& dispatcher;
    const EndpointDirectory& directory;
    const MessageRegistry& registry;
    const Readiness& readiness;
    const Platform& platform;
    DeliveryClient& delivery;
    IngressServer& ingress;
  };

  // `folder_lock` is the descriptor of the state folder's lock, which passes on.
  Upgrade(boost::asio::io_context& io, const Config& config, int folder_lock,
          const Collaborators& collaborators);

  // A successor asks to take over. The newest is served: one that asked before may have left since, and asks
  // again if it has not.
  void request(HandoverChannel successor);

 private:
  void hand_over_when_quiescent();
  void hand_over();
  // Calls that are being connected or written and requests that are being read can't change hands.
  [[nodiscard]] bool is_quiescent() const;
  [[nodiscard]] HandoverState capture_state() const;
  [[nodiscard]] EndpointList capture_endpoint_list() const;
  [[nodiscard]] std::vector<IdleClient> capture_clients(std::size_t calls) const;

  const Config& config_;
  int folder_lock_;
  Collaborators parts_;
  boost::asio::steady_timer timer_;
  std::optional<HandoverChannel> successor_;
  Time requested_at_ = 0;  // by the first of the successors that has not been served
};

}  // namespace message_relay
