// message_relay: one relay on real sockets.
//
// LB_CONFIG names its configuration, LB_STATE the folder that keeps its state. SIGTERM and SIGINT shut it
// down gracefully, SIGHUP has the configuration reloaded. Started next to one that runs on the same folder,
// it takes over from it. The exit status is 0 after a shutdown or a handover, 1 where it can't start.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <string>

#include "config.hpp"
#include "handover.hpp"
#include "log.hpp"
#include "relay.hpp"

namespace {

using boost::asio::signal_set;
using boost::system::error_code;
using message_relay::Relay;

// A file that can't be read changes nothing.
void reload_configuration(Relay& relay) {
  try {
    relay.reconfigure(message_relay::load_config());
  } catch (const std::exception& e) {
    message_relay::log(std::string("configuration: not reloaded: ") + e.what());
  }
}

void reload_on_signal(signal_set& signals, Relay& relay) {
  signals.async_wait([&signals, &relay](error_code bad, int) {
    if (bad) return;
    reload_configuration(relay);
    reload_on_signal(signals, relay);
  });
}

void stop_on_signal(signal_set& signals, Relay& relay, boost::asio::io_context& io) {
  signals.async_wait([&relay, &io](error_code bad, int) {
    if (!bad) relay.stop([&io] { io.stop(); });
  });
}

void run() {
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context io(1);
  const message_relay::Config config = message_relay::load_config();
  // While another process still owns the folder, a signal ends this one, which owes nothing yet.
  message_relay::StartupOwnership ownership = message_relay::acquire_ownership(config.state_folder);
  // Before anything slow: a signal that comes while the journal is read waits for the event loop.
  signal_set stop_signals(io, SIGTERM, SIGINT);
  signal_set reload_signals(io, SIGHUP);
  Relay relay(io, config, std::move(ownership));
  stop_on_signal(stop_signals, relay, io);
  reload_on_signal(reload_signals, relay);
  io.run();
}

}  // namespace

int main() {
  try {
    run();
    return EXIT_SUCCESS;
  } catch (const std::exception& e) {
    message_relay::log(std::string("message_relay: ") + e.what());
    return EXIT_FAILURE;
  }
}
