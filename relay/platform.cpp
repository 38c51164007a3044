#include "platform.hpp"

#include <utility>

namespace message_relay {

Platform::Platform(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                   const configuration::SettingNames& names, const PlatformTimeouts& timeouts,
                   std::int64_t list_version, MemoryAccount& memory, ListHandler on_list, LossHandler on_loss,
                   AcknowledgementHandler on_acknowledged)
    : discovery_(io, address, names, DiscoveryTimeouts{timeouts.list_response, timeouts.watch_silence},
                 list_version, memory, std::move(on_list), std::move(on_loss)),
      notices_(io, address, timeouts.notice_response, std::move(on_acknowledged)) {}

void Platform::relocate(const boost::asio::ip::tcp::endpoint& address) {
  discovery_.relocate(address);
  notices_.relocate(address);
}

}  // namespace message_relay
