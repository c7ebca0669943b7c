#ifndef BURDOCKHILL_SRC_AGENT_ATTEMPT_STORE_H_
#define BURDOCKHILL_SRC_AGENT_ATTEMPT_STORE_H_

#include "burdockhill/src/agent/agent_blackboard.h"
#include "burdockhill/src/peer/peer_link.h"

namespace burdockhill::internal {

// Steps that several controllers take on the attempts of the blackboard.

// Answers an order for `id` without taking it: the attempt did not run, and a
// tombstone sees to it that it never will.
void Refuse(AgentBlackboard* board, PeerLink* peers, const VmName& entry,
            AttemptId id, ErrorKind kind, Duration retry_after);

// Whether an order that starts work for `id` is to be taken. If not, it has
// been answered: a known attempt with what became of it, and one that was
// buried, or that a leaving or another upstream got, with a refusal.
bool IsToBeTaken(AgentBlackboard* board, PeerLink* peers, const VmName& entry,
                 AttemptId id, const ServiceName& service);

// Remembers that `id` must not start any more.
void Bury(AgentBlackboard* board, AttemptId id);

// Gives back the slot and memory of an attempt. Harmless when it has none.
void FreeHeld(AgentBlackboard* board, Attempt* attempt);

// Tells the entry all that has become of an attempt, with its stream from
// `offset` on.
void Report(PeerLink* peers, const Attempt& attempt, uint64_t offset);

// Adds `id` to a queue ordered by class, then by the time it gives up.
void Enqueue(AgentBlackboard* board, std::vector<AttemptId>* queue,
             const Attempt& attempt);

// Takes `id` out of a queue if it is there.
void Unqueue(std::vector<AttemptId>* queue, const AttemptId& id);

}  // namespace burdockhill::internal

#endif  // BURDOCKHILL_SRC_AGENT_ATTEMPT_STORE_H_
