// Reading discovery's list: the stream of values, the parser, the endpoints; and the longest list that is
// read.
#include <rapidjson/document.h>

#include <algorithm>
#include <optional>
#include <stdexcept>

#include "endpoint_catalogue.hpp"
#include "endpoint_list.hpp"
#include "json_stream_splitter.hpp"
#include "resource_meters.hpp"
#include "slopes.hpp"

namespace scale_tool {
namespace {

constexpr std::size_t kPiece = 64 * 1024;  // bytes that one read of the socket brings at most

std::string streamed(const std::string& list) {
  message_relay::JsonStreamSplitter stream;
  std::optional<std::string> value;
  for (std::size_t at = 0; at < list.size(); at += kPiece) {
    stream.append(list.substr(at, kPiece));
    value = stream.next();
  }
  if (!value) throw std::runtime_error("list: no whole value was found");
  return *value;
}

struct Reading {
  double parse = 0, read = 0;                // us
  std::int64_t parsed_bytes = 0, bytes = 0;  // the parser's memory while it reads; what is kept of it
};

Reading read(const std::string& list, const configuration::SettingNames& names) {
  Reading reading;
  rapidjson::Document v;
  reading.parse = time_of([&] { v.Parse<rapidjson::kParseIterativeFlag>(list.data(), list.size()); });
  reading.parsed_bytes = static_cast<std::int64_t>(v.GetAllocator().Capacity());
  const std::int64_t before = allocated().bytes;
  message_relay::EndpointList members;
  reading.read = time_of([&] { members = message_relay::read_endpoint_list(v, "members", names); });
  reading.bytes = allocated().bytes - before;
  return reading;
}

}  // namespace

void list_slopes(Slopes& out) {
  const auto& set = out.set;
  configuration::SettingNames names;
  names.zones.emplace("a", 0), names.kinds.emplace("small", 0);
  for (const auto n : set.endpoints) {
    const std::string list = catalogue(n, set.endpoints_per_destination);
    out.add("whole list, bytes", kEndpoints, n, static_cast<double>(list.size()));
    out.add("streamed, us", kEndpoints, n,
            median_of(set.repetitions, [&] { return time_of([&] { streamed(list); }); }));
    std::vector<double> parse, read_times;
    Reading last;
    for (std::int64_t i = 0; i < set.repetitions; i++) {
      last = read(list, names);
      parse.push_back(last.parse), read_times.push_back(last.read);
    }
    out.add("parsed, us", kEndpoints, n, median(parse));
    out.add("read, us", kEndpoints, n, median(read_times));
    out.add("the parser's memory, bytes", kEndpoints, n, static_cast<double>(last.parsed_bytes));
    out.add("members, bytes", kEndpoints, n, static_cast<double>(last.bytes));
  }
  out.reach("whole list, bytes", kEndpoints, static_cast<double>(set.list_limit_bytes));
}

}  // namespace scale_tool
