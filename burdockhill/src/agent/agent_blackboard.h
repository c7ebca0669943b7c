#ifndef BURDOCKHILL_SRC_AGENT_AGENT_BLACKBOARD_H_
#define BURDOCKHILL_SRC_AGENT_AGENT_BLACKBOARD_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "burdockhill/src/agent/answer_tail.h"
#include "burdockhill/src/agent/engine_link.h"
#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/base/table.h"
#include "burdockhill/src/base/units.h"
#include "burdockhill/src/peer/message.h"

namespace burdockhill {

// How long an agent keeps what an attempt holds without hearing of it from its
// entry: the bound on memory held for a caller whose entry is gone.
inline constexpr Duration kHoldTime = std::chrono::seconds(6);

enum class AttemptKind { kDecode, kPrefill, kCall };

enum class AttemptPhase {
  kQueued,      // Waits for a slot; holds nothing.
  kGranted,     // Holds a decode slot and memory; nothing was passed on.
  kRunning,     // Was passed on to the back end.
  kDone,        // Ended; only its record is kept.
  kCancelling,  // The back end was told to stop and has not confirmed.
};

// One attempt that an entry gave to this agent.
struct Attempt {
  AttemptId id;
  AttemptKind kind = AttemptKind::kDecode;
  AttemptPhase phase = AttemptPhase::kQueued;
  VmName entry;
  RequestClass request_class = RequestClass::kStandard;
  ServiceName service;
  Tokens prompt;
  Tokens output;
  TimePoint queued_at{};
  TimePoint started_at{};
  TimePoint give_up_at{};  // A queued attempt is refused then.
  TimePoint hold_until{};
  TimePoint cancel_again_at{};
  EngineName engine;  // Set from kGranted or kRunning on.
  Pieces pieces;      // Held on `engine`.
  PrefillOrder prefill;
  AnswerTail tail;
  std::optional<PrefillDone> prefilled;
  std::optional<CallAnswered> answer;
  std::optional<ErrorKind> failure;
  // A running call whose entry no longer waits. It is left to finish, since
  // closing its connection would not undo it.
  bool abandoned = false;
};

// One back end and what this agent has given away of it.
struct Engine {
  EngineName name;
  std::string address;
  std::optional<EngineState> state;  // The last one that it told us.
  bool reachable = false;
  TimePoint next_poll{};
  TimePoint last_answer{};
  uint32_t used_slots = 0;
  Pieces used_pieces;
  Tokens queued_prefill;  // Accepted and not yet computed.

  bool HasRole(EngineRole role) const {
    return reachable && state.has_value() && state->role == role;
  }
};

struct AgentIdentity {
  VmName vm;
  ZoneName zone;
  RegionName region;
  Incarnation incarnation;
  UpstreamName upstream;
  ServiceName service;
  bool plain = false;
};

// A short-term mean of something that happens now and then.
class MovingMean {
 public:
  explicit MovingMean(double initial) : m_value(initial) {}
  void Add(double sample) {
    constexpr double kWeight = 0.1;
    m_value += kWeight * (sample - m_value);
  }
  double Value() const { return m_value; }

 private:
  double m_value;
};

// Counts since the process started.
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

// All that the agent's controllers know. Plain data; controllers read and
// write it and never call each other.
struct AgentBlackboard {
  AgentIdentity self;
  TimePoint now{};
  bool leaving = false;        // New work is refused.
  bool drain_ordered = false;  // By the configuration in force.

  std::map<EngineName, Engine> engines;
  Table<AttemptId, Attempt> attempts;
  // Attempts that must not start any more, and until when that is remembered.
  Table<AttemptId, TimePoint> tombstones;
  std::deque<std::pair<TimePoint, AttemptId>> tombstone_order;
  std::map<VmName, Incarnation> entries;        // Connected now.
  std::map<VmName, Incarnation> known_entries;  // Last seen of each.

  // Waiting attempts, most urgent first.
  std::vector<AttemptId> decode_queue;
  std::vector<AttemptId> prefill_queue;
  // Facts for one controller each.
  std::vector<AttemptId> to_cancel;  // For Cancellation.
  // For Cancellation: what the engine has failed.
  std::vector<std::pair<AttemptId, ErrorKind>> to_fail;
  bool report_due = false;  // For LoadReporting.

  Generation staged;
  Generation in_force;

  MovingMean decode_seconds{5.0};  // Time that a decode holds its slot.
  AgentCounters counters;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_AGENT_AGENT_BLACKBOARD_H_
