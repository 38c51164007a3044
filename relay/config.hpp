// Reads the configuration file of a relay into typed settings.
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

// The settings that a relay runs with.
struct Config {
  std::string name;
  boost::asio::ip::tcp::endpoint listen_address;     // where clients connect
  boost::asio::ip::tcp::endpoint discovery_address;  // where the platform's discovery listens
  // Where operators connect. std::nullopt: the relay accepts no operator commands.
  std::optional<boost::asio::ip::tcp::endpoint> operator_address;
  std::string state_folder;
  std::uint64_t seed = 0;  // of the dispatcher's random numbers

  // Maximum numbers of connections. They are shares of the file descriptors that the process may hold.
  std::size_t client_connections = 0;
  std::size_t endpoint_connections = 0;  // calls in flight and idle connections together
  std::size_t operator_connections = 0;

  std::size_t descriptors = 0;  // that the process may hold
  std::uint64_t memory_bytes = 0;
  std::size_t program_bytes = 0;  // memory that the process takes before peers make it hold any
  // Maximum size of the state folder. Its files count as memory, so this is a share of the memory at most.
  std::uint64_t disk_bytes = 0;

  // Gossip between relays.
  std::optional<boost::asio::ip::udp::endpoint> peer_listen_address;
  std::optional<boost::asio::ip::udp::endpoint> peer_broadcast_address;  // reaches every peer
  std::vector<boost::asio::ip::udp::endpoint> peer_addresses;            // indexed by the peer's relay index

  dispatch::Settings settings;
  configuration::SettingNames setting_names;
  bool load_reports_in_responses = false;
  EndpointList cached_list;  // the last known list, used until discovery sends one
};

// Parses a configuration; everything except `state_folder` is set. Throws configuration::FieldError or
// std::invalid_argument, whose text names the invalid field.
[[nodiscard]] Config read_config(const std::string& json);

// Reads the file that the environment variable LB_CONFIG names; LB_STATE names the state folder. Throws
// std::runtime_error if either variable is not set or the file can't be read, and the exceptions of
// read_config().
[[nodiscard]] Config load_config();

}  // namespace message_relay
