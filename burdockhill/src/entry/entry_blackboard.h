#ifndef BURDOCKHILL_SRC_ENTRY_ENTRY_BLACKBOARD_H_
#define BURDOCKHILL_SRC_ENTRY_ENTRY_BLACKBOARD_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/error_kind.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/base/random.h"
#include "burdockhill/src/base/table.h"
#include "burdockhill/src/base/units.h"
#include "burdockhill/src/entry/caller_port.h"
#include "burdockhill/src/entry/configuration_content.h"
#include "burdockhill/src/entry/decision_log.h"
#include "burdockhill/src/entry/rate_limit.h"
#include "burdockhill/src/metrics/metrics_registry.h"
#include "burdockhill/src/peer/message.h"
#include "burdockhill/src/resources/configuration.h"
#include "burdockhill/src/store/object_store.h"

namespace burdockhill {

enum class RequestPhase {
  kArrived,     // Waits for admission.
  kWaiting,     // Waits to be placed.
  kReserving,   // Waits for a decode slot.
  kPrefilling,  // Has a decode slot; its prompt is computed.
  kDecoding,    // Its answer comes.
  kCalling,     // A plain service has it.
  kEnded,       // Waits for its final answer to be handed over.
};

// How a request ended.
struct RequestEnd {
  std::optional<RequestError> error;
  std::string finish_reason;           // Of a model.
  std::optional<CallAnswered> answer;  // Of a plain service.
};

// A request between its arrival and its final answer.
struct Request {
  CallerRequest asked;
  RequestPhase phase = RequestPhase::kArrived;
  TeamName team;
  RequestClass request_class = RequestClass::kStandard;
  PolicyName policy;
  Tokens max_output;
  // Of a plain call, as its service was configured when it was admitted: the
  // service may be deleted while the call is in flight.
  Duration call_timeout{0};
  bool repeatable = false;
  TimePoint arrived{};
  TimePoint first_token_by{};  // Given up if nothing has come by then.
  TimePoint progress_at{};     // Last sign of life from upstream.
  std::optional<TimePoint> first_token_at;

  uint32_t last_attempt_number = 0;
  int64_t rounds = 0;               // Times that it was placed.
  std::set<VmName> avoid;           // Upstreams that refused or failed it.
  Duration retry_after{0};          // Shortest that an upstream has asked for.
  int64_t unproved_runs = 0;        // Attempts that may have run.
  std::set<AttemptId> legs;         // Attempts not yet being released.
  std::optional<AttemptId> decode;  // Its granted decode slot.
  std::optional<AttemptId> prefill;
  std::string kv_handle;  // Result of the prefill, at engine `kv_source`.
  std::string kv_source;

  TokenUsage usage;
  uint64_t delivered = 0;      // Tokens that the caller was given.
  std::string delivered_text;  // For going on elsewhere.
  std::optional<RequestEnd> end;
  bool caller_gone = false;
  bool counted = false;  // In the team's concurrent requests.
};

enum class LegKind { kDecode, kPrefill, kCall };

// An attempt at an agent, kept until the agent has said that it holds nothing
// for it any more.
struct Leg {
  AttemptId id;
  RequestId request;
  VmName vm;
  LegKind kind = LegKind::kDecode;
  bool releasing = false;
  TimePoint release_again_at{};
  TimePoint forget_at{};  // When releasing: the agent has let go by itself.
};

enum class PeerState {
  kDown,    // Not connected, or silent for long; not used.
  kUp,      // Heard of lately.
  kSilent,  // Nothing heard; a new connection is being tried.
};

// An agent as this entry sees it. A hint: the agent decides.
struct UpstreamView {
  VmName vm;
  PeerState state = PeerState::kDown;
  std::string address;
  ZoneName zone;
  RegionName region;
  bool listed = false;        // On the platform's list.
  bool list_leaving = false;  // The platform says that it leaves.
  Incarnation incarnation;
  TimePoint last_heard{};
  TimePoint silent_since{};
  TimePoint next_heartbeat{};
  TimePoint next_dial{};
  std::optional<LoadReport> report;
  // Placed here since the last report, which does not show them yet.
  int64_t decodes_since_report = 0;
  Tokens prefill_since_report;

  bool IsUsable() const {
    return state == PeerState::kUp && report.has_value() && !report->leaving &&
           !list_leaving;
  }
};

// An attempt that ended without result.
struct AttemptEnd {
  AttemptId id;
  VmName vm;
  ErrorKind kind = ErrorKind::kInternal;
  bool ran = true;  // False only if the agent proved that it did not.
  Duration retry_after{0};
};

struct EntryIdentity {
  VmName vm;
  ZoneName zone;
  RegionName region;
  Incarnation incarnation;
};

// What one team uses of this entry.
struct TeamUse {
  RateLimit rate;
  int64_t concurrent = 0;
};

// Generations that a VM has told of.
struct VmGenerations {
  Generation staged;
  Generation in_force;
  TimePoint heard{};
};

// All that the entry's controllers know. Plain data; controllers read and
// write it and never call each other.
struct EntryBlackboard {
  explicit EntryBlackboard(Random* source) : random(source) {}

  EntryIdentity self;
  TimePoint now{};
  Random* random;
  bool leaving = false;

  std::shared_ptr<const Configuration> configuration;  // In force; may be null.
  Generation staged;
  Generation in_force;
  std::shared_ptr<const ConfigurationContent> in_force_content;
  std::shared_ptr<const ConfigurationContent> staged_content;
  std::optional<VmName> coordinator;  // Holder of the configuration lease.

  std::vector<ListedVm> listed_vms;
  int64_t live_entries = 1;                  // Including this one.
  std::map<VmName, UpstreamView> upstreams;  // By the VM of their agent.
  std::map<VmName, TimePoint> entry_peers;   // Connected entries, last heard.
  std::map<VmName, VmGenerations> generations;  // As other VMs report them.

  Table<RequestId, Request> requests;
  Table<AttemptId, Leg> legs;
  std::map<TeamName, TeamUse> team_use;
  std::map<PolicyName, RateLimit> retry_budgets;

  // Facts, each for one controller.
  std::vector<RequestId> arrived;        // For Admission.
  std::vector<RequestId> to_place;       // For Placement.
  std::vector<RequestId> to_prefill;     // For PrefillDispatch.
  std::vector<RequestId> to_decode;      // For Streaming.
  std::vector<AttemptEnd> attempt_ends;  // For Retrying.
  std::vector<AttemptId> to_release;     // For Releasing.
  std::vector<RequestId> ended;          // For Answering.
  std::vector<VmName> lost_agents;       // For Retrying: all attempts there.
  std::vector<VmName> resumed_agents;    // For Releasing: same incarnation.

  uint64_t stream_tokens = 0;  // Passed on to callers since the start.
  DecisionLog decisions;
  MetricsRegistry metrics;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_ENTRY_BLACKBOARD_H_
