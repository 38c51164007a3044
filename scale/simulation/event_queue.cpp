#include "simulation/event_queue.hpp"

#include <utility>

namespace scale_tool::simulation {

bool EventQueue::Later::operator()(const ScheduledEvent& a, const ScheduledEvent& b) const {
  return a.at != b.at ? a.at > b.at : a.sequence_number > b.sequence_number;
}

void EventQueue::schedule(Time at, SimulationEvent event) {
  events_.push({.at = at, .sequence_number = next_sequence_number_, .event = std::move(event)});
  next_sequence_number_++;
}

std::optional<ScheduledEvent> EventQueue::pop(Time end) {
  if (events_.empty() || events_.top().at > end) return std::nullopt;
  ScheduledEvent event = events_.top();
  events_.pop();
  return event;
}

}  // namespace scale_tool::simulation
