// The list of endpoints in discovery's form, as the configuration and the platform give it.
//
// Keys and words of the form are discovery's.
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
  std::int64_t version = 0;  // discovery's
  bool is_snapshot = false;  // the complete list; otherwise what changed
  std::vector<ListedEndpoint> entries;
};

// Throws FieldError, naming the field, on what can't be read.
[[nodiscard]] EndpointList read_endpoint_list(const configuration::JsonValue& value, const std::string& path,
                                              const configuration::SettingNames& names);

// "127.0.0.1:8081"; throws FieldError naming `path`.
[[nodiscard]] boost::asio::ip::tcp::endpoint read_address(const std::string& text, const std::string& path);
// The form that read_address() reads, for IPv4.
[[nodiscard]] std::string format_address(const boost::asio::ip::tcp::endpoint& address);

}  // namespace message_relay
