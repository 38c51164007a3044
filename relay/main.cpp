// message_relay: the program that runs one relay.
//
// The environment variable LB_CONFIG names the configuration file, LB_STATE the folder that holds the relay's
// state. SIGTERM and SIGINT shut the relay down gracefully, SIGHUP reloads the configuration. A relay that is
// started while another one runs on the same folder takes over from it. The exit status is 0 after a shutdown
// or a handover and 1 if the relay can't start.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <string>

#include "clock.hpp"
#include "config.hpp"
#include "handover.hpp"
#include "log.hpp"
#include "process_memory.hpp"
#include "relay.hpp"

namespace {

using boost::asio::signal_set;
using boost::system::error_code;
using message_relay::Relay;

// Keeps the present configuration if the new one can't be read.
void reload_configuration(Relay& relay) {
  try {
    relay.reconfigure(message_relay::load_config());
  } catch (const std::exception& e) {
    message_relay::log(std::string("configuration: not reloaded: ") + e.what());
  }
}

void reload_on_signal(signal_set& signals, Relay& relay) {
  signals.async_wait([&signals, &relay](error_code error, int) {
    if (error) return;
    reload_configuration(relay);
    reload_on_signal(signals, relay);
  });
}

void stop_on_signal(signal_set& signals, Relay& relay, boost::asio::io_context& io) {
  signals.async_wait([&relay, &io](error_code error, int) {
    if (!error) relay.stop([&io] { io.stop(); });
  });
}

void run() {
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context io(1);
  const message_relay::Config config = message_relay::load_config();
  // No signal handlers are installed yet: while another process owns the folder, a signal ends this process
  // at once. That is safe, since it has not accepted any messages.
  message_relay::StartupOwnership ownership = message_relay::acquire_ownership(config.state_folder);
  message_relay::load_journal_clock(config.state_folder);
  // The handlers are installed before the journal is read, which can take long. A signal that arrives
  // meanwhile is handled once the event loop runs.
  signal_set stop_signals(io, SIGTERM, SIGINT);
  signal_set reload_signals(io, SIGHUP);
  Relay relay(io, config, std::move(ownership));
  stop_on_signal(stop_signals, relay, io);
  reload_on_signal(reload_signals, relay);
  io.run();
}

}  // namespace

int main() {
  message_relay::configure_allocator();
  try {
    run();
    return EXIT_SUCCESS;
  } catch (const std::exception& e) {
    message_relay::log(std::string("message_relay: ") + e.what());
    return EXIT_FAILURE;
  }
}
