// The round: gathers what has come in, lets the dispatcher decide, carries out its actions.
//
// No decision is made here and no action is taken before its record stands in the journal.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "completed_ids.hpp"
#include "config.hpp"
#include "delivery_client.hpp"
#include "dispatch/dispatcher.hpp"
#include "gossip_channel.hpp"
#include "handover.hpp"
#include "ingress_server.hpp"
#include "journal.hpp"
#include "metrics.hpp"
#include "operator_server.hpp"
#include "platform.hpp"

namespace message_relay {

class Relay {
 public:
  // Takes back what an earlier life left in the folder, goes on with what another process handed over, then
  // listens.
  Relay(boost::asio::io_context& io, const Config& config, StartupOwnership possession);

  // Takes over what may change while the relay runs: where discovery is found.
  void reconfigure(const Config& config);
  // Answers clients on, lets calls out come home, then calls `done`, within kDrainMost.
  void stop(std::function<void()> done);

 private:
  struct Answered {
    MessageId id;  // 0: of none that is held
    ResponseCallback reply;
    ClientResponse answer;
  };
  // What a round decided, to be done once its records stand.
  struct Plan {
    std::vector<Answered> answers;
    std::vector<std::pair<EndpointId, std::vector<OutgoingMessage>>> calls;
    std::vector<MessageId> endings;
  };
  struct Arrived {
    Message message;
    ResponseCallback reply;
  };

  void recover(const std::vector<InFlightCall>& calls);
  void take_over(const HandoverState& estate);
  boost::asio::ip::tcp::acceptor listener() const;
  // Once nothing is under way in this process, or soon: all to the process that asks, and the end of this
  // one.
  void hand_over();
  HandoverState estate();
  void arrive(Message message, ResponseCallback reply);
  void ended(const dispatch::event::AttemptEnded& e);
  void listed(EndpointList list);
  static void log_list(const EndpointList& list);
  template <class E>
  void happened(E event) {
    events_.emplace_back(std::move(event));
    schedule();
  }
  void schedule();
  void round();
  void decide(Plan& plan);
  void carry_out(Plan plan);
  void settle();
  void noticed(MessageId id);
  void over(MessageId id, std::optional<Completion> end, bool was_taken_on = true);
  // What operators ask for; the reply.
  std::string operate(const OperatorCommand& call);
  std::string status() const;
  std::string suspend(const EndpointId& id, bool on);
  std::string pause(bool on);
  std::string figures() const;
  void leave(const EndpointId& endpoint);
  ResponseCallback shared(const std::string& id, ResponseCallback reply);
  void send(Plan& plan, const dispatch::action::Send& a);
  void finish(Plan& plan, MessageId id, const FinalAnswer& ending);
  void set_timer(Time after, std::uint64_t token);
  void arm_timers();
  void hold_back(const EndpointId& endpoint);
  void compact();
  void check_drained();
  bool ready() const;
  dispatch::event::Arrival arrival(MessageId id, const Message& m) const;

  boost::asio::io_context& io_;
  const Config& config_;
  StartupOwnership possession_;
  Journal journal_;
  dispatch::Dispatcher dispatcher_;
  DeliveryClient calls_;
  Platform platform_;
  std::optional<GossipChannel> peers_;

  std::map<EndpointId, dispatch::Endpoint> endpoints_;
  std::unordered_map<std::string, MessageId> numbers_;  // of the messages held, by the client's id
  std::map<MessageId, ResponseCallback> unanswered_;    // taken in this round
  // Ids that wait for their answer, with those that handed the same one in meanwhile.
  std::unordered_map<std::string, std::vector<ResponseCallback>> twins_;
  Metrics figures_;
  CompletedIds recent_;  // taken on and over
  std::set<EndpointId> ever_listed_;
  std::set<std::int64_t> destinations_;  // that any list has named
  bool list_told_ = false;               // by discovery, in this life
  MessageId next_number_ = 1;
  std::vector<Arrived> arrived_;
  std::uint64_t arrived_cost_ = 0;
  std::vector<dispatch::Event> events_;
  std::multimap<Time, std::uint64_t> timers_;
  std::vector<Plan> stalled_;  // waiting for their records to stand
  Time last_round_ = 0, stop_at_ = 0;
  bool unwritten_ = false;  // the journal could not be written
  bool round_due_ = false, compacting_ = false, stopping_ = false, frozen_ = false;
  bool paused_ = false;  // by operators: clients are sent away
  boost::asio::steady_timer round_timer_, module_timer_, stall_timer_, drain_timer_, handover_timer_;
  std::optional<HandoverChannel> successor_;  // asks to take over
  Time asked_at_ = 0;
  std::function<void()> done_;
  std::optional<IngressServer> intake_;  // these last: they listen once all else stands
  std::optional<OperatorServer> operators_;
  std::optional<HandoverListener> successors_;
};

}  // namespace message_relay
