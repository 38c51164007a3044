#include "metrics.hpp"

#include <algorithm>

namespace message_relay {

namespace {

std::string render_line(const std::string& name, std::uint64_t value) {
  return "svc." + name + "=" + std::to_string(value) + "\n";
}

const char* name_of(dispatch::Outcome outcome) {
  using dispatch::Outcome;
  switch (outcome) {
    case Outcome::succeeded:
      return "succeeded";
    case Outcome::error:
      return "error";
    case Outcome::rejected:
      return "rejected";
    case Outcome::timeout:
      return "timeout";
    case Outcome::connect_failed:
      return "connect_failed";
    case Outcome::reset:
      return "reset";
    case Outcome::cancelled:
      return "cancelled";
    case Outcome::not_sent:
      break;
  }
  return "not_sent";
}

}  // namespace

Metrics::Metrics(const configuration::NameIndex& classes) {
  for (const auto& [name, position] : classes) counts_[name];
}

void Metrics::count(const std::string& message_class, Completion completion) {
  const auto entry = counts_.find(message_class);
  if (entry == counts_.end()) return;
  CompletionCounts& counts = entry->second;
  switch (completion) {
    case Completion::succeeded:
      counts.succeeded++;
      break;
    case Completion::declined:
      counts.declined++;
      break;
    case Completion::aborted:
      counts.aborted++;
      break;
  }
}

void Metrics::count_attempt(dispatch::Outcome outcome) { attempts_[name_of(outcome)]++; }

std::string Metrics::render(const ReasonCounts& reasons) {
  std::string lines;
  for (const auto& [reason, count] : reasons.counts) {
    std::string name = reason;
    std::replace(name.begin(), name.end(), ' ', '_');
    lines += render_line(std::string(reasons.group) + "." + name, count);
  }
  return lines;
}

std::string Metrics::render(const MemoryAccount& memory) {
  std::string lines = render_line("memory.capacity", memory.capacity());
  for (std::size_t i = 0; i < kMemoryUseCount; i++) {
    const auto use = static_cast<MemoryUse>(i);
    lines += render_line("memory." + std::string(message_relay::name_of(use)), memory.used(use));
  }
  return lines + render_line("memory.evicted_holders", memory.evicted_holders());
}

std::string Metrics::render(const Gauges& gauges) const {
  std::string lines;
  for (const auto& [name, counts] : counts_) {
    lines += render_line("succeeded." + name, counts.succeeded);
    lines += render_line("declined." + name, counts.declined);
    lines += render_line("aborted." + name, counts.aborted);
  }
  lines += render_line("forwards", gauges.forwards);
  lines += render_line("outstanding", gauges.outstanding);
  lines += render_line("discovered", gauges.discovered);
  lines += render_line("ejected", gauges.ejected);
  lines += render_line("limited", gauges.limited);
  return lines;
}

}  // namespace message_relay
