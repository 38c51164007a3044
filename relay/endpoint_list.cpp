#include "endpoint_list.hpp"

#include <charconv>

#include "clock.hpp"

namespace message_relay {

using namespace configuration;
using dispatch::EndpointStatus;

namespace {

// Converts wall time in milliseconds to steady time. 0 stays 0, which stands for a time long ago.
Time to_steady_time(std::int64_t wall_milliseconds) {
  const Time wall = 1000 * wall_milliseconds;
  return wall == 0 ? 0 : steady_now() - (wall_now() - wall);
}

ListedEndpoint read_listed_endpoint(const JsonValue& value, const std::string& path,
                                    const SettingNames& names) {
  as_object(value, path);
  ListedEndpoint listed;
  dispatch::Endpoint& endpoint = listed.endpoint;
  endpoint.id = read_member(value, "name", path, as_string);
  endpoint.status = parse_enum<EndpointStatus>(read_member(value, "status", path, as_string),
                                               {{"ready", EndpointStatus::active},
                                                {"draining", EndpointStatus::draining},
                                                {"gone", EndpointStatus::removed}},
                                               path + ".status");
  endpoint.destination = read_member(value, "group", path, as_int64);
  endpoint.zone = index_of(names.zones, read_member(value, "zone", path, as_string, ""));
  endpoint.kind = index_of(names.kinds, read_member(value, "type", path, as_string, ""));
  endpoint.weight = read_member(value, "weight", path, as_double, 1.0);
  endpoint.added_at = to_steady_time(read_member(value, "since_ms", path, as_int64, 0));
  listed.address = read_address(read_member(value, "address", path, as_string), path + ".address");
  return listed;
}

}  // namespace

boost::asio::ip::tcp::endpoint read_address(const std::string& text, const std::string& path) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) throw_field_error(path, "must be address:port");
  boost::system::error_code address_error;
  const auto address = boost::asio::ip::make_address(text.substr(0, colon), address_error);
  if (address_error) throw_field_error(path, "must hold a numeric address");
  std::uint16_t port = 0;
  const char *first = text.data() + colon + 1, *last = text.data() + text.size();
  const auto [end, error] = std::from_chars(first, last, port);
  if (error != std::errc() || end != last) throw_field_error(path, "must end in a port");
  return {address, port};
}

std::string format_address(const boost::asio::ip::tcp::endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

EndpointList read_endpoint_list(const JsonValue& value, const std::string& path, const SettingNames& names) {
  as_object(value, path);
  EndpointList list;
  list.version = read_member(value, "index", path, as_int64);
  list.is_snapshot = read_member(value, "snapshot", path, as_bool);
  const std::string entries_path = path + ".endpoints";
  const JsonValue& entries = as_array(required_member(value, "endpoints", path), entries_path);
  for (const JsonValue& entry : entries.GetArray())
    list.entries.push_back(read_listed_endpoint(entry, entries_path, names));
  return list;
}

}  // namespace message_relay
