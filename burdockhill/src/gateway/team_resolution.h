#ifndef BURDOCKHILL_SRC_GATEWAY_TEAM_RESOLUTION_H_
#define BURDOCKHILL_SRC_GATEWAY_TEAM_RESOLUTION_H_

#include "burdockhill/src/gateway/entry_board.h"

namespace burdockhill {

// Looks up the team of the request's API key, if the configuration in force
// requires keys: sets `team` and `cost`, and drops the key. Returns false after
// it has refused a request whose key is missing or unknown, unless `is_public`.
//
// Callers do not repeat a request that got 401. If the configuration may be
// older than the store's, the request gets 503 instead.
bool ResolveTeam(EntryBoard* board, bool is_public, RoutedRequest* routed);

// Counts the faults in the teams of the configuration in force. Call once for
// each configuration.
void CountTeamFaults(EntryBoard* board);

// Logs the faults in the teams of the configuration in force, each once, and
// not so many at a time that the log leaves some out.
class TeamFaultLog {
 public:
  // Writes the lines that are due.
  void Tick(EntryBoard* board);

 private:
  Generation m_generation;  // Whose faults are being written.
  size_t m_written = 0;
  TimePoint m_next_lines_at{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_TEAM_RESOLUTION_H_
