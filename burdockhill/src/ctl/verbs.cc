#include "burdockhill/src/ctl/verbs.h"

#include <algorithm>
#include <fstream>
#include <iostream>

#include "burdockhill/src/ctl/request_events.h"
#include "burdockhill/src/ctl/status_table.h"
#include "burdockhill/src/ctl/verb_support.h"

namespace burdockhill {

namespace {

using internal::ParseAddressOption;
using internal::PrintError;
using internal::PrintFailure;
using nlohmann::json;

// Parses "Kind/name", or "Kind" and "name" as two arguments. Returns nullopt if
// a part is missing or the kind is unknown.
std::optional<ResourceKey> ParseResourceKey(
    const std::vector<std::string>& arguments) {
  ResourceKey key;
  if (arguments.size() == 1) {
    const size_t slash = arguments[0].find('/');
    if (slash == std::string::npos) return std::nullopt;
    key = {arguments[0].substr(0, slash), arguments[0].substr(slash + 1)};
  } else if (arguments.size() == 2) {
    key = {arguments[0], arguments[1]};
  }
  if (key.name.empty() || !IsResourceKind(key.kind)) return std::nullopt;
  return key;
}

int PrintResourceKeyUsage() {
  std::string kinds;
  for (const std::string_view kind : kResourceKinds) {
    kinds += " " + std::string(kind);
  }
  PrintError("name a resource as KIND/NAME; kinds:" + kinds);
  return kExitUsage;
}

int Validate(const CtlOptions& options) {
  const auto resources = internal::ReadResources(options.file);
  if (!resources.has_value()) return kExitFailed;
  std::cout << options.file << ": " << resources->size() << " resources ok\n";
  return kExitOk;
}

int Apply(const CtlOptions& options) {
  const auto platform = ParseAddressOption("platform", options.platform);
  if (!platform.has_value()) return kExitUsage;
  const auto resources = internal::ReadResources(options.file);
  if (!resources.has_value()) return kExitFailed;
  CtlClient client;
  uint64_t newest = 0;
  for (const std::string_view kind : kResourceKinds) {
    for (const ResourceText& resource : *resources) {
      if (resource.key.kind != kind) continue;
      CtlAnswer answer;
      const auto version =
          internal::WriteResource(&client, *platform, resource, &answer);
      if (!version.has_value()) {
        return PrintFailure(answer,
                            resource.key.kind + "/" + resource.key.name);
      }
      newest = std::max(newest, *version);
    }
  }
  std::cout << resources->size() << " resources written\n";
  if (!options.wait) return kExitOk;
  return internal::WaitUntilInForce(&client, *platform, newest,
                                    options.timeout);
}

int PrintObjects(const CtlOptions& options, const json& objects) {
  if (options.json) {
    std::cout << objects.dump(2) << "\n";
    return kExitOk;
  }
  std::vector<std::vector<std::string>> rows = {
      {"KIND", "NAME", "VERSION", "SPEC"}};
  for (const json& object : objects) {
    rows.push_back({object.value("kind", ""), object.value("name", ""),
                    std::to_string(object.value("version", uint64_t{0})),
                    object.value("value", "")});
  }
  internal::PrintTable(rows);
  return kExitOk;
}

int Get(const CtlOptions& options) {
  const auto platform = ParseAddressOption("platform", options.platform);
  if (!platform.has_value()) return kExitUsage;
  CtlClient client;
  const bool is_kind =
      options.arguments.size() == 1 && IsResourceKind(options.arguments[0]);
  const auto key = ParseResourceKey(options.arguments);
  if (!is_kind && !key.has_value()) return PrintResourceKeyUsage();
  const std::string path = is_kind
                               ? "/v1/objects/" + options.arguments[0]
                               : "/v1/objects/" + key->kind + "/" + key->name;
  const CtlAnswer answer = client.Call(*platform, "GET", path);
  if (!answer.IsOk()) return PrintFailure(answer, path);
  const json found = answer.Json();
  return PrintObjects(options,
                      is_kind ? found["objects"] : json::array({found}));
}

int Delete(const CtlOptions& options) {
  const auto platform = ParseAddressOption("platform", options.platform);
  if (!platform.has_value()) return kExitUsage;
  const auto key = ParseResourceKey(options.arguments);
  if (!key.has_value()) return PrintResourceKeyUsage();
  CtlClient client;
  const CtlAnswer answer =
      client.Call(*platform, "DELETE",
                  "/v1/objects/" + key->kind + "/" + key->name + "?expected=0");
  if (!answer.IsOk()) return PrintFailure(answer, key->kind + "/" + key->name);
  std::cout << key->kind << "/" << key->name << " deleted\n";
  if (!options.wait) return kExitOk;
  return internal::WaitUntilInForce(&client, *platform,
                                    answer.Json().value("version", uint64_t{0}),
                                    options.timeout);
}

int Status(const CtlOptions& options) {
  const auto entry = ParseAddressOption("entry", options.entry);
  if (!entry.has_value()) return kExitUsage;
  CtlClient client;
  const CtlAnswer answer = client.Call(*entry, "GET", "/status");
  if (!answer.IsOk()) return PrintFailure(answer, "entry " + options.entry);
  json status = answer.Json();
  const auto platform = ParseAddress(options.platform);
  if (platform.has_value()) {
    CtlAnswer ignored;
    const auto rollout =
        internal::FetchObject(&client, *platform, RolloutKey(), &ignored);
    if (rollout.has_value()) status["rollout"] = json::parse(rollout->value);
    const auto state = internal::FetchObject(&client, *platform,
                                             ConfigurationStateKey(), &ignored);
    if (state.has_value()) {
      status["configuration"] = json::parse(state->value);
    }
  }
  if (options.json) {
    std::cout << status.dump(2) << "\n";
  } else {
    PrintStatus(status);
  }
  return kExitOk;
}

int Explain(const CtlOptions& options) {
  const auto entry = ParseAddressOption("entry", options.entry);
  if (!entry.has_value()) return kExitUsage;
  if (options.arguments.size() != 1) {
    PrintError("name one request id, as the x-request-id header of its answer");
    return kExitUsage;
  }
  CtlClient client;
  const CtlAnswer answer =
      client.Call(*entry, "GET", "/explain/" + options.arguments[0]);
  if (!answer.IsOk()) return PrintFailure(answer, options.arguments[0]);
  if (options.json) {
    std::cout << answer.body << "\n";
    return kExitOk;
  }
  std::vector<std::vector<std::string>> rows = {{"AFTER", "PART", "REASON"}};
  const json found = answer.Json();
  for (const json& decision : found["decisions"]) {
    constexpr double kMicrosecondsPerMillisecond = 1e3;
    char after[32];
    std::snprintf(
        after, sizeof(after), "%.2f ms",
        decision["after_us"].get<double>() / kMicrosecondsPerMillisecond);
    rows.push_back({after, decision["part"], decision["reason"]});
  }
  internal::PrintTable(rows);
  return kExitOk;
}

int ExplainLog(const CtlOptions& options) {
  if (options.arguments.size() != 1) {
    PrintError("name one request id");
    return kExitUsage;
  }
  std::ifstream file;
  if (!options.file.empty()) {
    file.open(options.file);
    if (!file) {
      PrintError("cannot read \"" + options.file + "\"");
      return kExitUsage;
    }
  }
  std::istream* log = options.file.empty() ? &std::cin : &file;
  std::vector<std::vector<std::string>> rows =
      FindRequestEvents(log, options.arguments[0]);
  if (rows.empty()) {
    PrintError("no line about request " + options.arguments[0]);
    return kExitFailed;
  }
  rows.insert(rows.begin(), {"PROCESS", "AFTER", "EVENT", "FACTS"});
  internal::PrintTable(rows);
  return kExitOk;
}

int Drain(const CtlOptions& options) {
  const auto platform = ParseAddressOption("platform", options.platform);
  if (!platform.has_value()) return kExitUsage;
  const bool undo =
      options.arguments.size() == 2 && options.arguments[1] == "off";
  if (options.arguments.empty() || (options.arguments.size() == 2 && !undo)) {
    PrintError("name one upstream, and \"off\" after it to take it back in");
    return kExitUsage;
  }
  CtlClient client;
  CtlAnswer answer;
  const ResourceKey key{"Upstream", options.arguments[0]};
  const auto current = internal::FetchObject(&client, *platform, key, &answer);
  if (!current.has_value()) return PrintFailure(answer, "Upstream/" + key.name);
  json spec = json::parse(current->value);
  spec["drain"] = !undo;
  const auto version =
      internal::WriteResource(&client, *platform, {key, spec.dump()}, &answer);
  if (!version.has_value()) return PrintFailure(answer, "Upstream/" + key.name);
  std::cout << "Upstream/" << key.name
            << (undo ? " takes work again\n" : " takes no new work\n");
  if (!options.wait) return kExitOk;
  return internal::WaitUntilInForce(&client, *platform, *version,
                                    options.timeout);
}

int Metrics(const CtlOptions& options) {
  const auto entry = ParseAddressOption("entry", options.entry);
  if (!entry.has_value()) return kExitUsage;
  CtlClient client;
  const CtlAnswer answer = client.Call(*entry, "GET", "/metrics");
  if (!answer.IsOk()) return PrintFailure(answer, "entry " + options.entry);
  if (options.json) {
    std::cout << answer.body;
  } else {
    PrintMetrics(answer.body);
  }
  return kExitOk;
}

}  // namespace

const std::vector<Verb>& AllVerbs() {
  static const std::vector<Verb> kVerbs = {
      {"validate", "-f FILE", "Checks resources in a file. Changes nothing.",
       Validate},
      {"apply", "-f FILE [--no-wait]",
       "Writes the resources of a file and waits until they are in force "
       "everywhere, or prints why they are refused.",
       Apply},
      {"get", "KIND | KIND/NAME", "Prints resources as they are written.", Get},
      {"delete", "KIND/NAME [--no-wait]",
       "Deletes a resource and waits like apply.", Delete},
      {"status", "",
       "Prints services, upstreams, entries and generations, and who is "
       "behind.",
       Status},
      {"explain", "REQUEST_ID",
       "Prints what was decided about a request, when and why. Ask the entry "
       "that answered it.",
       Explain},
      {"explain-log", "REQUEST_ID [-f FILE]",
       "Prints what log lines, from a file or standard input, say about a "
       "request.",
       ExplainLog},
      {"drain", "UPSTREAM [off]",
       "Has an upstream take no new work and finish what it has.", Drain},
      {"metrics", "",
       "Prints a histogram for each team and class; with -o json the text "
       "that the entry exports.",
       Metrics},
  };
  return kVerbs;
}

}  // namespace burdockhill
