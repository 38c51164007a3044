#include "settings_reader.hpp"

#include <algorithm>

namespace configuration {

using dispatch::ClassSettings;
using dispatch::Idempotency;
using dispatch::KeyScope;
using dispatch::Settings;
using dispatch::ValueDecay;
using dispatch::WeightKind;

namespace {

NameIndex names_of(const JsonValue& object, const char* name, const std::string& path) {
  NameIndex names;
  const JsonValue* list = find_member(object, name);
  if (list == nullptr) return names;
  for (const auto& v : as_array(*list, path + "." + name).GetArray())
    names.emplace(as_string(v, path + "." + name), static_cast<int>(names.size()));
  return names;
}
ClassSettings read_class(const JsonValue& v, const std::string& path) {
  ClassSettings c;
  c.priority_weight = read_member(v, "Points", path, as_double);
  c.late_weight_fraction = read_member(v, "LateWorth", path, as_double, 0.0);
  c.latency_objective = read_member(v, "Target", path, as_integer);
  c.deadline = read_member(v, "Deadline", path, as_integer);
  c.idempotency = parse_enum<Idempotency>(read_member(v, "Idempotency", path, as_string),
                                          {{"read_like", Idempotency::idempotent},
                                           {"idempotency_key", Idempotency::by_key},
                                           {"non_idempotent", Idempotency::none}},
                                          path + ".Idempotency");
  c.key_scope = parse_enum<KeyScope>(
      read_member(v, "Group", path, as_string, "all"),
      {{"all", KeyScope::all}, {"zone", KeyScope::zone}, {"cell", KeyScope::cell}}, path + ".Group");
  c.idempotency_window = read_member(v, "Window", path, as_integer, 0);
  c.ordered = read_member(v, "FifoByKey", path, as_bool, false);
  return c;
}

// A list with one value for each kind, or nothing.
const JsonValue* per_kind(const JsonValue& family, const char* name, const std::string& path) {
  const JsonValue* v = find_member(family, name);
  return v == nullptr ? nullptr : &as_array(*v, path + "." + name);
}

}  // namespace

int index_of(const NameIndex& names, const std::string& name) {
  const auto it = names.find(name);
  return it == names.end() ? -1 : it->second;
}

Settings read_settings(const JsonValue& v, const std::string& path, SettingNames& tables) {
  as_object(v, path);
  Settings s;
  for (const auto& c : as_array(required_member(v, "Classes", path), path + ".Classes").GetArray()) {
    as_object(c, path + ".Classes");
    tables.classes.emplace(read_member(c, "Name", path + ".Classes", as_string),
                           static_cast<int>(s.classes.size()));
    s.classes.push_back(read_class(c, path + ".Classes"));
  }
  if (const JsonValue* tenants = find_member(v, "Tenants")) {
    for (const auto& t : as_array(*tenants, path + ".Tenants").GetArray()) {
      as_object(t, path + ".Tenants");
      tables.tenants.emplace(read_member(t, "Name", path + ".Tenants", as_string),
                             static_cast<int>(s.tenants.size()));
      s.tenants.push_back({read_member(t, "QuotaPerS", path + ".Tenants", as_double, 0.0)});
    }
  }
  tables.zones = names_of(v, "FailureDomains", path);
  tables.kinds = names_of(v, "HostTypes", path);
  s.kinds.resize(std::max<std::size_t>(1, tables.kinds.size()));

  const std::string family_path = path + ".FamilyInfo";
  const JsonValue& family = as_object(required_member(v, "FamilyInfo", path), family_path);
  const JsonValue* apart = per_kind(family, "RoutesApart", family_path);
  const JsonValue* bundle = per_kind(family, "BundleMax", family_path);
  for (rapidjson::SizeType i = 0; i < s.kinds.size(); i++) {
    if (apart != nullptr && i < apart->Size())
      s.kinds[i].independent_routes = as_bool((*apart)[i], family_path + ".RoutesApart");
    if (bundle != nullptr && i < bundle->Size())
      s.kinds[i].max_batch_size = as_int((*bundle)[i], family_path + ".BundleMax");
  }
  s.max_calls_in_flight = read_member(family, "Workers", family_path, as_int);
  s.decay = parse_enum<ValueDecay>(read_member(family, "Decay", family_path, as_string, "line"),
                                   {{"line", ValueDecay::linear}, {"halves", ValueDecay::exponential}},
                                   family_path + ".Decay");
  if (const JsonValue* toll = per_kind(family, "Toll", family_path))
    for (const auto& fee : toll->GetArray()) s.zone_costs.push_back(as_double(fee, family_path + ".Toll"));

  const std::string limits_path = path + ".Limits";
  const JsonValue& limits = as_object(required_member(v, "Limits", path), limits_path);
  s.max_open_messages = read_member(limits, "OpenCap", limits_path, as_int);
  s.max_attempts = read_member(limits, "MaxAttempts", limits_path, as_int);
  s.hedged_requests = read_member(limits, "SecondCopies", limits_path, as_bool, false);
  s.cancellation = read_member(limits, "Cancelling", limits_path, as_bool, false);
  s.health_checks = read_member(limits, "Probes", limits_path, as_bool, false);
  s.gossip = read_member(limits, "Peers", limits_path, as_bool, false);
  s.connect_timeout = read_member(limits, "ConnectTimeout", limits_path, as_integer, s.connect_timeout);
  s.connection_idle_timeout =
      read_member(limits, "ConnIdle", limits_path, as_integer, s.connection_idle_timeout);
  s.max_retry_after = read_member(limits, "MaxRetryAfter", limits_path, as_integer, 0);

  const std::string rules_path = path + ".Rules";
  const JsonValue& rules = as_object(required_member(v, "Rules", path), rules_path);
  s.answer_slack = read_member(rules, "AnswerSlack", rules_path, as_integer, 0);
  s.drain_grace = read_member(rules, "DrainGrace", rules_path, as_integer, 0);
  s.max_poll_interval = read_member(rules, "MustAskIn", rules_path, as_integer, 0);
  s.order_key_quiet_period = read_member(rules, "SettleAfterDoubt", rules_path, as_integer, 0);
  s.overload_multiple = read_member(rules, "FallMultiple", rules_path, as_double, s.overload_multiple);
  s.overload_duration = read_member(rules, "OverloadFor", rules_path, as_integer, s.overload_duration);
  s.slow_start_capacity = read_member(rules, "ColdFrom", rules_path, as_double, s.slow_start_capacity);
  s.slow_start_duration = read_member(rules, "Cold", rules_path, as_integer, s.slow_start_duration);

  s.over_quota_weight_fraction = read_member(v, "OverShareWorth", path, as_double, 1.0);
  s.relay_count = read_member(v, "GroupSize", path, as_int, 1);
  s.relay_index = read_member(v, "Rank", path, as_int, 0);
  s.zone = index_of(tables.zones, read_member(v, "Locality", path, as_string, ""));
  s.min_round_interval = read_member(v, "Tick", path, as_integer, s.min_round_interval);
  s.subscribes_to_list = read_member(v, "Discovery", path, as_string, "automatic") == "subscribe";
  s.weights = parse_enum<WeightKind>(read_member(v, "WeightKind", path, as_string, "none"),
                                     {{"none", WeightKind::none},
                                      {"nominal", WeightKind::nominal},
                                      {"rough", WeightKind::rough},
                                      {"live", WeightKind::none}},
                                     path + ".WeightKind");
  return s;
}

}  // namespace configuration
