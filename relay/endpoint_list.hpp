// The endpoint list in the JSON format of discovery, as the configuration and the platform provide it.
//
// Discovery defines the keys and values of the format.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "dispatch/dispatcher.hpp"
#include "settings_reader.hpp"

namespace message_relay {

// An entry of the list.
struct ListedEndpoint {
  dispatch::Endpoint endpoint;
  boost::asio::ip::tcp::endpoint address;
};

struct EndpointList {
  std::int64_t version = 0;  // assigned by discovery
  bool is_snapshot = false;  // the complete list; otherwise only the entries that changed
  std::vector<ListedEndpoint> entries;
};

// `path` is the location of `value` in its document. Throws FieldError with the path of a field that is
// missing or invalid.
[[nodiscard]] EndpointList read_endpoint_list(const configuration::JsonValue& value, const std::string& path,
                                              const configuration::SettingNames& names);

// Parses "127.0.0.1:8081". Throws FieldError with `path` if the text has another form.
[[nodiscard]] boost::asio::ip::tcp::endpoint read_address(const std::string& text, const std::string& path);
// Formats an address. read_address() parses the result for IPv4.
[[nodiscard]] std::string format_address(const boost::asio::ip::tcp::endpoint& address);

}  // namespace message_relay
