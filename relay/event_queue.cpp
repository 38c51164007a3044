#include "event_queue.hpp"

#include <utility>

namespace message_relay {

using boost::system::error_code;

namespace {

// Datagrams of gossip that may wait for a round.
constexpr std::size_t kMaxQueuedGossip = 256;

}  // namespace

EventQueue::EventQueue(boost::asio::io_context& io, Time min_round_interval, std::function<void()> run_round)
    : timer_(io), min_round_interval_(min_round_interval), run_round_(std::move(run_round)) {}

void EventQueue::add(dispatch::Event event) {
  events_.push_back(std::move(event));
  request_round();
}

void EventQueue::add_without_round(dispatch::Event event) { events_.push_back(std::move(event)); }

void EventQueue::add_gossip(dispatch::event::GossipReceived gossip) {
  if (queued_gossip_ >= kMaxQueuedGossip) return;
  queued_gossip_++;
  add(std::move(gossip));
}

void EventQueue::request_round() {
  if (round_due_) return;
  round_due_ = true;
  timer_.expires_after(to_duration(last_round_ + min_round_interval_ - steady_now()));
  timer_.async_wait([this](error_code error) {
    if (!error) run_round_();
  });
}

Time EventQueue::begin_round() {
  round_due_ = false;
  last_round_ = steady_now();
  return last_round_;
}

std::vector<dispatch::Event> EventQueue::take() {
  queued_gossip_ = 0;
  return std::exchange(events_, {});
}

void DispatcherTimers::set(Time due, std::uint64_t token) {
  tokens_.emplace(due, token);
  schedule_next();
}

void DispatcherTimers::schedule_next() {
  if (tokens_.empty()) return;
  timer_.expires_after(to_duration(tokens_.begin()->first - steady_now()));
  timer_.async_wait([this](error_code error) {
    if (error) return;
    const Time now = steady_now();
    while (!tokens_.empty() && tokens_.begin()->first <= now) {
      events_.add(dispatch::event::TimerExpired{tokens_.begin()->second});
      tokens_.erase(tokens_.begin());
    }
    schedule_next();
  });
}

}  // namespace message_relay
