#ifndef BURDOCKHILL_SRC_ENTRY_ANSWERING_H_
#define BURDOCKHILL_SRC_ENTRY_ANSWERING_H_

#include "burdockhill/src/entry/entry_blackboard.h"

namespace burdockhill {

// Completes ended requests: releases their attempts, records their metrics and
// sends each caller its one final answer.
class Answering {
 public:
  Answering(EntryBlackboard* board, CallerPort* callers)
      : m_board(board), m_callers(callers) {}

  void Tick();

 private:
  void CompleteRequest(Request* request);
  void RecordMetrics(const Request& request);

  EntryBlackboard* m_board;
  CallerPort* m_callers;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_ANSWERING_H_
