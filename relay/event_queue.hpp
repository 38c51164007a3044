// The queue of events for the next decision round, and the timer that starts the round.
//
// Invariant: a round that the queue starts begins at least the minimum interval after the previous round, and
// at most one round is scheduled.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <vector>

#include "clock.hpp"
#include "dispatch/dispatcher.hpp"

namespace message_relay {

class EventQueue {
 public:
  // `run_round` must call begin_round(). `min_round_interval` is in microseconds.
  EventQueue(boost::asio::io_context& io, Time min_round_interval, std::function<void()> run_round);

  // Queues an event and requests a round.
  void add(dispatch::Event event);
  // Queues an event without requesting a round: the caller runs one, or the event waits for the next.
  void add_without_round(dispatch::Event event);
  // Queues a datagram of gossip, if not too many are queued already: peers can send faster than rounds take
  // place, and datagrams may get lost anyway.
  void add_gossip(dispatch::event::GossipReceived gossip);
  // Schedules a round for the earliest time that the minimum interval allows, unless one is scheduled
  // already.
  void request_round();

  // Must be called at the start of each round, including rounds that were not requested. Returns the steady
  // time of the round.
  Time begin_round();
  // Returns the queued events in order and removes them.
  [[nodiscard]] std::vector<dispatch::Event> take();

  [[nodiscard]] bool empty() const { return events_.empty(); }

 private:
  boost::asio::steady_timer timer_;
  Time min_round_interval_;
  std::function<void()> run_round_;
  std::vector<dispatch::Event> events_;
  std::size_t queued_gossip_ = 0;
  Time last_round_ = 0;  // steady time
  bool round_due_ = false;
};

// The timers that the dispatcher sets with action::SetTimer. Each queues event::TimerExpired when it is due.
class DispatcherTimers {
 public:
  DispatcherTimers(boost::asio::io_context& io, EventQueue& events) : timer_(io), events_(events) {}

  // `due` is a steady time.
  void set(Time due, std::uint64_t token);

 private:
  void schedule_next();

  boost::asio::steady_timer timer_;
  EventQueue& events_;
  std::multimap<Time, std::uint64_t> tokens_;  // by due time
};

}  // namespace message_relay
