// Reading the endpoint list of discovery: the splitter of the stream, the JSON parser, the endpoints; and the
// longest list that is read.
#include <rapidjson/document.h>

#include <optional>
#include <stdexcept>

#include "endpoint_catalogue.hpp"
#include "endpoint_list.hpp"
#include "json_stream_splitter.hpp"
#include "resource_meters.hpp"
#include "slopes.hpp"

namespace scale_tool {
namespace {

constexpr std::size_t kMaxReadBytes = 65'536;  // that one read of the socket brings

// The list as it comes out of a stream. Throws std::runtime_error where it does not.
std::string split_from_stream(const std::string& list) {
  message_relay::JsonStreamSplitter stream;
  std::optional<std::string> value;
  for (std::size_t offset = 0; offset < list.size(); offset += kMaxReadBytes) {
    stream.append(list.substr(offset, kMaxReadBytes));
    value = stream.next();
  }
  if (!value) throw std::runtime_error("list: no whole value was found");
  return *value;
}

Costs read_costs(const std::string& list, const configuration::SettingNames& names) {
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
    recorder.add_medians(SizeKind::listed_endpoints, count, [&] { return read_costs(list, names); });
  }
  recorder.report_size_reaching(SizeKind::listed_endpoints, "whole list, bytes",
                                static_cast<double>(settings.max_list_bytes));
}

}  // namespace scale_tool
