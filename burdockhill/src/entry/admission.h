#ifndef BURDOCKHILL_SRC_ENTRY_ADMISSION_H_
#define BURDOCKHILL_SRC_ENTRY_ADMISSION_H_

#include "burdockhill/src/entry/entry_blackboard.h"

namespace burdockhill {

// Admits or rejects each new request: identifies the team by its API key, looks
// up the service and checks the team's limits. Limits apply to all entries
// together; each entry enforces an equal share, of the burst and of concurrent
// requests at least one.
class Admission {
 public:
  explicit Admission(EntryBlackboard* board) : m_board(board) {}

  void Tick();

 private:
  void Admit(Request* request);
  // The team that the API key belongs to, or nullptr.
  const Team* FindTeam(const Request& request) const;
  // Finds the service of the request, checks the request against it and copies
  // its settings to the request. False if the request was ended with an error.
  bool ResolveService(Request* request, const Team& team);
  // False if the request was ended because the team is over its limits.
  bool CheckLimits(Request* request, const Team& team);

  EntryBlackboard* m_board;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_ADMISSION_H_
