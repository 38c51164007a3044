// message_relay: one relay on real sockets. LB_CONFIG names its configuration, LB_STATE the folder that
// lasts. SIGTERM and SIGINT drain and end it, SIGHUP has the configuration read again. Started next to one
// that runs on the same folder, it takes over from it.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <functional>

#include "config.hpp"
#include "handover.hpp"
#include "log.hpp"
#include "relay.hpp"

namespace {

// A file that can't be read changes nothing.
void reload(message_relay::Relay& relay) {
  try {
    relay.reconfigure(message_relay::load_config());
  } catch (const std::exception& e) {
    message_relay::log(std::string("configuration: not reloaded: ") + e.what());
  }
}

}  // namespace

int main() {
  try {
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context io(1);
    const message_relay::Config config = message_relay::load_config();
    // While another process still owns the folder, a signal ends this one, which owes nothing yet.
    message_relay::StartupOwnership possession = message_relay::acquire_ownership(config.state_folder);
    // Before anything slow: a signal that comes while the journal is read waits for the loop.
    boost::asio::signal_set ends(io, SIGTERM, SIGINT), reloads(io, SIGHUP);
    message_relay::Relay relay(io, config, std::move(possession));
    ends.async_wait([&](boost::system::error_code bad, int) {
      if (!bad) relay.stop([&io] { io.stop(); });
    });
    const std::function<void()> await_reload = [&] {
      reloads.async_wait([&](boost::system::error_code bad, int) {
        if (bad) return;
        reload(relay);
        await_reload();
      });
    };
    await_reload();
    io.run();
    return 0;
  } catch (const std::exception& e) {
    message_relay::log(std::string("message_relay: ") + e.what());
    return 1;
  }
}
