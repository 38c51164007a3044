#include "metrics.hpp"

namespace message_relay {

Metrics::Metrics(const configuration::NameIndex& classes) {
  for (const auto& [name, position] : classes) ends_[name];
}

void Metrics::count(const std::string& message_class, Completion end) {
  const auto it = ends_.find(message_class);
  if (it == ends_.end()) return;  // of a class that the settings no longer have
  auto& of_class = it->second;
  (end == Completion::succeeded  ? of_class.succeeded
   : end == Completion::declined ? of_class.declined
                                 : of_class.aborted)++;
}

std::string Metrics::render(const Gauges& present) const {
  std::string all;
  const auto line = [&all](const std::string& name, std::uint64_t n) {
    all += "svc." + name + "=" + std::to_string(n) + "\n";
  };
  for (const auto& [name, ends] : ends_) {
    line("succeeded." + name, ends.succeeded);
    line("declined." + name, ends.declined);
    line("aborted." + name, ends.aborted);
  }
  line("forwards", present.forwards);
  line("outstanding", present.outstanding);
  line("discovered", present.discovered);
  line("ejected", present.ejected);
  return all;
}

}  // namespace message_relay
