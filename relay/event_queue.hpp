// Events that wait for the next decision round, and the timer that begins it.
//
// Invariant: rounds that the queue begins are at least the minimum interval apart, and at most one is due.
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
  EventQueue(boost::asio::io_context& io, Time min_round_interval, std::function<void()> run_round);

  // Queues an event and has a round begin soon.
  void add(dispatch::Event event);
  // Queues an event for a round that the caller begins.
  void add_without_round(dispatch::Event event);
  // Has a round begin as soon as the minimum interval allows.
  void request_round();

  // To be called at the begin of each round, also of one that was not requested. Returns its time.
  Time begin_round();
  [[nodiscard]] std::vector<dispatch::Event> take();

  [[nodiscard]] bool empty() const { return events_.empty(); }

 private:
  boost::asio::steady_timer timer_;
  Time min_round_interval_;
  std::function<void()> run_round_;
  std::vector<dispatch::Event> events_;
  Time last_round_ = 0;
  bool round_due_ = false;
};

// The timers that the dispatcher sets; each comes back to it as event::TimerExpired.
class DispatcherTimers {
 public:
  DispatcherTimers(boost::asio::io_context& io, EventQueue& events) : timer_(io), events_(events) {}

  void set(Time due, std::uint64_t token);

 private:
  void arm();

  boost::asio::steady_timer timer_;
  EventQueue& events_;
  std::multimap<Time, std::uint64_t> tokens_;  // by when they are due
};

}  // namespace message_relay
