#include "config.hpp"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace message_relay {

using namespace configuration;

namespace {

// Descriptors that are no connections of clients or to endpoints: standard streams, the event loop, signals,
// the journal's files, discovery, datagrams, the one that listens; one that is turned away.
constexpr std::size_t kOtherFiles = 24;
// Of every so many descriptors one is for an operator, up to so many; and one more that listens for them.
constexpr std::size_t kOperatorPart = 16, kMostOperators = 16;

boost::asio::ip::udp::endpoint udp(const std::string& text, const std::string& path) {
  const auto address = read_address(text, path);
  return {address.address(), address.port()};
}

std::string environment(const char* name) {
  const char* value = std::getenv(name);
  if (value == nullptr || *value == '\0') throw std::runtime_error(std::string(name) + ": not set");
  return value;
}

std::uint64_t whole_above_zero(const JsonValue& v, const std::string& path) {
  const double number = as_double(v, path);
  if (!(number > 0 && number < 1e9)) throw_field_error(path, "must be above 0");
  return static_cast<std::uint64_t>(number * 1e6);
}

}  // namespace

Config read_config(const std::string& json) {
  rapidjson::Document v;
  v.Parse<rapidjson::kParseIterativeFlag>(json.data(), json.size());
  if (v.HasParseError())
    throw_field_error("config", (std::string(rapidjson::GetParseError_En(v.GetParseError())) + " at byte " +
                                 std::to_string(v.GetErrorOffset()))
                                    .c_str());
  const std::string path = "config";
  as_object(v, path);
  Config c;
  c.name = read_member(v, "name", path, as_string);
  c.listen = read_address(read_member(v, "listen", path, as_string), path + ".listen");
  c.discovery = read_address(read_member(v, "discovery", path, as_string), path + ".discovery");
  const std::string seed = read_member(v, "seed", path, as_string);
  const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), c.seed, 16);
  if (error != std::errc() || end != seed.data() + seed.size())
    throw_field_error(path + ".seed", "must be 64 bits in hexadecimal");
  const JsonValue& limits = as_object(required_member(v, "limits", path), path + ".limits");
  const int sockets = read_member(limits, "sockets", path + ".limits", as_int);
  if (sockets < 64) throw_field_error(path + ".limits.sockets", "must be 64 or more");
  const auto files = static_cast<std::size_t>(sockets);
  std::size_t others = kOtherFiles;
  if (const JsonValue* o = find_member(v, "operator")) {
    c.operators = read_address(as_string(*o, path + ".operator"), path + ".operator");
    c.operator_connections = std::min(files / kOperatorPart, kMostOperators);
    others += c.operator_connections + 1;
  }
  c.client_connections = (files - others) / 2;
  c.endpoint_connections = files - others - c.client_connections;
  c.memory_bytes = read_member(limits, "memory_mb", path + ".limits", whole_above_zero);
  // Taken as 10^6 bytes, the smaller of the two readings of a megabyte.
  c.disk_bytes = read_member(limits, "disk_mb", path + ".limits", whole_above_zero);
  if (const JsonValue* p = find_member(v, "peer_listen"))
    c.peer_listen = udp(as_string(*p, path + ".peer_listen"), path + ".peer_listen");
  if (const JsonValue* p = find_member(v, "peers_all"))
    c.peers_all = udp(as_string(*p, path + ".peers_all"), path + ".peers_all");
  if (const JsonValue* peers = find_member(v, "peers"))
    for (const auto& p : as_array(*peers, path + ".peers").GetArray())
      c.peers.push_back(udp(as_string(p, path + ".peers"), path + ".peers"));
  const JsonValue& settings = required_member(v, "settings", path);
  c.settings = read_settings(settings, path + ".settings", c.setting_names);
  dispatch::validate(c.settings);
  // On sockets nothing comes unasked: also where the settings say that changes do, they come by a watch,
  // which is to be opened, and opened again once it ends.
  c.settings.list_is_pushed = !c.settings.subscribes_to_list;
  c.settings.subscribes_to_list = true;
  // However many calls may be out, each needs a descriptor.
  c.settings.max_calls_in_flight =
      std::min(c.settings.max_calls_in_flight, static_cast<int>(c.endpoint_connections));
  if (const JsonValue* report = find_member(settings, "Report"))
    c.load_reports_in_responses =
        read_member(*report, "How", path + ".settings.Report", as_string, "none") == "answers";
  if (const JsonValue* known = find_member(v, "known"))
    c.cached_list = read_endpoint_list(*known, path + ".known", c.setting_names);
  return c;
}

Config load_config() {
  const std::string file = environment("LB_CONFIG");
  std::ifstream in(file, std::ios::binary);
  if (!in) throw std::runtime_error("LB_CONFIG: can't read " + file);
  Config c = read_config({std::istreambuf_iterator<char>(in), {}});
  c.state_folder = environment("LB_STATE");
  return c;
}

}  // namespace message_relay
