#ifndef BURDOCKHILL_SRC_ENTRY_ADMISSION_H_
#define BURDOCKHILL_SRC_ENTRY_ADMISSION_H_

#include "burdockhill/src/entry/entry_blackboard.h"

namespace burdockhill {

// Decides on each new request at once: whose it is, whether its service
// exists, and whether the team is within its limits. A team's limits hold
// over all entries; each entry applies an equal share of them.
class Admission {
 public:
  explicit Admission(EntryBlackboard* board) : m_board(board) {}

  void Step();

 private:
  void Admit(Request* request);
  // The team whose key the caller showed, or nullptr.
  const Team* FindTeam(const Request& request) const;
  bool CheckService(Request* request, const Team& team);
  bool CheckLimits(Request* request, const Team& team);

  EntryBlackboard* m_board;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_ADMISSION_H_
