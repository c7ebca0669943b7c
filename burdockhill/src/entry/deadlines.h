#ifndef BURDOCKHILL_SRC_ENTRY_DEADLINES_H_
#define BURDOCKHILL_SRC_ENTRY_DEADLINES_H_

#include "burdockhill/src/entry/entry_blackboard.h"

namespace burdockhill {

// Ends requests that have run out of time, and fails attempts that no longer
// make progress.
class Deadlines {
 public:
  explicit Deadlines(EntryBlackboard* board) : m_board(board) {}

  void Tick();

 private:
  void CheckDeadlines(Request* request);
  void FailStalledAttempts(Request* request);

  EntryBlackboard* m_board;
  TimePoint m_next_check{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_DEADLINES_H_
