#include "metrics.hpp"

namespace message_relay {

namespace {

std::string render_line(const std::string& name, std::uint64_t value) {
  return "svc." + name + "=" + std::to_string(value) + "\n";
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
