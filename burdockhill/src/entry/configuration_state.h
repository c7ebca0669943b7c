#ifndef BURDOCKHILL_SRC_ENTRY_CONFIGURATION_STATE_H_
#define BURDOCKHILL_SRC_ENTRY_CONFIGURATION_STATE_H_

#include <optional>
#include <string>
#include <vector>

#include "burdockhill/src/base/id.h"
#include "burdockhill/src/resources/resource.h"

namespace burdockhill {

// Kind of the objects through which entries agree on the configuration.
inline constexpr char kConfigurationKind[] = "Configuration";
// Kind of the object that the coordinator renews.
inline constexpr char kLeaseKind[] = "Lease";

// Version of an operators' resource that was not accepted, and why.
struct RefusedChange {
  ResourceKey key;
  uint64_t version = 0;
  std::string reason;
};

// The object Configuration/state: the one place where a generation becomes
// accepted. Written by conditional update only.
struct ConfigurationStateObject {
  Generation accepted;
  Generation staged;  // Zero when no change is under way.
  VmName coordinator;
  // Store revision up to which operators' writes are decided.
  uint64_t decided_revision = 0;
  std::vector<RefusedChange> refused;  // Of the latest changes.
};

// The object Configuration/rollout: how far the accepted generation has got.
struct RolloutObject {
  Generation generation;
  int64_t in_force = 0;
  int64_t known = 0;
  std::vector<VmName> behind;
};

ResourceKey ConfigurationStateKey();
ResourceKey RolloutKey();
ResourceKey ConfigurationContentKey(Generation generation);

// JSON text of the objects. Reading text that is not one gives nullopt.
std::string FormatState(const ConfigurationStateObject& state);
std::optional<ConfigurationStateObject> ParseState(const std::string& text);
std::string FormatRollout(const RolloutObject& rollout);
std::optional<RolloutObject> ParseRollout(const std::string& text);

// The lease object: who holds it and a number that grows with each renewal.
struct LeaseObject {
  VmName holder;
  Incarnation incarnation;
  uint64_t beat = 0;
};
std::string FormatLease(const LeaseObject& lease);
std::optional<LeaseObject> ParseLease(const std::string& text);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_CONFIGURATION_STATE_H_
