// Client of the platform, which offers the discovery of endpoints and receives final notices at one address.
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

// Timeouts of the requests to the platform.
struct PlatformTimeouts {
  std::chrono::microseconds list_response;    // see DiscoveryTimeouts
  std::chrono::microseconds watch_silence;    // see DiscoveryTimeouts
  std::chrono::microseconds notice_response;  // see FinalNoticeSender
};

// Combines the discovery client and the sender of final notices.
class Platform {
 public:
  using ListHandler = DiscoveryClient::ListHandler;
  using LossHandler = DiscoveryClient::LossHandler;
  using AcknowledgementHandler = FinalNoticeSender::AcknowledgementHandler;

  Platform(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
           const configuration::SettingNames& names, const PlatformTimeouts& timeouts,
           std::int64_t list_version, MemoryAccount& memory, ListHandler on_list, LossHandler on_loss,
           AcknowledgementHandler on_acknowledged);

  // See DiscoveryClient.
  void watch() { discovery_.watch(); }
  void cancel_watch() { discovery_.cancel_watch(); }
  void fetch() { discovery_.fetch(); }
  std::int64_t list_version() const { return discovery_.list_version(); }

  // See FinalNoticeSender.
  void send_final_notice(MessageId id, const std::string& client_id, const FinalAnswer& final_answer) {
    notices_.send(id, client_id, final_answer);
  }
  bool has_pending_notices() const { return notices_.has_pending(); }

  // Changes the address of both the discovery client and the sender of final notices.
  void relocate(const boost::asio::ip::tcp::endpoint& address);

 private:
  DiscoveryClient discovery_;
  FinalNoticeSender notices_;
};

}  // namespace message_relay
