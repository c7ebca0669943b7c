#ifndef BURDOCKHILL_SRC_ENTRY_RETRYING_H_
#define BURDOCKHILL_SRC_ENTRY_RETRYING_H_

#include "burdockhill/src/entry/entry_blackboard.h"

namespace burdockhill {

// Decides what follows when an attempt ends without result: another upstream,
// another prefill on the slot that is still held, or the final answer. A call
// that may not be repeated is never sent again once it may have run. Repeated
// work is paid from a budget that is a share of the traffic.
class Retrying {
 public:
  explicit Retrying(EntryBlackboard* board) : m_board(board) {}

  void OnRefused(const VmName& from, const AttemptRefused& refused);
  void OnFailed(const VmName& from, const AttemptFailed& failed);
  void OnReleased(const VmName& from, const AttemptReleased& released);
  void Step();

 private:
  void LoseAttemptsAt(const VmName& vm);
  void Handle(const AttemptEnd& end);
  void HandleDecode(Request* request, const AttemptEnd& end);
  void HandlePrefill(Request* request, const AttemptEnd& end);
  void HandleCall(Request* request, const AttemptEnd& end);
  // Places the request again, or ends it with `kind`.
  void PlaceAgainOrEnd(Request* request, const AttemptEnd& end);
  bool MayRetry(Request* request, const AttemptEnd& end);

  EntryBlackboard* m_board;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_RETRYING_H_
