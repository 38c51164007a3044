// Client of the platform: the discovery of endpoints, and the notices of final answers, at one address.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "discovery_client.hpp"
#include "endpoint_list.hpp"
#include "final_notice_sender.hpp"
#include "message.hpp"
#include "settings_reader.hpp"

namespace message_relay {

struct PlatformTimeouts {
  std::chrono::microseconds list_response;    // see DiscoveryTimeouts
  std::chrono::microseconds watch_silence;    // see DiscoveryTimeouts
  std::chrono::microseconds notice_response;  // see FinalNoticeSender
};

// The discovery client and the sender of final notices behind one interface.
class Platform {
 public:
  using Listed = DiscoveryClient::ListHandler;
  using Lost = DiscoveryClient::LossHandler;
  using Noticed = FinalNoticeSender::AcknowledgementHandler;

  Platform(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
           const configuration::SettingNames& names, const PlatformTimeouts& timeouts,
           std::int64_t list_version, Listed listed, Lost lost, Noticed noticed);

  // See DiscoveryClient.
  void watch() { discovery_.watch(); }
  void unwatch() { discovery_.unwatch(); }
  void fetch() { discovery_.fetch(); }
  std::int64_t list_version() const { return discovery_.list_version(); }

  // See FinalNoticeSender.
  void send_final_notice(MessageId number, const std::string& client_id, const FinalAnswer& final_answer) {
    notices_.send(number, client_id, final_answer);
  }
  bool has_pending_notices() const { return notices_.has_pending(); }

  // The platform is found elsewhere from now on.
  void relocate(const boost::asio::ip::tcp::endpoint& address);

 private:
  DiscoveryClient discovery_;
  FinalNoticeSender notices_;
};

}  // namespace message_relay
