#include "settings_reader.hpp"

#include <algorithm>

namespace configuration {

using dispatch::ClassSettings;
using dispatch::Idempotency;
using dispatch::KeyScope;
using dispatch::KindSettings;
using dispatch::Settings;
using dispatch::ValueDecay;
using dispatch::WeightKind;

namespace {

// Reads an optional list of names.
NameIndex read_names(const JsonValue& object, const char* name, const std::string& path) {
  NameIndex names;
  const JsonValue* list = find_member(object, name);
  if (list == nullptr) return names;
  const std::string list_path = path + "." + name;
  for (const JsonValue& element : as_array(*list, list_path).GetArray())
    names.emplace(as_string(element, list_path), static_cast<int>(names.size()));
  return names;
}

// Returns the member, which must be an array, or nullptr if it is absent or null.
const JsonValue* find_list(const JsonValue& object, const char* name, const std::string& path) {
  const JsonValue* list = find_member(object, name);
  return list == nullptr ? nullptr : &as_array(*list, path + "." + name);
}

// Returns the member, which is required and must be an object.
const JsonValue& read_section(const JsonValue& settings, const char* name, const std::string& path) {
  return as_object(required_member(settings, name, path), path + "." + name);
}

ClassSettings read_class(const JsonValue& value, const std::string& path) {
  ClassSettings settings;
  settings.priority_weight = read_member(value, "Points", path, as_double);
  settings.late_weight_fraction = read_member(value, "LateWorth", path, as_double, 0.0);
  settings.latency_objective = read_member(value, "Target", path, as_int64);
  settings.deadline = read_member(value, "Deadline", path, as_int64);
  settings.idempotency = parse_enum<Idempotency>(read_member(value, "Idempotency", path, as_string),
                                                 {{"read_like", Idempotency::idempotent},
                                                  {"idempotency_key", Idempotency::by_key},
                                                  {"non_idempotent", Idempotency::none}},
                                                 path + ".Idempotency");
  settings.key_scope = parse_enum<KeyScope>(
      read_member(value, "Group", path, as_string, "all"),
      {{"all", KeyScope::all}, {"zone", KeyScope::zone}, {"cell", KeyScope::cell}}, path + ".Group");
  settings.idempotency_window = read_member(value, "Window", path, as_int64, 0);
  settings.ordered = read_member(value, "FifoByKey", path, as_bool, false);
  return settings;
}

void read_classes(const JsonValue& value, const std::string& path, Settings& settings, SettingNames& names) {
  const std::string list_path = path + ".Classes";
  for (const JsonValue& element : as_array(required_member(value, "Classes", path), list_path).GetArray()) {
    as_object(element, list_path);
    names.classes.emplace(read_member(element, "Name", list_path, as_string),
                          static_cast<int>(settings.classes.size()));
    settings.classes.push_back(read_class(element, list_path));
  }
}

void read_tenants(const JsonValue& value, const std::string& path, Settings& settings, SettingNames& names) {
  const JsonValue* tenants = find_list(value, "Tenants", path);
  if (tenants == nullptr) return;
  const std::string list_path = path + ".Tenants";
  for (const JsonValue& element : tenants->GetArray()) {
    as_object(element, list_path);
    names.tenants.emplace(read_member(element, "Name", list_path, as_string),
                          static_cast<int>(settings.tenants.size()));
    settings.tenants.push_back({read_member(element, "QuotaPerS", list_path, as_double, 0.0)});
  }
}

// Reads the settings of each kind. The lists may be shorter than the number of kinds: the other kinds keep
// the defaults.
std::vector<KindSettings> read_kinds(const JsonValue& family, const std::string& path, std::size_t count) {
  std::vector<KindSettings> kinds(std::max<std::size_t>(1, count));
  const JsonValue* independent_endpoints = find_list(family, "RoutesApart", path);
  const JsonValue* max_batch_sizes = find_list(family, "BundleMax", path);
  for (rapidjson::SizeType i = 0; i < kinds.size(); i++) {
    if (independent_endpoints != nullptr && i < independent_endpoints->Size())
      kinds[i].independent_endpoints = as_bool((*independent_endpoints)[i], path + ".RoutesApart");
    if (max_batch_sizes != nullptr && i < max_batch_sizes->Size())
      kinds[i].max_batch_size = as_int((*max_batch_sizes)[i], path + ".BundleMax");
  }
  return kinds;
}

void read_family(const JsonValue& value, const std::string& parent_path, Settings& settings,
                 const SettingNames& names) {
  const std::string path = parent_path + ".FamilyInfo";
  const JsonValue& family = read_section(value, "FamilyInfo", parent_path);
  settings.kinds = read_kinds(family, path, names.kinds.size());
  settings.max_calls_in_flight = read_member(family, "Workers", path, as_int);
  settings.value_decay = parse_enum<ValueDecay>(
      read_member(family, "Decay", path, as_string, "line"),
      {{"line", ValueDecay::linear}, {"halves", ValueDecay::exponential}}, path + ".Decay");
  if (const JsonValue* surcharges = find_list(family, "Toll", path))
    for (const JsonValue& surcharge : surcharges->GetArray())
      settings.zone_surcharges.push_back(as_double(surcharge, path + ".Toll"));
}

void read_limits(const JsonValue& value, const std::string& parent_path, Settings& settings) {
  const std::string path = parent_path + ".Limits";
  const JsonValue& limits = read_section(value, "Limits", parent_path);
  settings.max_open_messages = read_member(limits, "OpenCap", path, as_int);
  settings.max_attempts = read_member(limits, "MaxAttempts", path, as_int);
  settings.hedged_requests = read_member(limits, "SecondCopies", path, as_bool, false);
  settings.cancellation = read_member(limits, "Cancelling", path, as_bool, false);
  settings.health_checks = read_member(limits, "Probes", path, as_bool, false);
  settings.gossip = read_member(limits, "Peers", path, as_bool, false);
  settings.connect_timeout = read_member(limits, "ConnectTimeout", path, as_int64, settings.connect_timeout);
  settings.connection_idle_timeout =
      read_member(limits, "ConnIdle", path, as_int64, settings.connection_idle_timeout);
  settings.max_retry_after = read_member(limits, "MaxRetryAfter", path, as_int64, 0);
}

void read_rules(const JsonValue& value, const std::string& parent_path, Settings& settings) {
  const std::string path = parent_path + ".Rules";
  const JsonValue& rules = read_section(value, "Rules", parent_path);
  settings.final_answer_grace = read_member(rules, "AnswerSlack", path, as_int64, 0);
  settings.drain_grace = read_member(rules, "DrainGrace", path, as_int64, 0);
  settings.max_poll_interval = read_member(rules, "MustAskIn", path, as_int64, 0);
  settings.order_key_quiet_period = read_member(rules, "SettleAfterDoubt", path, as_int64, 0);
  settings.overload_multiple =
      read_member(rules, "FallMultiple", path, as_double, settings.overload_multiple);
  settings.overload_duration = read_member(rules, "OverloadFor", path, as_int64, settings.overload_duration);
  settings.slow_start_capacity_fraction =
      read_member(rules, "ColdFrom", path, as_double, settings.slow_start_capacity_fraction);
  settings.slow_start_duration = read_member(rules, "Cold", path, as_int64, settings.slow_start_duration);
}

// Reads the settings of this relay itself and of its position in the group of relays.
void read_relay(const JsonValue& value, const std::string& path, Settings& settings,
                const SettingNames& names) {
  settings.over_quota_weight_fraction = read_member(value, "OverShareWorth", path, as_double, 1.0);
  settings.relay_count = read_member(value, "GroupSize", path, as_int, 1);
  settings.relay_index = read_member(value, "Rank", path, as_int, 0);
  settings.zone = index_of(names.zones, read_member(value, "Locality", path, as_string, ""));
  settings.min_round_interval = read_member(value, "Tick", path, as_int64, settings.min_round_interval);
  settings.subscribes_to_list = read_member(value, "Discovery", path, as_string, "automatic") == "subscribe";
  settings.weight_kind = parse_enum<WeightKind>(read_member(value, "WeightKind", path, as_string, "none"),
                                                {{"none", WeightKind::none},
                                                 {"nominal", WeightKind::nominal},
                                                 {"rough", WeightKind::approximate},
                                                 {"live", WeightKind::none}},
                                                path + ".WeightKind");
}

}  // namespace

int index_of(const NameIndex& names, const std::string& name) {
  const auto it = names.find(name);
  return it == names.end() ? kUnknownName : it->second;
}

Settings read_settings(const JsonValue& value, const std::string& path, SettingNames& names) {
  as_object(value, path);
  Settings settings;
  read_classes(value, path, settings, names);
  read_tenants(value, path, settings, names);
  names.zones = read_names(value, "FailureDomains", path);
  names.kinds = read_names(value, "HostTypes", path);
  read_family(value, path, settings, names);
  read_limits(value, path, settings);
  read_rules(value, path, settings);
  read_relay(value, path, settings, names);
  return settings;
}

}  // namespace configuration
