// One relay: wires its parts together, recovers what earlier processes left, and reacts to endpoints and the
// platform.
//
// Invariant: no action on a message is taken before its record stands in the journal.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
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
  // Recovers from the state folder, goes on with what another process handed over, then listens. Throws
  // std::system_error where the state folder or an address can't be used.
  Relay(boost::asio::io_context& io, const Config& config, StartupOwnership ownership);

  // Applies what may change while the relay runs: the address of discovery.
  void reconfigure(const Config& config);
  // Shuts down gracefully, then calls `done`, within 3 s.
  void stop(std::function<void()> done);

 private:
  // ---- Start. ----
  void load_cached_list(const EndpointList& list);
  void restore_inherited(const HandoverState& state);
  void recover(const std::vector<InFlightCall>& calls);
  void listen_for_clients();
  void adopt_inherited_clients();
  void listen_for_successors();
  void listen_for_operators();
  // The listening socket of the process handed over from, which never stops listening; else a new one.
  [[nodiscard]] boost::asio::ip::tcp::acceptor client_acceptor() const;

  // ---- What endpoints and the platform report. ----
  void on_attempt_ended(const dispatch::event::AttemptEnded& ended);
  void on_endpoint_list(const EndpointList& list);
  void on_notices_confirmed(const std::vector<MessageId>& ids);
  void complete_noticed(MessageId id);

  // Sends nothing new to an endpoint, also not by connections that still come up.
  void stop_using(const EndpointId& endpoint);

  boost::asio::io_context& io_;
  const Config& config_;
  StartupOwnership ownership_;

  // State.
  Journal journal_;
  dispatch::Dispatcher dispatcher_;
  Metrics metrics_;
  MessageRegistry registry_;
  EndpointDirectory directory_;

  // Connections to others.
  DeliveryClient delivery_;
  Platform platform_;
  std::optional<GossipChannel> gossip_;  // where one is configured

  // Decisions and their effects.
  EventQueue events_;
  DispatcherTimers timers_;
  PlanExecutor executor_;
  WriteAheadQueue write_ahead_;
  Readiness readiness_;
  Admission admission_;
  JournalCompactor compactor_;
  DecisionRound round_;

  // Set by the constructor once all else stands: they listen at once.
  std::optional<IngressServer> ingress_;
  std::optional<GracefulShutdown> shutdown_;
  std::optional<Upgrade> upgrade_;
  std::optional<HandoverListener> successors_;
  std::optional<OperatorCommands> operator_commands_;
  std::optional<OperatorServer> operators_;
};

}  // namespace message_relay
