#include "endpoint_list.hpp"

#include <charconv>

#include "clock.hpp"

namespace message_relay {

using namespace configuration;
using dispatch::EndpointStatus;

boost::asio::ip::tcp::endpoint read_address(const std::string& text, const std::string& path) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) throw_field_error(path, "must be address:port");
  boost::system::error_code bad;
  const auto address = boost::asio::ip::make_address(text.substr(0, colon), bad);
  if (bad) throw_field_error(path, "must hold a numeric address");
  std::uint16_t port = 0;
  const char *first = text.data() + colon + 1, *last = text.data() + text.size();
  const auto [end, error] = std::from_chars(first, last, port);
  if (error != std::errc() || end != last) throw_field_error(path, "must end in a port");
  return {address, port};
}

std::string format_address(const boost::asio::ip::tcp::endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

EndpointList read_endpoint_list(const JsonValue& v, const std::string& path, const SettingNames& names) {
  as_object(v, path);
  EndpointList list;
  list.version = read_member(v, "index", path, as_integer);
  list.is_snapshot = read_member(v, "snapshot", path, as_bool);
  const std::string where = path + ".endpoints";
  for (const auto& e : as_array(required_member(v, "endpoints", path), where).GetArray()) {
    as_object(e, where);
    ListedEndpoint m;
    m.endpoint.id = read_member(e, "name", where, as_string);
    m.endpoint.status = parse_enum<EndpointStatus>(read_member(e, "status", where, as_string),
                                                   {{"ready", EndpointStatus::active},
                                                    {"draining", EndpointStatus::draining},
                                                    {"gone", EndpointStatus::removed}},
                                                   where + ".status");
    m.endpoint.destination = read_member(e, "group", where, as_integer);
    m.endpoint.zone = index_of(names.zones, read_member(e, "zone", where, as_string, ""));
    m.endpoint.kind = index_of(names.kinds, read_member(e, "type", where, as_string, ""));
    m.endpoint.weight = read_member(e, "weight", where, as_double, 1.0);
    const Time since = 1000 * read_member(e, "since_ms", where, as_integer, 0);
    m.endpoint.added_at = since == 0 ? 0 : steady_now() - (wall_now() - since);
    m.address = read_address(read_member(e, "address", where, as_string), where + ".address");
    list.entries.push_back(std::move(m));
  }
  return list;
}

}  // namespace message_relay
