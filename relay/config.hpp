// The configuration file that a relay starts with, as typed settings.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/dispatcher.hpp"
#include "endpoint_list.hpp"
#include "settings_reader.hpp"

namespace message_relay {

struct Config {
  std::string name;
  boost::asio::ip::tcp::endpoint listen;                    // for clients
  boost::asio::ip::tcp::endpoint discovery;                 // the platform's
  std::optional<boost::asio::ip::tcp::endpoint> operators;  // for operators; none: they can't call
  std::string state_folder;
  std::uint64_t seed = 0;

  // Connections: parts of the file descriptors that the process may hold.
  std::size_t client_connections = 0;
  std::size_t endpoint_connections = 0;  // calls in flight and idle ones together
  std::size_t operator_connections = 0;

  std::uint64_t memory_bytes = 0;
  std::uint64_t disk_bytes = 0;  // that the state folder may hold

  // Gossip between relays.
  std::optional<boost::asio::ip::udp::endpoint> peer_listen;
  std::optional<boost::asio::ip::udp::endpoint> peers_all;  // reaches every peer
  std::vector<boost::asio::ip::udp::endpoint> peers;        // by relay index

  dispatch::Settings settings;
  configuration::SettingNames setting_names;
  bool load_reports_in_responses = false;
  EndpointList cached_list;  // as last seen, until discovery sends one
};

// Reads everything but the state folder. Throws configuration::FieldError or std::invalid_argument, whose
// text names the field that can't be used.
[[nodiscard]] Config read_config(const std::string& json);

// Reads the file that the environment's LB_CONFIG names; LB_STATE names the state folder. Throws
// std::runtime_error where one is not set or the file can't be read, and as read_config() does.
[[nodiscard]] Config load_config();

}  // namespace message_relay
