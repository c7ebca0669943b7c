#ifndef BURDOCKHILL_SRC_ENTRY_REQUEST_STEPS_H_
#define BURDOCKHILL_SRC_ENTRY_REQUEST_STEPS_H_

#include <string>

#include "burdockhill/src/entry/entry_blackboard.h"

namespace burdockhill::internal {

// Steps that several controllers take on the requests of the blackboard.

// Notes a decision about a request.
void Note(EntryBlackboard* board, RequestId id, const char* part,
          std::string reason);

// Ends a request with an error. Whether it ran follows from its attempts.
void EndWithError(EntryBlackboard* board, Request* request, ErrorKind kind,
                  const char* part, const std::string& detail = {});

// Hands a request over to Answering. Does nothing if it has ended already.
void End(EntryBlackboard* board, Request* request, RequestEnd end);

// Makes a new attempt of `request` at `vm`.
Leg& AddLeg(EntryBlackboard* board, Request* request, const VmName& vm,
            LegKind kind);

// Detaches an attempt from its request and has the agent free what it holds.
// By value: the id may be part of the request that is changed.
void ReleaseLeg(EntryBlackboard* board, AttemptId id);

// The request of an attempt that still counts, or nullptr.
Request* RequestOf(EntryBlackboard* board, const AttemptId& id);

// Microseconds as text in milliseconds, such as "12.5 ms".
std::string Milliseconds(Duration duration);

// Metric labels of a request.
MetricLabels LabelsOf(const Request& request);

}  // namespace burdockhill::internal

#endif  // BURDOCKHILL_SRC_ENTRY_REQUEST_STEPS_H_
