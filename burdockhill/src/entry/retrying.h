#ifndef BURDOCKHILL_SRC_ENTRY_RETRYING_H_
#define BURDOCKHILL_SRC_ENTRY_RETRYING_H_

#include "burdockhill/src/entry/entry_blackboard.h"

namespace burdockhill {

// Decides how to go on when an attempt ends without a result: placement on
// another upstream, another prefill for the decode slot that is still held, or
// the final answer. A call that is not repeatable is never sent again once it
// may have run. Retries of work that may have run are limited by a retry
// budget, which is a share of the requests.
class Retrying {
 public:
  explicit Retrying(EntryBlackboard* board) : m_board(board) {}

  void OnRefused(const VmName& from, const AttemptRefused& refused);
  void OnFailed(const VmName& from, const AttemptFailed& failed);
  void OnReleased(const VmName& from, const AttemptReleased& released);
  void Tick();

 private:
  void FailAttemptsAt(const VmName& vm);
  void HandleAttemptEnd(const AttemptEnd& end);
  void HandleDecodeEnd(Request* request, const AttemptEnd& end);
  void HandlePrefillEnd(Request* request, const AttemptEnd& end);
  void HandleCallEnd(Request* request, const AttemptEnd& end);
  // Queues the request for placement, or ends it with the error of `end`.
  void PlaceAgainOrEnd(Request* request, const AttemptEnd& end);
  // Whether the request is tried again; spends retry budget if `end` may have
  // run.
  bool TryAcquireRetry(Request* request, const AttemptEnd& end);

  EntryBlackboard* m_board;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_RETRYING_H_
