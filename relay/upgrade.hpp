// Upgrade: hands this process's state over to a successor process and then ends this process.
//
// Invariant: until the successor has confirmed the handover, this process has given up nothing and keeps
// serving. After the confirmation this process does nothing more.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>

#include "decision_round.hpp"
#include "handover.hpp"
#include "ingress_server.hpp"
#include "readiness.hpp"

namespace message_relay {

// The owner's side of an upgrade: decides when to hand over and collects the state.
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
    MessageRegistry& registry;
    const Readiness& readiness;
    const Platform& platform;
    DeliveryClient& delivery;
    IngressServer& ingress;
  };

  // `folder_lock` is the descriptor of the state folder's lock. It is handed over to the successor as well.
  Upgrade(boost::asio::io_context& io, const Config& config, int folder_lock,
          const Collaborators& collaborators);

  // Handles the request of a successor to take over. Replaces an earlier request that is still waiting: its
  // process may have ended since, and sends a new request if it has not.
  void request(HandoverChannel successor);

 private:
  void hand_over_when_quiescent();
  void hand_over();
  // Whether nothing is in progress that can't be handed over, such as calls that are being connected or
  // written and requests that are being answered.
  [[nodiscard]] bool is_quiescent() const;
  // Finishes what can be finished at once, and ends the calls that have not been written.
  void settle_remaining_work();
  // Takes the bytes that were read from clients' connections, and the completed ids.
  [[nodiscard]] HandoverState capture_state();
  [[nodiscard]] EndpointList capture_endpoint_list() const;
  // The number of client connections that can be handed over beside this number of calls.
  [[nodiscard]] std::size_t max_clients(std::size_t calls) const;

  const Config& config_;
  int folder_lock_;
  Collaborators collaborators_;
  boost::asio::steady_timer timer_;
  std::optional<HandoverChannel> successor_;
  Time requested_at_ = 0;  // steady time of the earliest request that has not been served
};

}  // namespace message_relay
