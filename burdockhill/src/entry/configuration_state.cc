#include "burdockhill/src/entry/configuration_state.h"

#include <nlohmann/json.hpp>

namespace burdockhill {

using nlohmann::json;

namespace {

// Parses `text` as a JSON object and converts it with `read`; nullopt if either
// fails.
template <typename T>
std::optional<T> ParseObject(const std::string& text,
                             T (*read)(const json& object)) {
  const json object = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!object.is_object()) return std::nullopt;
  try {
    return read(object);
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

ResourceKey ConfigurationStateKey() { return {kConfigurationKind, "state"}; }

ResourceKey RolloutKey() { return {"Rollout", "configuration"}; }

ResourceKey ConfigurationContentKey(Generation generation) {
  return {"ConfigurationContent", "g" + std::to_string(generation.Value())};
}

std::string FormatState(const ConfigurationStateObject& state) {
  json refused = json::array();
  for (const RefusedChange& change : state.refused) {
    refused.push_back({{"kind", change.key.kind},
                       {"name", change.key.name},
                       {"version", change.version},
                       {"reason", change.reason}});
  }
  return json{{"accepted", state.accepted.Value()},
              {"staged", state.staged.Value()},
              {"coordinator", state.coordinator.Value()},
              {"decided_revision", state.decided_revision},
              {"refused", refused}}
      .dump();
}

std::optional<ConfigurationStateObject> ParseState(const std::string& text) {
  return ParseObject<ConfigurationStateObject>(text, [](const json& object) {
    ConfigurationStateObject state;
    state.accepted = Generation(object.at("accepted").get<uint64_t>());
    state.staged = Generation(object.at("staged").get<uint64_t>());
    state.coordinator = VmName(object.at("coordinator").get<std::string>());
    state.decided_revision = object.at("decided_revision").get<uint64_t>();
    for (const json& change : object.at("refused")) {
      state.refused.push_back({{change.at("kind").get<std::string>(),
                                change.at("name").get<std::string>()},
                               change.at("version").get<uint64_t>(),
                               change.at("reason").get<std::string>()});
    }
    return state;
  });
}

std::string FormatRollout(const RolloutObject& rollout) {
  json behind = json::array();
  for (const VmName& vm : rollout.behind) behind.push_back(vm.Value());
  return json{{"generation", rollout.generation.Value()},
              {"in_force", rollout.in_force},
              {"known", rollout.known},
              {"behind", behind}}
      .dump();
}

std::optional<RolloutObject> ParseRollout(const std::string& text) {
  return ParseObject<RolloutObject>(text, [](const json& object) {
    RolloutObject rollout;
    rollout.generation = Generation(object.at("generation").get<uint64_t>());
    rollout.in_force = object.at("in_force").get<int64_t>();
    rollout.known = object.at("known").get<int64_t>();
    for (const json& vm : object.at("behind")) {
      rollout.behind.emplace_back(vm.get<std::string>());
    }
    return rollout;
  });
}

std::string FormatLease(const LeaseObject& lease) {
  return json{{"holder", lease.holder.Value()},
              {"incarnation", lease.incarnation.Value()},
              {"beat", lease.beat}}
      .dump();
}

std::optional<LeaseObject> ParseLease(const std::string& text) {
  return ParseObject<LeaseObject>(text, [](const json& object) {
    LeaseObject lease;
    lease.holder = VmName(object.at("holder").get<std::string>());
    lease.incarnation = Incarnation(object.at("incarnation").get<uint64_t>());
    lease.beat = object.at("beat").get<uint64_t>();
    return lease;
  });
}

}  // namespace burdockhill
