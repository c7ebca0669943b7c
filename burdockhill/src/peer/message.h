#ifndef BURDOCKHILL_SRC_PEER_MESSAGE_H_
#define BURDOCKHILL_SRC_PEER_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/error_kind.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/base/units.h"

namespace burdockhill {

enum class Role : uint8_t { kEntry, kAgent };

// What an engine is used for.
enum class EngineRole : uint8_t { kPrefill, kDecode };

// Requests of a more urgent class go before those of a less urgent one.
enum class RequestClass : uint8_t { kInteractive, kStandard, kBatch };

// First message on a connection: who is speaking.
struct Hello {
  VmName vm;
  Role role = Role::kEntry;
  ZoneName zone;
  RegionName region;
  Incarnation incarnation;
  std::string nonce;  // Random bytes; makes every session key new.
};

// Application-level liveness probe; the receiver answers with `reply` set.
struct Heartbeat {
  uint64_t sequence = 0;
  bool reply = false;
};

// Entry to agent: asks for a decode slot and memory for the whole request.
struct ReserveDecode {
  AttemptId attempt;
  ServiceName service;
  RequestClass request_class = RequestClass::kStandard;
  Tokens prompt;
  Tokens expected_output;
  Duration wait_budget{0};  // How long the entry will wait for the grant.
  // After this long the answer misses its latency target; the request then
  // gives way to those that can still meet theirs.
  Duration target_left{0};
  uint8_t priority = 0;  // 0 is the most urgent.
};

// Entry to agent: asks for a turn on a prefill engine. The turn is given back
// by CancelAttempt once the engine has answered.
struct ReservePrefill {
  AttemptId attempt;
  Tokens prompt;
  Duration wait_budget{0};
  Duration target_left{0};
  uint8_t priority = 0;  // 0 is the most urgent.
};

// Entry to agent: computes the KV cache of a prompt.
struct StartPrefill {
  AttemptId attempt;
  ServiceName service;
  RequestClass request_class = RequestClass::kStandard;
  Tokens prompt;
  std::string text;
  std::string parameters;  // JSON object, passed on as it came.
  Duration wait_budget{0};
};

// Entry to agent: decodes on the slot granted to the same attempt.
struct StartDecode {
  AttemptId attempt;
  std::string kv_handle;
  std::string kv_source;  // Address of the engine that exports the KV cache.
  Tokens prompt;
  Tokens max_output;
  uint64_t first_offset = 0;  // Tokens that an earlier attempt delivered.
  std::string parameters;
};

// Entry to agent: frees all that the attempt holds. Answered by
// AttemptReleased, also for an attempt that the agent has never seen; a start
// that arrives after the cancel is refused.
struct CancelAttempt {
  AttemptId attempt;
};

// Entry to agent: keeps the holds of these attempts alive.
struct RenewHolds {
  std::vector<AttemptId> attempts;
};

// Entry to agent, over a new connection: asks for what became of the attempt,
// and for its stream from token `offset` on. An attempt that the agent has not
// seen is refused, and so is its start if that should still arrive.
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

// Agent to entry: the slot and memory asked for are held.
struct ReserveGranted {
  AttemptId attempt;
  EngineName engine;
};

// Agent to entry: the attempt did not run and never will.
struct AttemptRefused {
  AttemptId attempt;
  ErrorKind kind = ErrorKind::kOverloaded;
  Duration retry_after{0};
};

// Agent to entry: the prompt's KV cache can be imported for a short time.
struct PrefillDone {
  AttemptId attempt;
  std::string kv_handle;
  std::string kv_source;
  Tokens prompt;  // As the engine counted it.
  Tokens reused;  // Of these, found in the engine's prefix cache.
};

// Agent to entry: a run of answer tokens. `offset` counts the tokens before it.
struct StreamChunk {
  AttemptId attempt;
  uint64_t offset = 0;
  uint32_t tokens = 0;
  std::string text;
  std::string finish_reason;  // Empty while more is to come.
};

// Agent to entry: the attempt was passed on and ended without an answer.
struct AttemptFailed {
  AttemptId attempt;
  ErrorKind kind = ErrorKind::kUpstreamFailed;
};

// Agent to entry: the whole answer of a plain service.
struct CallAnswered {
  AttemptId attempt;
  int32_t status = 0;
  std::string content_type;
  std::string body;
};

// Agent to entry: nothing is held for the attempt any more.
struct AttemptReleased {
  AttemptId attempt;
};

// Engine memory that one piece stands for in load reports of agents with a
// registry.
inline constexpr Tokens kReportedPiece(256);

// State of one engine as its agent knows it.
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

// Agent to entry: what the upstream serves and how full it is. Sent when a
// connection comes up, when the upstream starts to leave, and every second.
struct LoadReport {
  UpstreamName upstream;  // Like the service only in the first report.
  ServiceName service;
  bool plain = false;
  bool leaving = false;
  Generation in_force;
  Generation staged;
  std::vector<EngineLoad> engines;
};

// Either way: a configuration that the sender has staged or has in force.
struct ConfigurationOffer {
  Generation generation;
  bool accepted = false;
  std::string content;  // JSON text; empty where only the fact is meant.
};

// Entry to coordinator: which generations a set of VMs have.
struct ConfigurationState {
  struct Vm {
    VmName name;
    Generation staged;
    Generation in_force;
  };
  std::vector<Vm> vms;
};

// An object of the store as its writer stored it.
struct RelayedObject {
  std::string name;
  uint64_t revision = 0;
  std::string content;
};

// Entry to entry: asks for the upstreams registered, or lists them.
struct Registrations {
  bool request = false;
  uint64_t revision = 0;  // Of the store, as of which the list is complete.
  std::vector<RelayedObject> objects;
};

// Entry to entry: an upstream ended while it ran a request.
struct CrashNotice {
  uint64_t fingerprint = 0;  // Of the request.
  UpstreamName upstream;
};

using Message =
    std::variant<Hello, Heartbeat, ReserveDecode, StartPrefill, StartDecode,
                 CancelAttempt, RenewHolds, AttachAttempt, CallService,
                 ReserveGranted, AttemptRefused, PrefillDone, StreamChunk,
                 AttemptFailed, CallAnswered, AttemptReleased, LoadReport,
                 ConfigurationOffer, ConfigurationState, ReservePrefill,
                 Registrations, CrashNotice>;

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_PEER_MESSAGE_H_
