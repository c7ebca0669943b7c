#include "burdockhill/src/agent/attempt_operations.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace burdockhill::internal {

namespace {

// A delayed message cannot outlive the connection that carries it, and
// connections are replaced well before this.
constexpr Duration kTombstoneLifetime = std::chrono::minutes(10);

}  // namespace

void RefuseAttempt(AgentBlackboard* board, PeerLink* peers, const VmName& entry,
                   AttemptId id, ErrorKind kind, Duration retry_after) {
  AddTombstone(board, id);
  ++board->counters.refused;
  peers->Send(entry, AttemptRefused{id, kind, retry_after});
}

bool AdmitNewAttempt(AgentBlackboard* board, PeerLink* peers,
                     const VmName& entry, AttemptId id,
                     const ServiceName& service) {
  if (const Attempt* known = board->attempts.Find(id)) {
    SendAttemptStatus(peers, *known, known->replay.NextOffset());
    return false;
  }
  ErrorKind kind = ErrorKind::kNone;
  if (board->tombstones.Find(id) != nullptr) {
    kind = ErrorKind::kCallerGone;
  } else if (board->leaving) {
    kind = ErrorKind::kLeaving;
  } else if (service != board->self.service) {
    kind = ErrorKind::kUpstreamRefused;
  }
  if (kind == ErrorKind::kNone) return true;
  RefuseAttempt(board, peers, entry, id, kind, Duration(0));
  return false;
}

void AddTombstone(AgentBlackboard* board, AttemptId id) {
  const TimePoint until = board->now + kTombstoneLifetime;
  board->tombstones.FindOrInsert(id) = until;
  board->tombstone_expirations.emplace_back(until, id);
}

void ReleaseResources(AgentBlackboard* board, Attempt* attempt) {
  const auto found = board->engines.find(attempt->engine);
  if (found == board->engines.end()) return;
  Engine& engine = found->second;
  if (attempt->kind == AttemptKind::kPrefill) {
    engine.queued_prefill -= attempt->prompt;
  } else {
    assert(engine.used_slots > 0 &&
           "the resources of an attempt are released once");
    --engine.used_slots;
    engine.used_pieces -= attempt->reserved_pieces;
  }
  attempt->engine = EngineName();
  attempt->reserved_pieces = Pieces(0);
}

void OpenResultCharge(AgentBlackboard* board, Attempt* attempt) {
  const auto found = board->engines.find(attempt->engine);
  if (board->buffers == nullptr || found == board->engines.end()) return;
  attempt->buffer_key = BufferKey(++board->last_buffer_key);
  attempt->result_charge = std::make_unique<BufferCharge>();
  attempt->result_charge->Open(board->buffers, BufferKind::kAnswer,
                               found->second.address, board->buffer_owner,
                               attempt->buffer_key);
}

void UpdateResultCharge(Attempt* attempt) {
  if (attempt->result_charge == nullptr) return;
  size_t bytes = attempt->replay.KeptBytes();
  if (attempt->prefill_done.has_value()) {
    bytes += attempt->prefill_done->kv_handle.size();
  }
  if (attempt->call_answer.has_value()) {
    bytes += attempt->call_answer->body.size();
  }
  attempt->result_charge->SetBytes(bytes);
}

void ReportTooLarge(const AgentBlackboard& board, const Attempt& attempt) {
  const auto found = board.engines.find(attempt.engine);
  if (board.buffers == nullptr || found == board.engines.end()) return;
  board.buffers->ReportOverflow({BufferKind::kAnswer, found->second.address,
                                 attempt.replay.KeptBytes(),
                                 ReplayBuffer::kMaxKeptBytes});
}

void DropResults(AgentBlackboard* board, Attempt* attempt) {
  attempt->replay.Drop();
  attempt->prefill_done.reset();
  attempt->call_answer.reset();
  UpdateResultCharge(attempt);
  if (attempt->failure.has_value()) return;
  attempt->failure = ErrorKind::kUpstreamFailed;
  if (attempt->phase == AttemptPhase::kRunning) {
    board->attempts_to_fail.emplace_back(attempt->id, *attempt->failure);
  }
}

void SendAttemptStatus(PeerLink* peers, const Attempt& attempt,
                       uint64_t offset) {
  const VmName& to = attempt.entry;
  if (attempt.failure.has_value()) {
    peers->Send(to, AttemptFailed{attempt.id, *attempt.failure});
    return;
  }
  if (attempt.prefill_done.has_value()) peers->Send(to, *attempt.prefill_done);
  if (attempt.call_answer.has_value()) peers->Send(to, *attempt.call_answer);
  if (attempt.kind != AttemptKind::kDecode) return;
  if (attempt.phase == AttemptPhase::kGranted) {
    peers->Send(to, ReserveGranted{attempt.id, attempt.engine});
    return;
  }
  const StreamChunk chunk = attempt.replay.ChunkFrom(attempt.id, offset);
  if (chunk.tokens > 0 || !chunk.finish_reason.empty()) peers->Send(to, chunk);
}

void Enqueue(AgentBlackboard* board, std::vector<AttemptId>* queue,
             const Attempt& attempt) {
  const auto urgency = [](const Attempt& a) {
    return std::tuple(a.request_class, a.queue_deadline, a.id);
  };
  const auto place = std::upper_bound(
      queue->begin(), queue->end(), attempt.id,
      [&](const AttemptId& /*inserted*/, const AttemptId& other) {
        const Attempt* queued = board->attempts.Find(other);
        assert(queued != nullptr && "an erased attempt is still in the queue");
        return urgency(attempt) < urgency(*queued);
      });
  queue->insert(place, attempt.id);
}

void RemoveFromQueue(std::vector<AttemptId>* queue, const AttemptId& id) {
  const auto found = std::find(queue->begin(), queue->end(), id);
  if (found != queue->end()) queue->erase(found);
}

}  // namespace burdockhill::internal
