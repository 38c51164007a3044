// Uses the installed library: the dispatcher must send one message to one endpoint. Returns 0 if it does.
#include <dispatch/dispatcher.hpp>

int main() {
  dispatch::Settings settings;
  settings.classes.push_back({});
  settings.kinds.push_back({});
  settings.max_calls_in_flight = 4;
  settings.max_open_messages = 10;
  settings.max_attempts = 3;
  dispatch::Dispatcher dispatcher(settings, 1);
  dispatch::event::EndpointListSnapshot list;
  list.endpoints.push_back({.id = "a", .destination = 7});
  dispatch::event::Arrival arrival;
  arrival.id = 1;
  arrival.destination = 7;
  arrival.time_to_deadline = 5'000'000;
  std::vector<dispatch::Action> actions;
  dispatcher.handle(0, {list, arrival}, actions);
  for (const auto& action : actions)
    if (std::holds_alternative<dispatch::action::Send>(action)) return 0;
  return 1;
}
