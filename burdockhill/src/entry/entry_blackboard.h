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
  kArrived,            // Waiting for admission.
  kAwaitingPlacement,  // Waiting for placement.
  kReserving,          // Decode slots requested, none granted yet.
  kPrefilling,         // Decode slot granted; the prompt is being computed.
  kDecoding,           // Decode requested; tokens are being streamed.
  kCalling,            // Sent to a plain service.
  kEnded,              // Waiting for Answering to send the final answer.
};

// How a request ended.
struct RequestEnd {
  std::optional<RequestError> error;
  std::string finish_reason;           // Set for a model request.
  std::optional<CallAnswered> answer;  // Set for a call to a plain service.
};

// A request between its arrival and its final answer.
struct Request {
  CallerRequest inbound;  // As received from the caller.
  RequestPhase phase = RequestPhase::kArrived;
  TeamName team;
  RequestClass request_class = RequestClass::kStandard;
  PolicyName policy;
  Tokens max_output;
  // For calls to plain services: settings of the service at admission, since
  // the service may be deleted while the call is in flight.
  Duration call_timeout{0};
  bool repeatable = false;  // The call may be retried.
  Generation generation;    // In force at admission.
  TimePoint arrived_at{};
  TimePoint first_token_deadline{};
  TimePoint last_progress_at{};  // Last progress of any attempt.
  std::optional<TimePoint> first_token_at;

  uint32_t last_attempt_number = 0;
  int64_t placements = 0;           // Times that it was placed.
  std::set<VmName> excluded_vms;    // Upstreams that refused or failed it.
  Duration retry_after{0};          // Shortest one that an upstream named.
  int64_t possible_executions = 0;  // Attempts that may have run.
  std::set<AttemptId> attempts;     // Attempts that are not being released.
  std::optional<AttemptId> decode_attempt;  // Holds the granted decode slot.
  std::optional<AttemptId> prefill_attempt;
  std::string kv_handle;  // KV cache of the prompt, exported by `kv_source`.
  std::string kv_source;  // Address of the prefill engine.

  TokenUsage usage;
  uint64_t sent_tokens = 0;  // Passed on to the caller.
  std::string sent_text;     // Appended to the prompt on a resume.
  std::optional<RequestEnd> end;
  bool caller_disconnected = false;
  bool is_counted = false;  // In TeamUsage::open_requests.
};

enum class EntryAttemptKind { kDecode, kPrefill, kCall };

// An attempt of a request at one agent, kept until the agent has confirmed that
// it holds nothing for the attempt any more.
struct EntryAttempt {
  AttemptId id;
  RequestId request;
  VmName vm;
  EntryAttemptKind kind = EntryAttemptKind::kDecode;
  bool releasing = false;
  TimePoint next_release_at{};
  // While releasing: the agent's hold has expired by then, so the attempt is
  // erased without confirmation.
  TimePoint expires_at{};
};

enum class PeerState {
  kDown,    // Not connected yet, or its attempts were given up after silence.
  kUp,      // Connected, and heard from recently.
  kSilent,  // Nothing heard; a new connection is being opened.
};

// An agent as this entry sees it. May be out of date; the agent decides.
struct UpstreamView {
  VmName vm;
  PeerState state = PeerState::kDown;
  std::string address;
  ZoneName zone;
  RegionName region;
  bool is_listed = false;          // On the platform's VM list.
  bool listed_as_leaving = false;  // Marked as leaving on that list.
  // The generation that has dropped it from the configuration, if any.
  std::optional<Generation> dropped_by;
  Incarnation incarnation;
  TimePoint last_heard{};
  TimePoint silent_since{};
  TimePoint next_heartbeat{};
  TimePoint next_connect{};
  std::optional<LoadReport> report;
  // Decode reservations requested and calls sent since the last load report,
  // and prompt tokens sent for prefill; the report does not include them yet.
  int64_t requests_since_report = 0;
  Tokens prefill_since_report;

  bool IsUsable() const {
    return state == PeerState::kUp && report.has_value() && !report->leaving &&
           !listed_as_leaving;
  }
  // Whether it takes this request. One that was admitted before the upstream
  // was dropped may still end there.
  bool Takes(const Request& request) const {
    const bool is_dropped =
        dropped_by.has_value() && request.generation >= *dropped_by;
    return IsUsable() && !is_dropped &&
           report->service == request.inbound.service &&
           !request.excluded_vms.contains(vm);
  }
};

// An attempt that ended without a result.
struct AttemptEnd {
  AttemptId id;
  VmName vm;
  ErrorKind kind = ErrorKind::kInternal;
  // False only if the agent confirmed that it did not run.
  bool may_have_run = true;
  Duration retry_after{0};
};

struct EntryIdentity {
  VmName vm;
  ZoneName zone;
  RegionName region;
  Incarnation incarnation;
};

// A team's use of its limits at this entry.
struct TeamUsage {
  RateLimit rate_limit;
  int64_t open_requests = 0;
};

// Configuration generations that a VM has reported.
struct VmGenerations {
  Generation staged;
  Generation in_force;
  TimePoint last_heard{};
};

// The shared state of the entry's controllers. Plain data: controllers read and
// write it and never call each other.
struct EntryBlackboard {
  explicit EntryBlackboard(Random* source) : random(source) {}

  EntryIdentity self;
  TimePoint now{};
  Random* random;
  bool leaving = false;

  // Parsed form of in_force_content; null until a generation is in force.
  std::shared_ptr<const Configuration> configuration;
  Generation staged;
  Generation in_force;
  std::shared_ptr<const ConfigurationContent> in_force_content;
  std::shared_ptr<const ConfigurationContent> staged_content;
  std::optional<VmName> coordinator;  // Named by Configuration/state.

  std::vector<ListedVm> listed_vms;
  int64_t listed_entries = 1;                // On that list, at least 1.
  std::map<VmName, UpstreamView> upstreams;  // By the VM of their agent.
  std::map<VmName, TimePoint> entry_peers;   // Connected entries, last heard.
  std::map<VmName, VmGenerations> generations;  // Of this and other VMs.

  Table<RequestId, Request> requests;
  Table<AttemptId, EntryAttempt> attempts;
  std::map<TeamName, TeamUsage> team_usage;
  std::map<PolicyName, RateLimit> retry_budgets;  // One permit a retry.

  // Work queues, each consumed by one controller.
  std::vector<RequestId> to_admit;       // For Admission.
  std::vector<RequestId> to_place;       // For Placement.
  std::vector<RequestId> to_prefill;     // For PrefillDispatch.
  std::vector<RequestId> to_decode;      // For Streaming.
  std::vector<AttemptEnd> attempt_ends;  // For Retrying.
  std::vector<AttemptId> to_release;     // For Releasing.
  std::vector<RequestId> to_answer;      // For Answering.
  std::vector<VmName> lost_agents;       // For Retrying: fails attempts there.
  // For Releasing: agents that have reconnected with the same incarnation.
  std::vector<VmName> resumed_agents;

  uint64_t stream_tokens = 0;  // Sent to callers since process start.
  DecisionLog decisions;
  MetricsRegistry metrics;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_ENTRY_BLACKBOARD_H_
