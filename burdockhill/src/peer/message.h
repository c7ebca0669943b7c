#ifndef BURDOCKHILL_SRC_PEER_MESSAGE_H_
#define BURDOCKHILL_SRC_PEER_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/error_kind.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/base/store_revision.h"
#include "burdockhill/src/base/units.h"

namespace burdockhill {

enum class Role : uint8_t { kEntry, kAgent };

// The phase of requests that an engine runs.
enum class EngineRole : uint8_t { kPrefill, kDecode };

// Priority class of a request, most urgent first.
enum class RequestClass : uint8_t { kInteractive, kStandard, kBatch };

// First message of each side on a connection: identifies the sender.
struct Hello {
  VmName vm;
  Role role = Role::kEntry;
  ZoneName zone;
  RegionName region;
  Incarnation incarnation;
  std::string nonce;  // Random bytes; makes each session key unique.
  // The sender keeps what StreamOrigin tells. Processes that do not know that
  // message close the connection on which it arrives. Entries that know it, but
  // do not say so, ignore it.
  bool keeps_origins = false;
  // The same of TeamLeaseRequest and its answers.
  bool grants_leases = false;
};

// Application-level liveness probe. The receiver sends it back with `reply`
// set.
struct Heartbeat {
  uint64_t sequence = 0;
  bool reply = false;
};

// Entry to agent: reserves a decode slot and KV cache memory for the whole
// request.
struct ReserveDecode {
  AttemptId attempt;
  ServiceName service;
  RequestClass request_class = RequestClass::kStandard;
  Tokens prompt;
  Tokens expected_output;
  Duration wait_budget{0};  // Longest time that the entry waits for a grant.
  // Time left until a grant comes too late for the latency target. From then
  // on, requests that can still meet their target go first.
  Duration target_left{0};
  uint8_t priority = 0;  // 0 is the most urgent.
  TeamName team{};       // Invalid if the caller belongs to none.
};

// Entry to agent: reserves time on a prefill engine. The entry releases the
// reservation with CancelAttempt once the engine has answered.
struct ReservePrefill {
  AttemptId attempt;
  Tokens prompt;
  Duration wait_budget{0};
  Duration target_left{0};
  uint8_t priority = 0;  // 0 is the most urgent.
  TeamName team{};       // Invalid if the caller belongs to none.
};

// Entry to agent: asks for the KV cache of a prompt to be computed.
struct StartPrefill {
  AttemptId attempt;
  ServiceName service;
  RequestClass request_class = RequestClass::kStandard;
  Tokens prompt;
  std::string text;        // Of the prompt.
  std::string parameters;  // JSON object, forwarded unchanged.
  Duration wait_budget{0};
};

// Entry to agent: starts the decode on the slot granted to the same attempt.
struct StartDecode {
  AttemptId attempt;
  std::string kv_handle;
  std::string kv_source;  // Address of the engine that exports the KV cache.
  Tokens prompt;
  Tokens max_output;
  uint64_t first_offset = 0;  // Tokens delivered by earlier attempts.
  std::string parameters;
};

// Entry to agent: ends the attempt and frees everything that it holds. An agent
// that runs attempts itself answers with AttemptReleased, also for an attempt
// that is unknown to it, and then refuses a start message for that attempt that
// arrives late. An agent that only grants reservations does not answer.
struct CancelAttempt {
  AttemptId attempt;
};

// Entry to agent: extends the hold of each attempt on its resources, which the
// agent frees when the hold expires.
struct RenewHolds {
  std::vector<AttemptId> attempts;
};

// Entry to agent: asks for the state of the attempt and for its stream from
// token `offset` on, after a reconnect or when chunks are missing. An attempt
// that is unknown to the agent is refused, and so is a start message for it
// that arrives late.
struct AttachAttempt {
  AttemptId attempt;
  uint64_t offset = 0;
};

// Entry to agent: one call to a plain service.
struct CallService {
  AttemptId attempt;
  ServiceName service;
  std::string method;
  std::string path;
  std::string content_type;
  std::string idempotency_key;
  std::string body;
  Duration timeout{0};
};

// Agent to entry: the requested resources are reserved on `engine`.
struct ReserveGranted {
  AttemptId attempt;
  EngineName engine;
  // Agents with a registry only: when the process of the engine started, see
  // RegisteredUpstream; zero if unknown.
  int64_t engine_started_at_ms = 0;
};

// Agent to entry: the attempt has not run and will not run.
struct AttemptRefused {
  AttemptId attempt;
  ErrorKind kind = ErrorKind::kOverloaded;
  Duration retry_after{0};
};

// Agent to entry: the prefill is complete. Its KV cache can be imported from
// `kv_source` for a short time.
struct PrefillDone {
  AttemptId attempt;
  std::string kv_handle;
  std::string kv_source;
  Tokens prompt;  // As counted by the engine.
  Tokens reused;  // Those of `prompt` found in the engine's prefix cache.
};

// Agent to entry: consecutive tokens of the output. `offset` is the number of
// output tokens before them.
struct StreamChunk {
  AttemptId attempt;
  uint64_t offset = 0;
  uint32_t tokens = 0;
  std::string text;
  std::string finish_reason;  // Empty except in the last chunk.
};

// Agent to entry: the attempt was sent to the upstream, may have run, and
// failed without a complete output.
struct AttemptFailed {
  AttemptId attempt;
  ErrorKind kind = ErrorKind::kUpstreamFailed;
};

// Agent to entry: the complete response of a plain service.
struct CallAnswered {
  AttemptId attempt;
  int32_t status = 0;
  std::string content_type;
  std::string body;
};

// Agent to entry: the attempt has ended and needs no further renewal or cancel.
// A cancelled call to a plain service may still occupy its slot until it ends.
struct AttemptReleased {
  AttemptId attempt;
};

// Size of one piece of `EngineLoad::free_pieces` in load reports of agents with
// a registry.
inline constexpr Tokens kReportedPieceSize(256);

// State of one engine as known to its agent.
struct EngineLoad {
  EngineName name;  // Only in the first report on a connection.
  EngineRole role = EngineRole::kDecode;
  bool healthy = true;
  uint32_t running = 0;
  uint32_t slots = 0;
  uint32_t waiting = 0;
  Pieces free_pieces;
  Tokens queued_prefill;     // Prompt tokens accepted and not yet computed.
  int64_t prefill_rate = 0;  // Tokens a second.
};

// Agent to entry: what the upstream serves and its load. Sent when a connection
// comes up, when the upstream starts to leave, and periodically: every 1 to 2
// seconds, or every 100 to 500 ms by agents with a registry.
struct LoadReport {
  // `upstream` and `service` are set only in the first report on a connection.
  UpstreamName upstream;
  ServiceName service;
  bool plain = false;
  bool leaving = false;
  Generation in_force;
  Generation staged;
  std::vector<EngineLoad> engines;
  // Agents with a registry only: requests a second that the engine can serve at
  // full load in its present role. Zero if unknown.
  double service_rate = 0;
  // The same agents, of the engine at its present load; zero if not measured.
  double prompt_rate = 0;   // Prompt tokens a second.
  double output_rate = 0;   // Output tokens a second of one run.
  Duration decode_wait{0};  // Until a typical request would be granted memory.
};

// Requests a second that one engine of each pool can serve at full load, as a
// mean over the engines of a service. Zero where no engine has measured it.
// Also a message from entry to agent, with the rates of the agent's service.
struct PoolRates {
  double prefill = 0;
  double decode = 0;

  bool AreKnown() const { return prefill > 0 && decode > 0; }
};

// Announces that the sender has a configuration in force (`accepted`) or
// staged. Between entries that read a registry, an offer without `accepted` is
// a request for a configuration newer than `generation`.
struct ConfigurationOffer {
  Generation generation;
  bool accepted = false;
  std::string content;  // JSON text; empty if only the generation is announced.
};

// Entry to coordinator: the generations that VMs have staged and in force.
struct ConfigurationState {
  struct Vm {
    VmName name;
    Generation staged;
    Generation in_force;
  };
  std::vector<Vm> vms;
};

// An object of the store, with its content unchanged.
struct RelayedObject {
  std::string name;
  StoreRevision revision;
  std::string content;
};

// Entry to entry: requests the list of registered upstreams, or contains it.
struct Registrations {
  bool request = false;
  StoreRevision revision;  // Store revision that the list corresponds to.
  std::vector<RelayedObject> objects;
};

// Entry to entry: an upstream crashed while it ran a request.
struct CrashNotice {
  uint64_t fingerprint = 0;  // Identifies the content of the request.
  UpstreamName upstream;
};

// Entry to entry: an upstream crashed on a part of a prompt, or, without an
// upstream, the part is sound. See PromptPartQuarantine.
struct PromptPartNotice {
  PromptPartName part;
  UpstreamName upstream;
  Duration age{0};  // Since the crash or the start of the sound answer.
};

// Entry to entry: an upstream has stated another rate limit, or none any more.
struct RateLimitNotice {
  UpstreamName upstream;
  std::optional<double> requests_per_second;
  Duration age{0};  // Since the upstream stated it.
};

// Entry to the coordinator of an upstream: asks for a permit to send one
// request to it.
struct PermitRequest {
  uint64_t id = 0;  // Of the request for a permit, unique at its sender.
  Duration max_wait{0};
  RateLimitNotice limit;  // As known to the sender.
};

// Coordinator to entry: the answer to a PermitRequest.
struct PermitAnswer {
  uint64_t id = 0;
  bool granted = false;
  // Until the permit may be used, or, if it is not granted, until one may be
  // that the entry can ask for.
  Duration wait{0};
  uint32_t entries = 0;  // That the coordinator knows.
};

// An upstream of this version has written the first event of a stream, see
// StreamKey. An entry tells its agents, they tell other entries, and each of
// them keeps it for a time.
struct StreamOrigin {
  ServiceName service;
  RequestId stream;
  SoftwareVersion version;
  Duration keep{0};
  // To an agent: which of the stream's holders it is, the first one is 1. It
  // tells the entry at the same position. Zero if it tells none.
  uint8_t holder = 0;
  StreamOwner owner{};
};

// Entry to agent or entry: asks which version began a stream.
struct StreamOriginQuery {
  uint64_t id = 0;  // Of the search, unique at its sender.
  ServiceName service;
  RequestId stream;
  StreamOwner owner{};
};

// The answer to a StreamOriginQuery.
struct StreamOriginAnswer {
  uint64_t id = 0;
  SoftwareVersion version;  // Empty if unknown.
  // If positive, another answer follows within this time: the sender has just
  // started and gets its copies from those that hold them.
  Duration wait{0};
};

// Entry to the coordinator of a team: asks for a part of the team's limit.
// Units are those of the limit.
struct TeamLeaseRequest {
  uint64_t id = 0;  // Of the request for a lease, unique at its sender.
  TeamName team;
  int64_t needed = 0;  // For requests that wait.
  int64_t wanted = 0;  // In all, with what is expected to arrive soon.
  // Used by the sender, or granted by it to others, since its last request
  // without a lease from this coordinator.
  int64_t used_elsewhere = 0;
  // Still held of earlier leases of this coordinator.
  int64_t held = 0;
};

// Coordinator to entry: the answer to a TeamLeaseRequest.
struct TeamLeaseAnswer {
  uint64_t id = 0;
  TeamName team;
  int64_t granted = 0;  // Zero if less than `needed` is available.
  // Of all that the sender holds of this coordinator, from when it asked.
  Duration lifetime{0};
  Duration wait{0};      // If nothing is granted: until `needed` is available.
  uint32_t entries = 0;  // That the coordinator knows.
  // If nothing is granted: what is available now; negative if requests have
  // cost more than was available.
  int64_t available = 0;
};

// Entry to coordinator: gives back a part of its leases that it has not used.
struct TeamLeaseReturn {
  TeamName team;
  int64_t amount = 0;
};

using Message = std::variant<
    Hello, Heartbeat, ReserveDecode, StartPrefill, StartDecode, CancelAttempt,
    RenewHolds, AttachAttempt, CallService, ReserveGranted, AttemptRefused,
    PrefillDone, StreamChunk, AttemptFailed, CallAnswered, AttemptReleased,
    LoadReport, ConfigurationOffer, ConfigurationState, ReservePrefill,
    Registrations, CrashNotice, PoolRates, PromptPartNotice, RateLimitNotice,
    PermitRequest, PermitAnswer, StreamOrigin, StreamOriginQuery,
    StreamOriginAnswer, TeamLeaseRequest, TeamLeaseAnswer, TeamLeaseReturn>;

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_PEER_MESSAGE_H_
