#ifndef BURDOCKHILL_SRC_ENTRY_CONFIGURATION_STATE_H_
#define BURDOCKHILL_SRC_ENTRY_CONFIGURATION_STATE_H_

#include <optional>
#include <string>
#include <vector>

#include "burdockhill/src/base/id.h"
#include "burdockhill/src/resources/resource.h"

namespace burdockhill {

// Kind of the object that holds the agreed state of the configuration.
inline constexpr char kConfigurationKind[] = "Configuration";
// Kind of the coordinator's lease object.
inline constexpr char kLeaseKind[] = "Lease";

// A version of a resource that was refused, and why.
struct RefusedChange {
  ResourceKey key;
  uint64_t version = 0;
  std::string reason;
};

// The object Configuration/state. Updating it is what accepts a generation; it
// is written by conditional update only.
struct ConfigurationStateObject {
  Generation accepted;
  Generation staged;  // Zero while no change is staged.
  VmName coordinator;
  // Operators' writes up to this store revision have been accepted or refused.
  uint64_t decided_revision = 0;
  std::vector<RefusedChange> refused;  // By the latest decision.
};

// The object Rollout/configuration: progress of the accepted generation.
struct RolloutObject {
  Generation generation;
  int64_t in_force = 0;        // Live VMs that have it in force.
  int64_t known = 0;           // Live VMs.
  std::vector<VmName> behind;  // Live VMs that do not have it in force yet.
};

ResourceKey ConfigurationStateKey();
ResourceKey RolloutKey();
ResourceKey ConfigurationContentKey(Generation generation);

// JSON text of the objects. Parsing returns nullopt for invalid text.
std::string FormatState(const ConfigurationStateObject& state);
std::optional<ConfigurationStateObject> ParseState(const std::string& text);
std::string FormatRollout(const RolloutObject& rollout);
std::optional<RolloutObject> ParseRollout(const std::string& text);

// The object Lease/configuration.
struct LeaseObject {
  VmName holder;
  Incarnation incarnation;
  uint64_t beat = 0;  // Incremented by each renewal.
};
std::string FormatLease(const LeaseObject& lease);
std::optional<LeaseObject> ParseLease(const std::string& text);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_CONFIGURATION_STATE_H_
