#include "config.hpp"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include "http_framing.hpp"
#include "process_memory.hpp"

namespace message_relay {

using namespace configuration;

namespace {

// Begins the path of each field in error messages.
const std::string kRoot = "config";

// Number of descriptors for other uses than connections of clients and to endpoints: standard streams, the
// event loop, signals, the journal's files, discovery, gossip, the listening socket, and the connection of a
// client that is being rejected.
constexpr std::size_t kReservedDescriptors = 24;
constexpr int kMinDescriptors = 64;
// There is one operator connection for each 16 descriptors, up to the maximum. The listening socket for
// operators needs one more descriptor.
constexpr std::size_t kDescriptorsPerOperator = 16;
constexpr std::size_t kMaxOperatorConnections = 16;
// A megabyte means 10^6 bytes here. That is the smaller of its two usual meanings, so a limit holds under
// both.
constexpr double kBytesPerMegabyte = 1e6;
constexpr int kHexadecimalBase = 16;
// The brackets around the entries of a call with several messages.
constexpr std::size_t kBatchBracketBytes = 2;

using TcpEndpoint = boost::asio::ip::tcp::endpoint;
using UdpEndpoint = boost::asio::ip::udp::endpoint;

rapidjson::Document parse_json(const std::string& json) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(json.data(), json.size());
  if (document.HasParseError()) {
    const std::string problem = rapidjson::GetParseError_En(document.GetParseError());
    const std::string position = " at byte " + std::to_string(document.GetErrorOffset());
    throw_field_error(kRoot, (problem + position).c_str());
  }
  as_object(document, kRoot);
  return document;
}

TcpEndpoint as_tcp_endpoint(const JsonValue& value, const std::string& path) {
  return read_address(as_string(value, path), path);
}

UdpEndpoint as_udp_endpoint(const JsonValue& value, const std::string& path) {
  const TcpEndpoint address = as_tcp_endpoint(value, path);
  return {address.address(), address.port()};
}

template <class Read>
auto read_optional(const JsonValue& object, const char* name, Read read)
    -> std::optional<decltype(read(object, kRoot))> {
  const JsonValue* value = find_member(object, name);
  if (value == nullptr) return std::nullopt;
  return read(*value, kRoot + "." + name);
}

std::uint64_t as_megabytes(const JsonValue& value, const std::string& path) {
  const double megabytes = as_double(value, path);
  if (!(megabytes > 0 && megabytes < 1e9))
    throw_field_error(path, "must be above 0 and below 1e9 (megabytes)");
  return static_cast<std::uint64_t>(megabytes * kBytesPerMegabyte);
}

std::uint64_t as_seed(const JsonValue& value, const std::string& path) {
  const std::string text = as_string(value, path);
  std::uint64_t seed = 0;
  const char* text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, seed, kHexadecimalBase);
  if (error != std::errc() || end != text_end) throw_field_error(path, "must be a 64-bit hexadecimal number");
  return seed;
}

// Divides the descriptors among connections of clients, to endpoints and of operators.
void allocate_descriptors(std::size_t descriptors, Config& config) {
  std::size_t reserved = kReservedDescriptors;
  if (config.operator_address) {
    config.operator_connections = std::min(descriptors / kDescriptorsPerOperator, kMaxOperatorConnections);
    reserved += config.operator_connections + 1;
  }
  config.client_connections = (descriptors - reserved) / 2;
  config.endpoint_connections = descriptors - reserved - config.client_connections;
}

void read_limits(const JsonValue& root, Config& config) {
  const std::string path = kRoot + ".limits";
  const JsonValue& limits = as_object(required_member(root, "limits", kRoot), path);
  const int descriptors = read_member(limits, "sockets", path, as_int);
  if (descriptors < kMinDescriptors) throw_field_error(path + ".sockets", "must be at least 64");
  config.operator_address = read_optional(root, "operator", as_tcp_endpoint);
  config.descriptors = static_cast<std::size_t>(descriptors);
  allocate_descriptors(config.descriptors, config);
  config.memory_bytes = read_member(limits, "memory_mb", path, as_megabytes);
  config.disk_bytes = file_budget(config.memory_bytes, read_member(limits, "disk_mb", path, as_megabytes));
}

void read_gossip(const JsonValue& root, Config& config) {
  config.peer_listen_address = read_optional(root, "peer_listen", as_udp_endpoint);
  config.peer_broadcast_address = read_optional(root, "peers_all", as_udp_endpoint);
  const JsonValue* peers = find_member(root, "peers");
  if (peers == nullptr) return;
  const std::string path = kRoot + ".peers";
  for (const JsonValue& peer : as_array(*peers, path).GetArray())
    config.peer_addresses.push_back(as_udp_endpoint(peer, path));
}

// Reads the dispatcher's settings and adapts them to a relay that works on sockets with limited descriptors.
void read_dispatcher_settings(const JsonValue& root, Config& config) {
  const std::string path = kRoot + ".settings";
  const JsonValue& value = required_member(root, "settings", kRoot);
  dispatch::Settings& settings = config.settings;
  settings = read_settings(value, path, config.setting_names);
  dispatch::validate(settings);
  // Over sockets nothing arrives without a request. Even where the settings say that changes of the list are
  // pushed, they come over a watch, which the relay has to open, and to reopen whenever it ends.
  settings.list_is_pushed = !settings.subscribes_to_list;
  settings.subscribes_to_list = true;
  settings.max_batch_bytes = static_cast<std::int64_t>(kMaxBodyBytes - kBatchBracketBytes);
  // Each call in flight needs a descriptor.
  settings.max_calls_in_flight =
      std::min(settings.max_calls_in_flight, static_cast<int>(config.endpoint_connections));
  if (const JsonValue* report = find_member(value, "Report"))
    config.load_reports_in_responses =
        read_member(*report, "How", path + ".Report", as_string, "none") == "answers";
}

std::string environment_variable(const char* name) {
  const char* value = std::getenv(name);
  if (value == nullptr || *value == '\0') throw std::runtime_error(std::string(name) + ": not set");
  return value;
}

}  // namespace

Config read_config(const std::string& json) {
  const rapidjson::Document root = parse_json(json);
  Config config;
  config.name = read_member(root, "name", kRoot, as_string);
  config.listen_address = read_member(root, "listen", kRoot, as_tcp_endpoint);
  config.discovery_address = read_member(root, "discovery", kRoot, as_tcp_endpoint);
  config.seed = read_member(root, "seed", kRoot, as_seed);
  read_limits(root, config);
  read_gossip(root, config);
  read_dispatcher_settings(root, config);
  if (const JsonValue* known = find_member(root, "known"))
    config.cached_list = read_endpoint_list(*known, kRoot + ".known", config.setting_names);
  return config;
}

Config load_config() {
  const std::string path = environment_variable("LB_CONFIG");
  std::ifstream in(path, std::ios::binary);
  if (!in) throw std::runtime_error("LB_CONFIG: can't read " + path);
  Config config = read_config({std::istreambuf_iterator<char>(in), {}});
  config.state_folder = environment_variable("LB_STATE");
  config.program_bytes = program_bytes();
  return config;
}

}  // namespace message_relay
