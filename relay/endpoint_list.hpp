// The list of endpoints in discovery's form, as the configuration and the platform give it.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "dispatch/dispatcher.hpp"
#include "settings_reader.hpp"

namespace message_relay {

struct ListedEndpoint {
  dispatch::Endpoint endpoint;
  boost::asio::ip::tcp::endpoint address;
};

struct EndpointList {
  std::int64_t version = 0;
  bool is_snapshot = false;  // the whole list, else what changed
  std::vector<ListedEndpoint> entries;
};

// Throws FieldError, naming the field, on what can't be read.
EndpointList read_endpoint_list(const configuration::JsonValue& v, const std::string& path,
                                const configuration::SettingNames& names);

// "127.0.0.1:8081"; throws FieldError naming `path`.
boost::asio::ip::tcp::endpoint read_address(const std::string& text, const std::string& path);
// The form that read_address() reads, for IPv4.
std::string format_address(const boost::asio::ip::tcp::endpoint& address);

}  // namespace message_relay
