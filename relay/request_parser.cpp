#include "request_parser.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <string>
#include <utility>

#include "clock.hpp"
#include "http_status.hpp"

namespace message_relay {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t kMaxIdBytes = 256;
constexpr std::size_t kMaxNameBytes = 256;
// A time to the deadline above this multiple of the class's deadline makes the request invalid: differing
// clocks cannot explain it.
constexpr Time kMaxDeadlineFactor = 2;
constexpr double kMicrosecondsPerMillisecond = 1000;

constexpr const char* kRequestIdHeader = "X-Request-Id";
constexpr const char* kClassHeader = "X-Class";
constexpr const char* kTenantHeader = "X-Tenant";
constexpr const char* kDeadlineHeader = "X-Deadline";
constexpr const char* kDestinationHeader = "X-Consignee";
constexpr const char* kIdempotencyKeyHeader = "Idempotency-Key";
constexpr const char* kResubmissionHeader = "X-Retry";

// The response status and the reason for which a request is rejected.
struct Rejection {
  unsigned status = 0;
  const char* reason = "";
};

template <class T>
std::optional<T> parse_number(beast::string_view text) {
  const char* const text_end = text.data() + text.size();
  T number{};
  const auto [end, error] = std::from_chars(text.data(), text_end, number);
  if (error != std::errc() || end != text_end) return std::nullopt;
  return number;
}

// Parses "480m" as milliseconds and "250000u" as microseconds. Returns microseconds, or nothing if the text
// is invalid or the duration is longer than `max_duration`.
std::optional<Time> parse_duration(beast::string_view text, Time max_duration) {
  if (text.size() < 2) return std::nullopt;
  const char unit = text.back();
  const auto number = parse_number<double>(text.substr(0, text.size() - 1));
  if (!number || !std::isfinite(*number) || *number < 0) return std::nullopt;
  if (unit != 'm' && unit != 'u') return std::nullopt;
  const double microseconds = *number * (unit == 'm' ? kMicrosecondsPerMillisecond : 1);
  if (microseconds > static_cast<double>(max_duration)) return std::nullopt;
  return static_cast<Time>(microseconds);
}

beast::string_view trim_spaces(beast::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
  return text;
}

// Returns the value of `dest` in "dest=7" or "a=1; dest=7", or nothing if it is missing or not a number.
std::optional<std::int64_t> parse_destination(beast::string_view text) {
  constexpr beast::string_view prefix = "dest=";
  while (!text.empty()) {
    const auto end = std::min(text.find_first_of(";,"), text.size());
    const auto field = trim_spaces(text.substr(0, end));
    if (field.starts_with(prefix)) return parse_number<std::int64_t>(field.substr(prefix.size()));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return std::nullopt;
}

// Only visible ASCII is valid, because ids are copied to headers, JSON and the log.
bool is_valid_id(beast::string_view id) {
  const auto is_visible = [](char c) { return c > ' ' && c < '\x7f'; };
  return !id.empty() && id.size() <= kMaxIdBytes && std::all_of(id.begin(), id.end(), is_visible);
}

// The path of a request: "/class" or "/class/order-key".
struct RequestPath {
  beast::string_view message_class;
  beast::string_view order_key;
};

RequestPath split_path(beast::string_view target) {
  auto path = target.substr(0, target.find('?'));
  if (path.starts_with('/')) path.remove_prefix(1);
  const auto separator = path.find('/');
  if (separator == beast::string_view::npos) return {path, {}};
  return {path.substr(0, separator), path.substr(separator + 1)};
}

bool has_repeated_header(const Request& request) {
  const auto headers = {kRequestIdHeader, kClassHeader,       kTenantHeader,
                        kDeadlineHeader,  kDestinationHeader, kIdempotencyKeyHeader};
  return std::any_of(headers.begin(), headers.end(),
                     [&](const char* header) { return request.count(header) > 1; });
}

// Checks the headers and parts of the path that are copied unchanged to the message. Returns nothing if all
// are valid.
std::optional<Rejection> check_identifiers(const Request& request, const RequestPath& path,
                                           const configuration::SettingNames& names) {
  const auto declared_class = request[kClassHeader];
  if (!declared_class.empty() && declared_class != path.message_class)
    return Rejection{kStatusBadRequest, "class header differs from the path"};
  if (!is_valid_id(request[kRequestIdHeader])) return Rejection{kStatusBadRequest, "invalid request id"};
  const auto tenant = request[kTenantHeader];
  const bool is_known_tenant = names.tenants.empty() || names.tenants.contains(std::string(tenant));
  if (tenant.size() > kMaxNameBytes || !is_known_tenant)
    return Rejection{kStatusBadRequest, "unknown tenant"};
  const auto idempotency_key = request[kIdempotencyKeyHeader];
  if (!idempotency_key.empty() && !is_valid_id(idempotency_key))
    return Rejection{kStatusBadRequest, "invalid idempotency key"};
  if (path.order_key.size() > kMaxNameBytes) return Rejection{kStatusBadRequest, "invalid order key"};
  return std::nullopt;
}

ParsedRequest make_rejected(const Rejection& rejection) {
  ParsedRequest parsed;
  parsed.rejection_status = rejection.status;
  parsed.rejection_reason = rejection.reason;
  return parsed;
}

}  // namespace

ParsedRequest parse_request(Request& request, const dispatch::Settings& settings,
                            const configuration::SettingNames& names) {
  const RequestPath path = split_path(request.target());
  const auto found_class = names.classes.find(std::string(path.message_class));
  if (found_class == names.classes.end()) return make_rejected({kStatusNotFound, "unknown class"});
  const auto& class_settings = settings.classes[static_cast<std::size_t>(found_class->second)];
  if (request.method() != http::verb::post)
    return make_rejected({kStatusMethodNotAllowed, "method not allowed"});
  if (has_repeated_header(request)) return make_rejected({kStatusBadRequest, "repeated header"});
  if (const auto rejection = check_identifiers(request, path, names)) return make_rejected(*rejection);
  const auto destination = parse_destination(request[kDestinationHeader]);
  if (!destination) return make_rejected({kStatusBadRequest, "invalid destination"});
  const auto time_to_deadline =
      parse_duration(request[kDeadlineHeader], kMaxDeadlineFactor * class_settings.deadline);
  if (!time_to_deadline) return make_rejected({kStatusBadRequest, "invalid deadline"});

  ParsedRequest parsed;
  Message& message = parsed.message;
  message.id = std::string(request[kRequestIdHeader]);
  message.message_class = std::string(path.message_class);
  message.tenant = std::string(request[kTenantHeader]);
  message.destination = *destination;
  message.deadline = journal_now() + *time_to_deadline;
  message.idempotency_key = std::string(request[kIdempotencyKeyHeader]);
  if (class_settings.ordered) message.order_key = std::string(path.order_key);
  message.resubmitted = request[kResubmissionHeader] == "1";
  message.body = std::move(request.body());
  return parsed;
}

}  // namespace message_relay
