#include "event_reader.hpp"

#include <utility>

#include "wire_words.hpp"

namespace simulator_adapter {
namespace {

namespace event = dispatch::event;
using configuration::as_array;
using configuration::as_bool;
using configuration::as_double;
using configuration::as_int;
using configuration::as_int64;
using configuration::as_object;
using configuration::as_string;
using configuration::as_uint64;
using configuration::find_member;
using configuration::index_of;
using configuration::JsonValue;
using configuration::parse_enum;
using configuration::read_member;
using configuration::required_member;
using configuration::SettingNames;
using configuration::throw_field_error;
using dispatch::Endpoint;
using dispatch::EndpointStatus;
using dispatch::Event;
using dispatch::LoadReport;
using dispatch::Outcome;

constexpr dispatch::Time kMicrosecondsPerMillisecond = 1000;

Outcome read_outcome(const JsonValue& value, const std::string& path) {
  switch (static_cast<OutcomeCode>(as_int64(value, path))) {
    case OutcomeCode::succeeded:
      return Outcome::succeeded;
    case OutcomeCode::error:
      return Outcome::error;
    case OutcomeCode::rejected:
      return Outcome::rejected;
    case OutcomeCode::timeout:
      return Outcome::timeout;
    case OutcomeCode::connect_failed:
      return Outcome::connect_failed;
    case OutcomeCode::reset:
      return Outcome::reset;
    case OutcomeCode::cancelled:
      return Outcome::cancelled;
    case OutcomeCode::not_sent:
      return Outcome::not_sent;
  }
  throw_field_error(path, "unknown outcome code");
}

LoadReport read_load_report(const JsonValue& line, const std::string& path) {
  LoadReport report;
  const JsonValue* const value = find_member(line, field::kLoadReport);
  if (value == nullptr) return report;
  const std::string report_path = path + "." + field::kLoadReport;
  as_object(*value, report_path);
  report.remaining_fraction = read_member(*value, field::kRemainingFraction, report_path, as_double, -1.0);
  report.rate_limit = read_member(*value, field::kRateLimit, report_path, as_double, -1.0);
  return report;
}

PoolEntry read_pool_entry(const JsonValue& value, const std::string& path) {
  as_object(value, path);
  PoolEntry entry;
  entry.endpoint.id = read_member(value, field::kEndpoint, path, as_string);
  entry.endpoint.destination = read_member(value, field::kPoolDestination, path, as_int64);
  entry.endpoint.status = parse_enum<EndpointStatus>(read_member(value, field::kPoolStatus, path, as_string),
                                                     {{pool_status::kActive, EndpointStatus::active},
                                                      {pool_status::kDraining, EndpointStatus::draining},
                                                      {pool_status::kRemoved, EndpointStatus::removed}},
                                                     path + "." + field::kPoolStatus);
  entry.endpoint.weight = read_member(value, field::kPoolWeight, path, as_double, 1.0);
  entry.endpoint.added_at = read_member(value, field::kPoolAddedAt, path, as_int64, 0);
  entry.zone = read_member(value, field::kPoolZone, path, as_string, "");
  entry.kind = read_member(value, field::kPoolKind, path, as_string, "");
  return entry;
}

event::Arrival read_arrival(const JsonValue& line, const std::string& path, const SettingNames& names) {
  event::Arrival arrival;
  arrival.id = read_member(line, field::kMessageId, path, as_uint64);
  arrival.destination = read_member(line, field::kDestination, path, as_int64);
  const std::string message_class = read_member(line, field::kMessageClass, path, as_string);
  arrival.message_class = index_of(names.classes, message_class);
  if (arrival.message_class < 0)
    throw_field_error(path + "." + field::kMessageClass, ("unknown class '" + message_class + "'").c_str());
  arrival.time_to_deadline = read_member(line, field::kTimeToDeadline, path, as_int64);
  arrival.order_key = read_member(line, field::kOrderKey, path, as_string, "");
  arrival.resubmitted = read_member(line, field::kResubmitted, path, as_bool, false);
  // The simulator sends the number 0 for a message without a tenant.
  const JsonValue* const tenant = find_member(line, field::kTenant);
  if (tenant != nullptr && !(tenant->IsInt() && tenant->GetInt() == 0))
    arrival.tenant = index_of(names.tenants, as_string(*tenant, path + "." + field::kTenant));
  return arrival;
}

event::AttemptEnded read_attempt_ended(const JsonValue& line, const std::string& path) {
  event::AttemptEnded attempt;
  attempt.id = read_member(line, field::kMessageId, path, as_uint64);
  attempt.attempt = read_member(line, field::kAttempt, path, as_int);
  attempt.endpoint = read_member(line, field::kEndpoint, path, as_string);
  attempt.outcome = read_member(line, field::kOutcome, path, read_outcome);
  attempt.latency = read_member(line, field::kLatency, path, as_int64, 0);
  attempt.message_settled = read_member(line, field::kMessageSettled, path, as_bool, false);
  if (attempt.outcome == Outcome::rejected)
    attempt.retry_after =
        kMicrosecondsPerMillisecond * read_member(line, field::kRetryAfterMs, path, as_int64, 0);
  attempt.load_report = read_load_report(line, path);
  return attempt;
}

event::HealthCheckEnded read_health_check_ended(const JsonValue& line, const std::string& path) {
  event::HealthCheckEnded ended;
  ended.endpoint = read_member(line, field::kEndpoint, path, as_string);
  ended.outcome = read_member(line, field::kOutcome, path, read_outcome);
  ended.latency = read_member(line, field::kLatency, path, as_int64, 0);
  ended.load_report = read_load_report(line, path);
  return ended;
}

event::GossipReceived read_gossip(const JsonValue& line, const std::string& path) {
  event::GossipReceived gossip;
  gossip.sender = read_member(line, field::kSender, path, as_int);
  gossip.payload = read_member(line, field::kGossipBody, path, as_string);
  return gossip;
}

}  // namespace

std::vector<PoolEntry> read_pool(const JsonValue& line) {
  const std::string path = std::string(input::kEndpointPool) + "." + field::kPoolEntries;
  const JsonValue& values = required_member(line, field::kPoolEntries, input::kEndpointPool);
  std::vector<PoolEntry> entries;
  for (const auto& value : as_array(values, path).GetArray()) entries.push_back(read_pool_entry(value, path));
  return entries;
}

Event read_list_event(const JsonValue& line, const EndpointPools& pools, const SettingNames& names) {
  const std::string path = input::kEndpointList;
  const std::string source = read_member(line, field::kListSource, path, as_string);
  if (source == list_source::kLost) return event::EndpointListSubscriptionLost{};
  const auto pool = pools.find(read_member(line, field::kPoolId, path, as_int64));
  if (pool == pools.end()) throw_field_error(path + "." + field::kPoolId, "no such POOL was given");
  std::vector<Endpoint> endpoints;
  for (const auto& entry : pool->second) {
    endpoints.push_back(entry.endpoint);
    endpoints.back().zone = index_of(names.zones, entry.zone);
    endpoints.back().kind = index_of(names.kinds, entry.kind);
  }
  if (source == list_source::kUpdate) return event::EndpointListUpdate{std::move(endpoints)};
  if (source == list_source::kSnapshot) return event::EndpointListSnapshot{std::move(endpoints), false};
  if (source == list_source::kCachedSnapshot) return event::EndpointListSnapshot{std::move(endpoints), true};
  throw_field_error(path + "." + field::kListSource, ("unknown value '" + source + "'").c_str());
}

Event read_event(const std::string& kind, const JsonValue& line, const SettingNames& names) {
  if (kind == input::kArrival) return read_arrival(line, kind, names);
  if (kind == input::kAttemptEnded) return read_attempt_ended(line, kind);
  if (kind == input::kClientCancelled)
    return event::ClientCancelled{read_member(line, field::kMessageId, kind, as_uint64)};
  if (kind == input::kTimerExpired)
    return event::TimerExpired{read_member(line, field::kTimerToken, kind, as_uint64)};
  if (kind == input::kHealthCheckEnded) return read_health_check_ended(line, kind);
  if (kind == input::kGossipReceived) return read_gossip(line, kind);
  throw_field_error(kind, "unknown message kind");
}

}  // namespace simulator_adapter
