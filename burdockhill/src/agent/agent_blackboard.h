#ifndef BURDOCKHILL_SRC_AGENT_AGENT_BLACKBOARD_H_
#define BURDOCKHILL_SRC_AGENT_AGENT_BLACKBOARD_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "burdockhill/src/agent/engine_link.h"
#include "burdockhill/src/agent/replay_buffer.h"
#include "burdockhill/src/base/buffer_budget.h"
#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/base/table.h"
#include "burdockhill/src/base/units.h"
#include "burdockhill/src/peer/message.h"

namespace burdockhill {

// An attempt's hold on slots and memory is a lease: it expires this long after
// the attempt was created or its entry last sent RenewHolds or AttachAttempt.
// This bounds how long resources stay allocated after the entry has failed.
inline constexpr Duration kHoldTimeout = std::chrono::seconds(6);

enum class AttemptKind { kDecode, kPrefill, kCall };

enum class AttemptPhase {
  kQueued,      // Not sent to the back end; occupies no decode slot.
  kGranted,     // Holds a decode slot and memory; decode not started.
  kRunning,     // Sent to the back end.
  kDone,        // Finished; kept so that its result can be sent again.
  kCancelling,  // Cancel sent to the back end but not yet confirmed.
};

// One attempt that an entry has sent to this agent.
struct Attempt {
  AttemptId id;
  AttemptKind kind = AttemptKind::kDecode;
  AttemptPhase phase = AttemptPhase::kQueued;
  VmName entry;
  RequestClass request_class = RequestClass::kStandard;
  ServiceName service;
  Tokens prompt;
  Tokens expected_output;
  TimePoint queued_at{};
  TimePoint started_at{};
  TimePoint queue_deadline{};  // A queued attempt is refused after this time.
  TimePoint hold_expires_at{};
  TimePoint cancel_retry_at{};
  // Engine on which resources are held. Set when a prefill is queued, a decode
  // is granted or a call is started; empty once they are released.
  EngineName engine;
  Pieces reserved_pieces;  // KV cache memory reserved on `engine`.
  PrefillCommand prefill_command;
  ReplayBuffer replay;
  std::optional<PrefillDone> prefill_done;
  std::optional<CallAnswered> call_answer;
  std::optional<ErrorKind> failure;
  // Of the results above, which are kept so that they can be sent again. Open
  // once the attempt was sent to the back end.
  std::unique_ptr<BufferCharge> result_charge;
  BufferKey buffer_key;
  // The entry cancelled this running call or its hold expired. The call is left
  // to finish, because closing its connection would not undo its effects.
  bool abandoned = false;
};

// One back end and the resources that this agent has allocated on it.
struct Engine {
  EngineName name;
  std::string address;
  std::optional<EngineState> state;  // As last reported by the engine.
  bool reachable = false;            // Answered the last poll of its state.
  TimePoint next_poll_at{};
  TimePoint last_answer_at{};
  uint32_t used_slots = 0;
  Pieces used_pieces;
  Tokens queued_prefill;  // Prompt tokens accepted and not yet computed.

  bool HasRole(EngineRole role) const {
    return reachable && state.has_value() && state->role == role;
  }
};

// Where this agent runs and what its upstream serves.
struct AgentIdentity {
  VmName vm;
  ZoneName zone;
  RegionName region;
  Incarnation incarnation;
  UpstreamName upstream;
  ServiceName service;
  // Serves plain HTTP calls instead of model requests.
  bool serves_plain = false;
};

// Exponentially weighted moving average of the samples added.
class ExponentialMovingAverage {
 public:
  explicit ExponentialMovingAverage(double initial) : m_value(initial) {}
  void Add(double sample) {
    constexpr double kWeight = 0.1;
    m_value += kWeight * (sample - m_value);
  }
  double Value() const { return m_value; }

 private:
  double m_value;
};

// Event counters since the process started.
struct AgentCounters {
  uint64_t granted = 0;
  uint64_t refused = 0;
  uint64_t prefills = 0;
  uint64_t decodes = 0;
  uint64_t calls = 0;
  uint64_t cancels = 0;
  uint64_t holds_expired = 0;
  uint64_t engine_restarts = 0;
  uint64_t tokens = 0;
};

// Shared state of the agent's controllers, which read and write it and never
// call each other.
struct AgentBlackboard {
  AgentIdentity self;
  TimePoint now{};
  // New attempts are refused.
  bool leaving = false;
  // The configuration in force drains this upstream.
  bool drain_configured = false;

  // What results are charged to, or nullptr.
  BufferBudget* buffers = nullptr;
  BufferOwner* buffer_owner = nullptr;
  uint64_t last_buffer_key = 0;

  std::map<EngineName, Engine> engines;
  Table<AttemptId, Attempt> attempts;
  // Attempts that must not start any more, with the expiry of each tombstone.
  Table<AttemptId, TimePoint> tombstones;
  // Tombstones in the order of their expiry. An entry is stale if its tombstone
  // was extended since.
  std::deque<std::pair<TimePoint, AttemptId>> tombstone_expirations;
  std::map<VmName, Incarnation> connected_entries;
  // Last incarnation seen of each entry, connected or not.
  std::map<VmName, Incarnation> entry_incarnations;

  // Queued attempts, most urgent first.
  std::vector<AttemptId> decode_queue;
  std::vector<AttemptId> prefill_queue;
  // Attempts that Cancellation has to end.
  std::vector<AttemptId> attempts_to_cancel;
  // Attempts that Cancellation has to fail, since their engine restarted or
  // hangs.
  std::vector<std::pair<AttemptId, ErrorKind>> attempts_to_fail;
  // Makes LoadReporting send a report without waiting for the interval.
  bool report_due = false;

  Generation staged;
  Generation in_force;

  // Time from the start of a decode to its last token, seconds.
  ExponentialMovingAverage mean_decode_seconds{5.0};
  AgentCounters counters;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_AGENT_AGENT_BLACKBOARD_H_
