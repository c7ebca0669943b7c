#ifndef BURDOCKHILL_SRC_GATEWAY_TEAM_ADMISSION_H_
#define BURDOCKHILL_SRC_GATEWAY_TEAM_ADMISSION_H_

#include <map>
#include <string>
#include <vector>

#include "burdockhill/src/base/table.h"
#include "burdockhill/src/gateway/entry_board.h"
#include "burdockhill/src/peer/peer_link.h"
#include "burdockhill/src/teams/team_leases.h"

namespace burdockhill {

// Receives the requests that are within the limits of their teams.
class TeamAdmissionEvents {
 public:
  virtual ~TeamAdmissionEvents() = default;
  virtual void OnAdmitted(RoutedRequest routed) = 0;
};

// Admits requests within the limits of their teams, and refuses the others at
// once. Keeps those that wait for an answer of the team's coordinator.
class TeamAdmission : public PeerEvents,
                      public TeamUsageRecorder,
                      private AdmissionEvents {
 public:
  struct Options {
    VmName self;
    std::vector<std::string> seeds;  // IP numbers of entries.
    LimitTolerance tolerance;
  };

  // `teams` are those of the configuration that is in force on the board.
  TeamAdmission(const Options& options, EntryBoard* board, PeerLink* peers,
                const TeamDirectory* teams);
  void SetEvents(TeamAdmissionEvents* events) { m_events = events; }

  // Admits or refuses a request, before this call returns or after an answer of
  // a coordinator. Its `team` and `cost` are set.
  void Admit(RoutedRequest routed);
  // Returns false if the request does not wait here.
  bool OnCallerDisconnected(http::ExchangeId id);
  // Ends all waits at this time at the latest.
  void LimitDeadlines(TimePoint latest);
  size_t InProgressCount() const { return m_waiting.Size(); }

  // Call once per iteration of the event loop.
  void Tick();

  void OnFurtherRun(const RoutedRequest& routed) override;
  void OnNotRun(const RoutedRequest& routed) override;

  void OnPeerUp(const Hello& peer) override { m_leases.OnPeerUp(peer); }
  void OnPeerDown(const VmName& vm) override { m_leases.OnPeerDown(vm); }
  void OnMessage(const VmName& from, const Message& message) override {
    m_leases.OnMessage(from, message);
  }

 private:
  // Of one team at this entry, since the latest line of the log.
  struct Usage {
    int64_t units = 0;
    int64_t refused = 0;
    VmName coordinator;
    TimePoint since{};
  };

  void OnAdmissionDecided(const AdmissionOutcome& outcome) override;
  Usage& UsageOf(const TeamName& team);
  // Takes over the limits of another configuration.
  void UpdateLimits();
  void RefuseLate(TimePoint now);
  // Logs the usage of one team, the next in the order of names, so that the
  // lines of many teams are spread over time.
  void ReportNextTeam(TimePoint now);
  void ReportUsage(const TeamName& name, Usage* usage, TimePoint now);

  EntryBoard* m_board;
  const TeamDirectory* m_teams;
  TeamAdmissionEvents* m_events = nullptr;
  Generation m_limits_from;
  Table<AdmissionId, RoutedRequest> m_waiting;
  Table<http::ExchangeId, AdmissionId> m_ids_by_exchange;
  uint64_t m_last_id = 0;
  std::map<TeamName, Usage> m_usage;
  TeamName m_last_reported;
  TimePoint m_next_report_at{};
  TeamLeases m_leases;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_TEAM_ADMISSION_H_
