#include "burdockhill/src/ctl/verb_support.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

namespace burdockhill::internal {

namespace {

constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;
constexpr int kMaxWriteAttempts = 5;
constexpr Duration kPollInterval = std::chrono::milliseconds(200);

std::string ObjectPath(const ResourceKey& key) {
  return "/v1/objects/" + key.kind + "/" + key.name;
}

// Prints the refused changes up to `version` that no later write has replaced.
// Returns whether there are any.
bool PrintRefusals(const ConfigurationStateObject& state, uint64_t version) {
  bool any = false;
  for (const RefusedChange& change : state.refused) {
    if (change.version > version) continue;
    any = true;
    PrintError("refused: " + change.key.kind + "/" + change.key.name +
               " version " + std::to_string(change.version) + ": " +
               change.reason);
  }
  return any;
}

}  // namespace

void PrintError(const std::string& message) {
  std::cerr << "burdockhillctl: " << message << "\n";
}

std::optional<Address> ParseAddressOption(const std::string& option,
                                          const std::string& value) {
  std::optional<Address> address = ParseAddress(value);
  if (!address.has_value()) {
    PrintError("--" + option + " must be \"IP number:port\", not \"" + value +
               "\"");
  }
  return address;
}

int PrintFailure(const CtlAnswer& answer, const std::string& what) {
  if (!answer.reached) {
    PrintError(what + ": no answer");
    return kExitUnreachable;
  }
  PrintError(what + ": status " + std::to_string(answer.status) + " " +
             answer.body);
  return kExitFailed;
}

std::optional<std::vector<ResourceText>> ReadResources(
    const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    PrintError("cannot read \"" + path + "\"; name a file with -f");
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  FieldErrors errors;
  std::vector<ResourceText> resources = ParseResourceFile(text.str(), &errors);
  if (!errors.empty()) {
    PrintError(path + ":\n" + FormatErrors(errors));
    return std::nullopt;
  }
  return resources;
}

void PrintTable(const std::vector<std::vector<std::string>>& rows) {
  constexpr size_t kGap = 2;
  std::vector<size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : rows) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size()) {
        line += std::string(widths[i] - row[i].size() + kGap, ' ');
      }
    }
    std::cout << line << "\n";
  }
}

std::optional<StoredObject> FetchObject(CtlClient* client,
                                        const Address& platform,
                                        const ResourceKey& key,
                                        CtlAnswer* answer) {
  *answer = client->Call(platform, "GET", ObjectPath(key));
  if (!answer->IsOk()) return std::nullopt;
  const nlohmann::json item = answer->Json();
  return StoredObject{key, item.value("version", uint64_t{0}),
                      item.value("value", ""), false};
}

std::optional<uint64_t> WriteResource(CtlClient* client,
                                      const Address& platform,
                                      const ResourceText& resource,
                                      CtlAnswer* answer) {
  for (int i = 0; i < kMaxWriteAttempts; ++i) {
    const auto current = FetchObject(client, platform, resource.key, answer);
    const bool absent = answer->reached && answer->status == kHttpNotFound;
    if (!current.has_value() && !absent) return std::nullopt;
    const uint64_t expected = absent ? 0 : current->version;
    if (!absent && current->value == resource.spec) return expected;
    *answer = client->Call(
        platform, "PUT",
        ObjectPath(resource.key) + "?expected=" + std::to_string(expected),
        resource.spec);
    if (answer->IsOk()) return answer->Json().value("version", uint64_t{0});
    if (answer->reached && answer->status != kHttpConflict) return std::nullopt;
  }
  return std::nullopt;
}

int WaitUntilInForce(CtlClient* client, const Address& platform,
                     uint64_t version, Duration timeout) {
  const SystemClock clock;
  const TimePoint deadline = clock.Now() + timeout;
  std::string waits_for = "the coordinator";
  while (clock.Now() < deadline) {
    client->Sleep(kPollInterval);
    CtlAnswer answer;
    const auto state_object =
        FetchObject(client, platform, ConfigurationStateKey(), &answer);
    if (!state_object.has_value()) continue;
    const auto state = ParseState(state_object->value);
    if (!state.has_value() || state->decided_revision < version) continue;
    if (PrintRefusals(*state, version)) return kExitFailed;
    const auto rollout_object =
        FetchObject(client, platform, RolloutKey(), &answer);
    if (!rollout_object.has_value()) continue;
    const auto rollout = ParseRollout(rollout_object->value);
    if (!rollout.has_value() || rollout->generation < state->accepted) continue;
    if (rollout->behind.empty()) {
      std::cout << "generation " << state->accepted.Value() << " in force on "
                << rollout->in_force << " of " << rollout->known << " VMs\n";
      return kExitOk;
    }
    waits_for.clear();
    for (const VmName& vm : rollout->behind) waits_for += " " + vm.Value();
  }
  PrintError("not in force in time; still waits for: " + waits_for);
  return kExitNotInTime;
}

}  // namespace burdockhill::internal
