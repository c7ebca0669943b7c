#include "burdockhill/src/resources/configuration.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "burdockhill/src/resources/field_reader.h"

namespace burdockhill {

namespace {

using internal::FieldReader;
using internal::Presence;
using nlohmann::json;

const std::vector<std::string> kRequestClassNames = {"interactive", "standard",
                                                     "batch"};
const std::vector<std::string> kPoolNames = {"mixed", "prefill", "decode"};
const std::vector<std::string> kRegionRuleNames = {"local_only",
                                                   "prefer_local"};
constexpr int64_t kMaxTokens = 10'000'000;
constexpr int64_t kMaxTeamLimit = 1'000'000;
// Limits of a team whose resource does not state them.
constexpr int64_t kDefaultRequestsPerSecond = 100;
constexpr int64_t kDefaultBurst = 200;
constexpr int64_t kDefaultMaxConcurrent = 1000;

void ReadTokens(FieldReader* reader, const char* name, Tokens* target) {
  int64_t value = target->Value();
  reader->Read(name, Presence::kOptional, 1, kMaxTokens, &value);
  *target = Tokens(value);
}

ModelService ReadModelService(FieldReader* reader) {
  ModelService out;
  reader->Read("policy", Presence::kOptional, &out.policy);
  ReadTokens(reader, "max_prompt_tokens", &out.max_prompt);
  ReadTokens(reader, "max_output_tokens", &out.max_output);
  ReadTokens(reader, "default_output_tokens", &out.default_output);
  if (out.default_output > out.max_output) {
    reader->AddError("default_output_tokens",
                     "must not exceed max_output_tokens");
  }
  return out;
}

PlainRoute ReadRoute(FieldReader* reader) {
  PlainRoute out;
  reader->Read("path_prefix", Presence::kRequired, &out.path_prefix);
  reader->Read("methods", Presence::kOptional, &out.methods);
  reader->Read("repeatable", Presence::kRequired, &out.repeatable);
  if (!out.path_prefix.starts_with('/')) {
    reader->AddError("path_prefix", "must start with '/'");
  }
  return out;
}

PlainService ReadPlainService(FieldReader* reader) {
  PlainService out;
  reader->Read("policy", Presence::kOptional, &out.policy);
  reader->ReadObjects("routes", Presence::kOptional, [&](FieldReader* route) {
    out.routes.push_back(ReadRoute(route));
  });
  reader->ReadObject(
      "duplicate_key", Presence::kOptional, [&](FieldReader* key) {
        key->Read("header", Presence::kOptional, &out.idempotency_key_header);
        key->Read("body_field", Presence::kOptional,
                  &out.idempotency_key_body_field);
        if (out.idempotency_key_header.empty() ==
            out.idempotency_key_body_field.empty()) {
          key->AddError("header", "name either a header or a body_field");
        }
        if (!out.idempotency_key_header.empty() &&
            out.idempotency_key_header != "Idempotency-Key") {
          key->AddError("header", "must be \"Idempotency-Key\"");
        }
      });
  reader->ReadMilliseconds("timeout_ms", Presence::kOptional, &out.timeout);
  return out;
}

Upstream ReadUpstream(FieldReader* reader) {
  Upstream out;
  reader->Read("service", Presence::kRequired, &out.service);
  reader->Read("vm", Presence::kRequired, &out.vm);
  auto pool = static_cast<size_t>(out.pool);
  reader->ReadChoice("pool", Presence::kOptional, kPoolNames, &pool);
  out.pool = static_cast<Pool>(pool);
  reader->Read("drain", Presence::kOptional, &out.drain);
  return out;
}

// Digests are written in lower case, so that each has one text.
void ReadKeyDigest(FieldReader* reader, Team* team) {
  std::string text;
  reader->Read("key_sha256", Presence::kRequired, &text);
  const std::optional<KeyDigest> key = KeyDigest::FromHex(text);
  if (key.has_value() && key->ToHex() == text) {
    team->keys = {*key};
  } else {
    reader->AddError("key_sha256", "must be 64 lower-case hex digits");
  }
}

Team ReadTeam(FieldReader* reader) {
  Team out;
  auto request_class = static_cast<size_t>(out.request_class);
  int64_t requests_per_second = kDefaultRequestsPerSecond;
  int64_t burst = kDefaultBurst;
  out.max_concurrent = kDefaultMaxConcurrent;
  ReadKeyDigest(reader, &out);
  reader->Read("services", Presence::kOptional, &out.services);
  reader->ReadChoice("class", Presence::kOptional, kRequestClassNames,
                     &request_class);
  reader->Read("weight", Presence::kOptional, 1, 1000, &out.weight);
  reader->Read("requests_per_second", Presence::kOptional, 1, kMaxTeamLimit,
               &requests_per_second);
  reader->Read("burst", Presence::kOptional, 1, kMaxTeamLimit, &burst);
  reader->Read("max_concurrent", Presence::kOptional, 1, kMaxTeamLimit,
               &out.max_concurrent);
  out.request_class = static_cast<RequestClass>(request_class);
  out.limit.unit = TeamLimit::Unit::kRequests;
  out.limit.per_second = static_cast<double>(requests_per_second);
  out.limit.burst = static_cast<double>(burst);
  return out;
}

RoutingPolicy ReadRoutingPolicy(FieldReader* reader) {
  RoutingPolicy out;
  auto region_rule = static_cast<size_t>(out.region_rule);
  reader->ReadMilliseconds("first_token_target_ms", Presence::kOptional,
                           &out.first_token_target);
  reader->ReadMilliseconds("per_token_target_ms", Presence::kOptional,
                           &out.per_token_target);
  reader->ReadMilliseconds("first_token_limit_ms", Presence::kOptional,
                           &out.first_token_limit);
  reader->Read("retry_budget_percent", Presence::kOptional, 0, 100,
               &out.retry_budget_percent);
  reader->Read("max_attempts", Presence::kOptional, 1, 10, &out.max_attempts);
  reader->ReadChoice("region_rule", Presence::kOptional, kRegionRuleNames,
                     &region_rule);
  out.region_rule = static_cast<RegionRule>(region_rule);
  return out;
}

template <typename Key, typename Value>
void AddResource(std::map<Key, Value>* map, const std::string& name,
                 Value value, const std::string& path, FieldErrors* errors) {
  value.name = Key(name);
  if (!map->emplace(Key(name), std::move(value)).second) {
    errors->push_back({path + "/name", "stands twice"});
  }
}

using TeamsByName = std::map<TeamName, Team>;

// Parses one spec and adds the resource to `out`, or to `teams`.
void ReadSpec(const ResourceKey& key, const json& spec, const std::string& path,
              Configuration* out, TeamsByName* teams, FieldErrors* errors) {
  FieldReader reader(spec, path + "/spec", errors);
  if (key.kind == "ModelService") {
    AddResource(&out->models, key.name, ReadModelService(&reader), path,
                errors);
  } else if (key.kind == "PlainService") {
    AddResource(&out->plain_services, key.name, ReadPlainService(&reader), path,
                errors);
  } else if (key.kind == "Upstream") {
    AddResource(&out->upstreams, key.name, ReadUpstream(&reader), path, errors);
  } else if (key.kind == "Team") {
    AddResource(teams, key.name, ReadTeam(&reader), path, errors);
  } else if (key.kind == "RoutingPolicy") {
    AddResource(&out->policies, key.name, ReadRoutingPolicy(&reader), path,
                errors);
  } else {
    errors->push_back({path + "/kind", "is not a known kind"});
    return;
  }
  reader.RejectUnknownFields();
}

ResourceKey ReadKey(FieldReader* reader) {
  NameId<struct ResourceNameTag> name;
  ResourceKey key;
  reader->Read("kind", Presence::kRequired, &key.kind);
  reader->Read("name", Presence::kRequired, &name);
  key.name = name.Value();
  return key;
}

// Checks that each resource that another one names exists, and that no two
// upstreams share a VM.
void CheckReferences(const Configuration& configuration,
                     const TeamsByName& teams, FieldErrors* errors) {
  const auto fail = [&](const std::string& kind, const std::string& name,
                        const std::string& message) {
    errors->push_back({kind + "/" + name, message});
  };
  const auto has_policy = [&](const PolicyName& policy) {
    return policy.Value() == "default" ||
           configuration.policies.contains(policy);
  };
  for (const auto& [name, model] : configuration.models) {
    if (!has_policy(model.policy)) {
      fail("ModelService", name.Value(), "names an unknown policy");
    }
    if (configuration.plain_services.contains(name)) {
      fail("ModelService", name.Value(), "has the name of a PlainService");
    }
  }
  for (const auto& [name, plain] : configuration.plain_services) {
    if (!has_policy(plain.policy)) {
      fail("PlainService", name.Value(), "names an unknown policy");
    }
  }
  std::map<VmName, UpstreamName> upstream_by_vm;
  for (const auto& [name, upstream] : configuration.upstreams) {
    if (!configuration.models.contains(upstream.service) &&
        !configuration.plain_services.contains(upstream.service)) {
      fail("Upstream", name.Value(), "names an unknown service");
    }
    if (!upstream_by_vm.emplace(upstream.vm, name).second) {
      fail("Upstream", name.Value(), "names a VM of another Upstream");
    }
  }
  for (const auto& [name, team] : teams) {
    for (const std::string& service : team.services) {
      const ServiceName service_name(service);
      if (service != "*" && !configuration.models.contains(service_name) &&
          !configuration.plain_services.contains(service_name)) {
        fail("Team", name.Value(), "names an unknown service " + service);
      }
    }
  }
}

void IndexTeams(const TeamsByName& teams, Configuration* configuration,
                FieldErrors* errors) {
  std::vector<Team> list;
  list.reserve(teams.size());
  for (const auto& [name, team] : teams) list.push_back(team);
  for (const TeamFault& fault : configuration->teams.Apply(std::move(list))) {
    errors->push_back({"Team/" + fault.team.Value(), fault.text});
  }
}

}  // namespace

const RoutingPolicy& Configuration::PolicyFor(const PolicyName& name) const {
  static const RoutingPolicy kDefaults{PolicyName("default")};
  const auto found = policies.find(name);
  return found == policies.end() ? kDefaults : found->second;
}

bool Configuration::IsRepeatable(const PlainService& service,
                                 const std::string& method,
                                 const std::string& path) {
  const PlainRoute* best = nullptr;
  for (const PlainRoute& route : service.routes) {
    const bool method_matches =
        route.methods.empty() ||
        std::find(route.methods.begin(), route.methods.end(), method) !=
            route.methods.end();
    if (!method_matches || !path.starts_with(route.path_prefix)) continue;
    if (best == nullptr ||
        route.path_prefix.size() > best->path_prefix.size()) {
      best = &route;
    }
  }
  return best != nullptr && best->repeatable;
}

const Upstream* Configuration::UpstreamOnVm(const VmName& vm) const {
  for (const auto& [name, upstream] : upstreams) {
    if (upstream.vm == vm) return &upstream;
  }
  return nullptr;
}

std::optional<Configuration> ParseConfiguration(const std::string& text,
                                                FieldErrors* errors) {
  json document;
  if (!internal::ParseJson(text, &document, errors)) return std::nullopt;
  const size_t errors_before = errors->size();
  Configuration out;
  TeamsByName teams;
  FieldReader reader(document, "", errors);
  const json* resources = reader.RawField("resources", Presence::kRequired);
  if (resources == nullptr || !resources->is_array()) {
    errors->push_back({"/resources", "must be an array of objects"});
    return std::nullopt;
  }
  size_t index = 0;
  for (const json& resource : *resources) {
    const std::string path = "/resources/" + std::to_string(index++);
    FieldReader fields(resource, path, errors);
    const ResourceKey key = ReadKey(&fields);
    const json* spec = fields.RawField("spec", Presence::kRequired);
    fields.RejectUnknownFields();
    if (spec != nullptr) ReadSpec(key, *spec, path, &out, &teams, errors);
  }
  reader.RejectUnknownFields();
  CheckReferences(out, teams, errors);
  IndexTeams(teams, &out, errors);
  if (errors->size() > errors_before) return std::nullopt;
  return out;
}

std::vector<ResourceText> ParseResourceFile(const std::string& text,
                                            FieldErrors* errors) {
  std::vector<ResourceText> out;
  json document;
  if (!internal::ParseJson(text, &document, errors)) return out;
  const bool is_list = document.is_object() && document.contains("resources");
  json list = json::array({document});
  if (is_list) list = document["resources"];
  if (!list.is_array()) {
    errors->push_back({"/resources", "must be an array of objects"});
    return out;
  }
  size_t index = 0;
  for (const json& resource : list) {
    const std::string path =
        is_list ? "/resources/" + std::to_string(index) : "";
    ++index;
    FieldReader fields(resource, path, errors);
    ResourceText item;
    item.key = ReadKey(&fields);
    const json* spec = fields.RawField("spec", Presence::kRequired);
    fields.RejectUnknownFields();
    if (spec == nullptr) continue;
    Configuration unused;
    TeamsByName unused_teams;
    ReadSpec(item.key, *spec, path, &unused, &unused_teams, errors);
    item.spec = spec->dump();
    out.push_back(std::move(item));
  }
  internal::AddLineNumbers(text, errors);
  return out;
}

void CheckResource(const ResourceText& resource, FieldErrors* errors) {
  json spec;
  if (!internal::ParseJson(resource.spec, &spec, errors)) return;
  Configuration unused;
  TeamsByName unused_teams;
  ReadSpec(resource.key, spec, "", &unused, &unused_teams, errors);
}

std::string ComposeConfiguration(const std::vector<ResourceText>& resources) {
  std::string text = "{\"resources\":[";
  bool first = true;
  for (const ResourceText& resource : resources) {
    if (!first) text += ",\n";
    first = false;
    text += "{\"kind\":" + json(resource.key.kind).dump() +
            ",\"name\":" + json(resource.key.name).dump() +
            ",\"spec\":" + resource.spec + "}";
  }
  return text + "]}";
}

bool IsResourceKind(const std::string& kind) {
  return std::find(std::begin(kResourceKinds), std::end(kResourceKinds),
                   kind) != std::end(kResourceKinds);
}

std::string_view RequestClassName(RequestClass request_class) {
  return kRequestClassNames[static_cast<size_t>(request_class)];
}

}  // namespace burdockhill
