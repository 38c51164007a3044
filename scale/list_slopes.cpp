// Measures how the endpoint list of discovery is read: splitting the stream, parsing the JSON and reading the
// endpoints. Also reports the number of endpoints at which the list reaches its maximum length.
#include <rapidjson/document.h>

#include <optional>
#include <stdexcept>
#include <string>

#include "endpoint_catalogue.hpp"
#include "endpoint_list.hpp"
#include "json_stream_splitter.hpp"
#include "resource_meters.hpp"
#include "slopes.hpp"

namespace scale_tool {
namespace {

constexpr std::size_t kSocketReadBytes = 65'536;  // of the list in one read of the socket, at most

// Splits the list from a stream of socket reads and returns it. Throws std::runtime_error if the splitter
// does not return it after the last read.
std::string split_from_stream(const std::string& list) {
  message_relay::JsonStreamSplitter splitter;
  std::optional<std::string> value;
  for (std::size_t offset = 0; offset < list.size(); offset += kSocketReadBytes) {
    splitter.append(list.substr(offset, kSocketReadBytes));
    value = splitter.next();
  }
  if (!value)
    throw std::runtime_error("list: expected a complete JSON value in a stream of " +
                             std::to_string(list.size()) + " bytes, found none");
  return *value;
}

Costs parse_and_read_costs(const std::string& list, const configuration::SettingNames& names) {
  rapidjson::Document document;
  const double parse_time =
      cpu_time_of([&] { document.Parse<rapidjson::kParseIterativeFlag>(list.data(), list.size()); });
  const auto parser_bytes = static_cast<double>(document.GetAllocator().Capacity());
  const std::int64_t bytes_before = allocated_memory().bytes;
  message_relay::EndpointList endpoints;
  const double read_time =
      cpu_time_of([&] { endpoints = message_relay::read_endpoint_list(document, "members", names); });
  const auto endpoint_bytes = static_cast<double>(allocated_memory().bytes - bytes_before);
  return {{"parsed, us", parse_time},
          {"read, us", read_time},
          {"the parser's memory, bytes", parser_bytes},
          {"members, bytes", endpoint_bytes}};
}

}  // namespace

void measure_endpoint_list(SlopeRecorder& recorder) {
  const SlopesSettings& settings = recorder.settings();
  configuration::SettingNames names;
  names.zones.emplace("a", 0);
  names.kinds.emplace("small", 0);
  for (const auto count : settings.listed_endpoints) {
    const std::string list = list_snapshot(count, settings.endpoints_per_destination);
    recorder.add(SizeKind::listed_endpoints, count, {"whole list, bytes", static_cast<double>(list.size())});
    const double split_time = median_of(settings.repetitions, [&] {
      return cpu_time_of([&] { static_cast<void>(split_from_stream(list)); });
    });
    recorder.add(SizeKind::listed_endpoints, count, {"streamed, us", split_time});
    recorder.add_medians(SizeKind::listed_endpoints, count,
                         [&] { return parse_and_read_costs(list, names); });
  }
  recorder.report_size_reaching(SizeKind::listed_endpoints, "whole list, bytes",
                                static_cast<double>(settings.max_list_bytes));
}

}  // namespace scale_tool
