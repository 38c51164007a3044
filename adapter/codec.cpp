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

using configuration::as_integer;
using configuration::as_object;
using configuration::as_string;
using configuration::as_unsigned;
using configuration::JsonValue;
using configuration::read_member;
using configuration::required_member;
using configuration::throw_field_error;
using dispatch::Action;
using dispatch::Dispatcher;
using dispatch::Event;

class Codec::Impl {
 public:
  [[nodiscard]] bool take(const JsonValue& line, std::string& reply);

 private:
  /// A relay that the simulator plays.
  struct Instance {
    configuration::SettingNames names;
    std::optional<Dispatcher> dispatcher;
    std::string failure;  // why the dispatcher could not be made
    std::vector<Event> events;
  };

  Instance& instance_of(const JsonValue& line, const std::string& kind);
  void start_instance(const JsonValue& line, const std::string& kind);
  void stop_instance(const JsonValue& line, const std::string& kind);
  void take_within_round(const JsonValue& line, const std::string& kind);
  void answer(std::string& reply);

  dispatch::Time now_ = 0;
  bool in_round_ = false;
  std::map<std::string, Instance> instances_;
  EndpointPools pools_;
  std::vector<std::string> active_;  // instances that this round names, in the order of their first line
};

Codec::Impl::Instance& Codec::Impl::instance_of(const JsonValue& line, const std::string& kind) {
  const std::string name = read_member(line, field::kInstance, kind, as_string);
  const auto it = instances_.find(name);
  if (it == instances_.end())
    throw_field_error(kind + "." + field::kInstance, ("instance '" + name + "' was never started").c_str());
  if (std::find(active_.begin(), active_.end(), name) == active_.end()) active_.push_back(name);
  return it->second;
}

void Codec::Impl::start_instance(const JsonValue& line, const std::string& kind) {
  const std::string name = read_member(line, field::kInstance, kind, as_string);
  Instance instance;
  const std::uint64_t seed = read_member(line, field::kSeed, kind, as_unsigned);
  const JsonValue& settings_value = required_member(line, field::kSettings, kind);
  const dispatch::Settings settings =
      configuration::read_settings(settings_value, kind + "." + field::kSettings, instance.names);
  try {
    instance.dispatcher.emplace(settings, seed);
  } catch (const std::exception& error) {
    instance.failure = error.what();
  }
  instances_.insert_or_assign(name, std::move(instance));
  instance_of(line, kind);
}

void Codec::Impl::stop_instance(const JsonValue& line, const std::string& kind) {
  instance_of(line, kind);
  const std::string name = read_member(line, field::kInstance, kind, as_string);
  instances_.erase(name);
  active_.erase(std::find(active_.begin(), active_.end(), name));
}

bool Codec::Impl::take(const JsonValue& line, std::string& reply) {
  as_object(line, "message");
  const std::string kind = read_member(line, field::kKind, "message", as_string);
  if (kind == input::kRound) {
    if (in_round_) throw_field_error(kind, "the round before has not ended");
    now_ = read_member(line, field::kClock, kind, as_integer);
    in_round_ = true;
    return false;
  }
  if (!in_round_) throw_field_error(kind, "no ROUND came before");
  if (kind != input::kEndOfRound) {
    take_within_round(line, kind);
    return false;
  }
  in_round_ = false;
  reply.clear();
  answer(reply);
  return true;
}

void Codec::Impl::take_within_round(const JsonValue& line, const std::string& kind) {
  if (kind == input::kNewInstance) return start_instance(line, kind);
  if (kind == input::kPowerOff) return stop_instance(line, kind);
  if (kind == input::kEndpointPool) {
    std::vector<PoolEntry> entries = read_pool(line);
    pools_[read_member(line, field::kPoolId, kind, as_integer)] = std::move(entries);
    return;
  }
  Instance& instance = instance_of(line, kind);
  if (kind == input::kAttemptAccepted) return;  // no class streams its answers; the outcome follows
  instance.events.push_back(kind == input::kEndpointList ? read_list_event(line, pools_, instance.names)
                                                         : read_event(kind, line, instance.names));
}

void Codec::Impl::answer(std::string& reply) {
  for (const auto& name : active_) {
    Instance& instance = instances_.at(name);
    ActionWriter writer(reply, name);
    try {
      if (!instance.dispatcher) throw std::runtime_error(instance.failure);
      std::vector<Action> actions;
      instance.dispatcher->handle(now_, instance.events, actions);
      for (const auto& action : actions) std::visit(writer, action);
    } catch (const std::exception& error) {
      writer.write_fatal(error.what());
    }
    instance.events.clear();
  }
  active_.clear();
  write_end_of_answer(reply);
}

Codec::Codec() : impl_(std::make_unique<Impl>()) {}
Codec::~Codec() = default;

bool Codec::take(const std::string& line, std::string& reply) {
  rapidjson::Document document;
  document.Parse(line.data(), line.size());
  if (document.HasParseError())
    throw configuration::FieldError("column " + std::to_string(document.GetErrorOffset() + 1) + ": " +
                                    rapidjson::GetParseError_En(document.GetParseError()));
  return impl_->take(document, reply);
}

}  // namespace simulator_adapter
