#ifndef BURDOCKHILL_SRC_AGENT_ATTEMPT_OPERATIONS_H_
#define BURDOCKHILL_SRC_AGENT_ATTEMPT_OPERATIONS_H_

#include "burdockhill/src/agent/agent_blackboard.h"
#include "burdockhill/src/peer/peer_link.h"

namespace burdockhill::internal {

// Operations on attempts that several controllers share.

// Sends AttemptRefused. The attempt has not run, and the tombstone added here
// ensures that it never will.
void RefuseAttempt(AgentBlackboard* board, PeerLink* peers, const VmName& entry,
                   AttemptId id, ErrorKind kind, Duration retry_after);

// Returns whether the new attempt `id` may be accepted. If not, the entry has
// been answered: with the current status if the attempt is already known, or
// with a refusal if it has a tombstone, the upstream is leaving, or it serves
// another service.
bool AdmitNewAttempt(AgentBlackboard* board, PeerLink* peers,
                     const VmName& entry, AttemptId id,
                     const ServiceName& service);

// Prevents `id` from being started until the tombstone expires.
void AddTombstone(AgentBlackboard* board, AttemptId id);

// Releases the slot and memory of an attempt, or for a prefill its share of the
// engine's backlog. Does nothing if none is held.
void ReleaseResources(AgentBlackboard* board, Attempt* attempt);

// Charges the results of an attempt to the back end that it is sent to.
void OpenResultCharge(AgentBlackboard* board, Attempt* attempt);

// Charges what is kept of the results.
void UpdateResultCharge(Attempt* attempt);

// Reports that more results arrived than are kept of one attempt.
void ReportTooLarge(const AgentBlackboard& board, const Attempt& attempt);

// Fails the attempt for good and frees its results.
void DropResults(AgentBlackboard* board, Attempt* attempt);

// Sends the entry the current status or result of an attempt; for a decode, the
// stream from token `offset` on.
void SendAttemptStatus(PeerLink* peers, const Attempt& attempt,
                       uint64_t offset);

// Inserts an attempt into a queue ordered by request class, then by deadline in
// the queue.
void Enqueue(AgentBlackboard* board, std::vector<AttemptId>* queue,
             const Attempt& attempt);

// Removes `id` from a queue if it is there.
void RemoveFromQueue(std::vector<AttemptId>* queue, const AttemptId& id);

}  // namespace burdockhill::internal

#endif  // BURDOCKHILL_SRC_AGENT_ATTEMPT_OPERATIONS_H_
