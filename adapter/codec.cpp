#include "codec.hpp"

#include <rapidjson/error/en.h>

#include <algorithm>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "action_writer.hpp"
#include "event_reader.hpp"
#include "wire_words.hpp"

namespace simulator_adapter {

using configuration::as_int64;
using configuration::as_object;
using configuration::as_string;
using configuration::as_uint64;
using configuration::JsonValue;
using configuration::read_member;
using configuration::required_member;
using configuration::throw_field_error;
using dispatch::Action;
using dispatch::Dispatcher;
using dispatch::Event;

class Codec::Impl {
 public:
  [[nodiscard]] bool process_line(const JsonValue& line, std::string& reply);

 private:
  /// A simulated relay.
  struct Instance {
    configuration::SettingNames names;
    std::optional<Dispatcher> dispatcher;
    std::string startup_error;  // why the dispatcher could not be created
    std::vector<Event> events;
  };

  Instance& find_instance_for_round(const JsonValue& line, const std::string& kind);
  void start_instance(const JsonValue& line, const std::string& kind);
  void stop_instance(const JsonValue& line, const std::string& kind);
  void process_line_in_round(const JsonValue& line, const std::string& kind);
  void write_reply(std::string& reply);

  dispatch::Time now_ = 0;
  bool in_round_ = false;
  std::map<std::string, Instance> instances_;
  EndpointPools pools_;
  // Names of the instances that this round has named so far, in the order of their first line.
  std::vector<std::string> instances_in_round_;
};

// Returns the instance that a line names and adds it to the instances of the current round.
Codec::Impl::Instance& Codec::Impl::find_instance_for_round(const JsonValue& line, const std::string& kind) {
  const std::string name = read_member(line, field::kInstance, kind, as_string);
  const auto it = instances_.find(name);
  if (it == instances_.end())
    throw_field_error(kind + "." + field::kInstance, ("instance '" + name + "' was never started").c_str());
  if (std::find(instances_in_round_.begin(), instances_in_round_.end(), name) == instances_in_round_.end())
    instances_in_round_.push_back(name);
  return it->second;
}

void Codec::Impl::start_instance(const JsonValue& line, const std::string& kind) {
  const std::string name = read_member(line, field::kInstance, kind, as_string);
  Instance instance;
  const std::uint64_t seed = read_member(line, field::kSeed, kind, as_uint64);
  const JsonValue& settings_value = required_member(line, field::kSettings, kind);
  const dispatch::Settings settings =
      configuration::read_settings(settings_value, kind + "." + field::kSettings, instance.names);
  try {
    instance.dispatcher.emplace(settings, seed);
  } catch (const std::exception& error) {
    instance.startup_error = error.what();
  }
  instances_.insert_or_assign(name, std::move(instance));
  find_instance_for_round(line, kind);
}

void Codec::Impl::stop_instance(const JsonValue& line, const std::string& kind) {
  find_instance_for_round(line, kind);
  const std::string name = read_member(line, field::kInstance, kind, as_string);
  instances_.erase(name);
  instances_in_round_.erase(std::find(instances_in_round_.begin(), instances_in_round_.end(), name));
}

bool Codec::Impl::process_line(const JsonValue& line, std::string& reply) {
  as_object(line, "message");
  const std::string kind = read_member(line, field::kKind, "message", as_string);
  if (kind == input::kRound) {
    if (in_round_) throw_field_error(kind, "the previous round has not ended");
    now_ = read_member(line, field::kClock, kind, as_int64);
    in_round_ = true;
    return false;
  }
  if (!in_round_) throw_field_error(kind, "expected ROUND first");
  if (kind != input::kEndOfRound) {
    process_line_in_round(line, kind);
    return false;
  }
  in_round_ = false;
  reply.clear();
  write_reply(reply);
  return true;
}

void Codec::Impl::process_line_in_round(const JsonValue& line, const std::string& kind) {
  if (kind == input::kNewInstance) return start_instance(line, kind);
  if (kind == input::kPowerOff) return stop_instance(line, kind);
  if (kind == input::kEndpointPool) {
    std::vector<PoolEntry> entries = read_pool(line);
    pools_[read_member(line, field::kPoolId, kind, as_int64)] = std::move(entries);
    return;
  }
  Instance& instance = find_instance_for_round(line, kind);
  // No class streams its responses, so only the outcome matters, which follows in a later line.
  if (kind == input::kAttemptAccepted) return;
  instance.events.push_back(kind == input::kEndpointList ? read_list_event(line, pools_, instance.names)
                                                         : read_event(kind, line, instance.names));
}

void Codec::Impl::write_reply(std::string& reply) {
  for (const auto& name : instances_in_round_) {
    Instance& instance = instances_.at(name);
    ActionWriter writer(reply, name);
    try {
      if (!instance.dispatcher) throw std::runtime_error(instance.startup_error);
      std::vector<Action> actions;
      instance.dispatcher->handle(now_, instance.events, actions);
      for (const auto& action : actions) std::visit(writer, action);
    } catch (const std::exception& error) {
      writer.write_fatal(error.what());
    }
    instance.events.clear();
  }
  instances_in_round_.clear();
  write_end_of_reply(reply);
}

Codec::Codec() : impl_(std::make_unique<Impl>()) {}
Codec::~Codec() = default;

bool Codec::process_line(const std::string& line, std::string& reply) {
  rapidjson::Document document;
  document.Parse(line.data(), line.size());
  if (document.HasParseError())
    throw configuration::FieldError("column " + std::to_string(document.GetErrorOffset() + 1) + ": " +
                                    rapidjson::GetParseError_En(document.GetParseError()));
  return impl_->process_line(document, reply);
}

}  // namespace simulator_adapter
