// The relay: connects its components, recovers the state that earlier processes left, and handles the results
// of attempts and the notifications of the platform.
//
// Invariant: no message is accepted, sent to an endpoint or reported to the platform before the record of
// that step is committed to the journal.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <vector>

#include "admission.hpp"
#include "config.hpp"
#include "decision_round.hpp"
#include "delivery_client.hpp"
#include "dispatch/dispatcher.hpp"
#include "endpoint_directory.hpp"
#include "event_queue.hpp"
#include "gossip_channel.hpp"
#include "graceful_shutdown.hpp"
#include "handover.hpp"
#include "ingress_server.hpp"
#include "journal.hpp"
#include "journal_compactor.hpp"
#include "memory_account.hpp"
#include "message_registry.hpp"
#include "metrics.hpp"
#include "operator_commands.hpp"
#include "operator_server.hpp"
#include "plan_executor.hpp"
#include "platform.hpp"
#include "readiness.hpp"
#include "upgrade.hpp"
#include "write_ahead.hpp"

namespace message_relay {

class Relay {
 public:
  // Recovers the messages in the state folder, continues with the state that another process handed over,
  // then listens. Throws std::system_error if the state folder or an address cannot be used. `config` must
  // outlive the relay.
  Relay(boost::asio::io_context& io, const Config& config, StartupOwnership ownership);

  // Applies the only setting that may change while the relay runs: the address of discovery.
  void reconfigure(const Config& config);
  // Shuts down gracefully, then calls `done`, at most 3 s later.
  void stop(std::function<void()> done);

 private:
  // ---- Startup ----
  void load_cached_list(const EndpointList& list);
  void restore_inherited(HandoverState& state);
  // The records of a handover do not say which messages may be sent again.
  void restore_repeatability(InFlightCall& call) const;
  void recover(const std::vector<InFlightCall>& calls);
  void listen_for_clients();
  void adopt_inherited_clients();
  void listen_for_handover_requests();
  void listen_for_operators();
  void review_memory_later();
  void log_evicted_holders();
  // The listening socket of the process that handed over, so that the port is listened on without a gap;
  // otherwise a new socket.
  [[nodiscard]] boost::asio::ip::tcp::acceptor client_acceptor() const;

  // ---- Results of attempts and notifications of the platform ----
  void on_attempt_ended(const dispatch::event::AttemptEnded& ended);
  // Returns false, and changes nothing, if there is not enough memory for the endpoints.
  [[nodiscard]] bool on_endpoint_list(const EndpointList& list);
  void on_notices_acknowledged(const std::vector<MessageId>& ids);
  void complete_acknowledged(MessageId id);

  // Closes the endpoint's idle connections and ends its calls that are not sent yet, including those that
  // wait for a connection to be established.
  void stop_sending_to(const EndpointId& endpoint);

  boost::asio::io_context& io_;
  const Config& config_;
  StartupOwnership ownership_;

  // What peers make the process hold. Everything below may be charged to it.
  MemoryAccount memory_;
  MemoryCharge endpoints_memory_;  // of the listed endpoints
  boost::asio::steady_timer memory_review_timer_;
  std::uint64_t logged_evictions_ = 0;

  // State of messages and endpoints.
  Journal journal_;
  dispatch::Dispatcher dispatcher_;
  Metrics metrics_;
  MessageRegistry registry_;
  EndpointDirectory directory_;

  // Outgoing connections.
  DeliveryClient delivery_;
  Platform platform_;
  std::optional<GossipChannel> gossip_;  // empty: gossip is not configured

  // Decision rounds and the execution of their plans.
  EventQueue events_;
  DispatcherTimers timers_;
  PlanExecutor plan_executor_;
  WriteAheadQueue write_ahead_;
  Readiness readiness_;
  Admission admission_;
  JournalCompactor compactor_;
  DecisionRound decision_round_;

  // Constructed at the end of the constructor, after recovery, because the servers accept connections as soon
  // as they exist.
  std::optional<IngressServer> ingress_;
  std::optional<GracefulShutdown> shutdown_;
  std::optional<Upgrade> upgrade_;
  std::optional<HandoverListener> handover_listener_;
  std::optional<OperatorCommands> operator_commands_;
  std::optional<OperatorServer> operator_server_;
};

}  // namespace message_relay
