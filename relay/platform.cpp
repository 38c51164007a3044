#include "platform.hpp"

#include <utility>

namespace message_relay {

Platform::Platform(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                   const configuration::SettingNames& names, const PlatformTimeouts& timeouts,
                   std::int64_t list_version, Listed listed, Lost lost, Noticed noticed)
    : discovery_(io, address, names, DiscoveryTimeouts{timeouts.list_response, timeouts.watch_silence},
                 list_version, std::move(listed), std::move(lost)),
      notices_(io, address, timeouts.notice_response, std::move(noticed)) {}

void Platform::relocate(const boost::asio::ip::tcp::endpoint& address) {
  discovery_.relocate(address);
  notices_.relocate(address);
}

}  // namespace message_relay
