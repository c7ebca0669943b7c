#ifndef BURDOCKHILL_SRC_ENTRY_REQUEST_OPERATIONS_H_
#define BURDOCKHILL_SRC_ENTRY_REQUEST_OPERATIONS_H_

#include <string>

#include "burdockhill/src/entry/entry_blackboard.h"

namespace burdockhill::internal {

// Operations on the blackboard's requests, shared by several controllers.

// Records a decision about a request.
void RecordDecision(EntryBlackboard* board, RequestId id, const char* component,
                    std::string reason);

// Ends a request with an error. The outcome is kNotRun only if none of its
// attempts may have run.
void EndWithError(EntryBlackboard* board, Request* request, ErrorKind kind,
                  const char* component, const std::string& detail = {});

// Ends a request and queues it for Answering. No effect if it has ended.
void EndRequest(EntryBlackboard* board, Request* request, RequestEnd end);

// Adds a new attempt of `request` at `vm`.
EntryAttempt& AddAttempt(EntryBlackboard* board, Request* request,
                         const VmName& vm, EntryAttemptKind kind);

// Detaches an attempt from its request and queues its cancellation. `id` is
// taken by value since it may be a member of the request that is changed.
void ReleaseAttempt(EntryBlackboard* board, AttemptId id);

// The request of an attempt; nullptr if the attempt is unknown or being
// released, or the request has ended.
Request* FindActiveRequest(EntryBlackboard* board, const AttemptId& id);

// Formats a duration in milliseconds, such as "12.5 ms".
std::string FormatMilliseconds(Duration duration);

// The team and class labels of a request.
MetricLabels MetricLabelsFor(const Request& request);

}  // namespace burdockhill::internal

#endif  // BURDOCKHILL_SRC_ENTRY_REQUEST_OPERATIONS_H_
