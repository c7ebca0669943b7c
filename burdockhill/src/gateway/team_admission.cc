#include "burdockhill/src/gateway/team_admission.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace burdockhill {

namespace {

// Interval of the lines and gauges that say what a team uses here. The log
// writes at most 25 lines of a kind a second.
constexpr Duration kReportInterval = std::chrono::seconds(10);
constexpr Duration kMinReportGap = std::chrono::milliseconds(50);

std::vector<VmName> VmNames(const std::vector<std::string>& names) {
  return {names.begin(), names.end()};
}

MetricLabels LabelsFor(const TeamName& team) {
  MetricLabels labels;
  labels.team = team.Value();
  return labels;
}

}  // namespace

TeamAdmission::TeamAdmission(const Options& options, EntryBoard* board,
                             PeerLink* peers, const TeamDirectory* teams)
    : m_board(board),
      m_teams(teams),
      m_leases({options.self, VmNames(options.seeds), options.tolerance},
               board->clock, board->random, peers, this) {
  board->team_usage = this;
}

void TeamAdmission::UpdateLimits() {
  if (!m_board->routes.HasConfiguration()) return;
  const Generation generation = m_board->routes.Configuration().generation;
  if (std::exchange(m_limits_from, generation) == generation) return;
  m_leases.SetTeams(*m_teams);
}

void TeamAdmission::Admit(RoutedRequest routed) {
  UpdateLimits();
  if (!m_leases.HasLimit(routed.team)) {
    return m_events->OnAdmitted(std::move(routed));
  }
  const AdmissionId id(++m_last_id);
  const TeamName team = routed.team;
  const int64_t cost = routed.cost.Value();
  m_ids_by_exchange.FindOrInsert(routed.exchange, id);
  m_waiting.FindOrInsert(id, std::move(routed));
  m_leases.Request(id, team, cost);
}

TeamAdmission::Usage& TeamAdmission::UsageOf(const TeamName& team) {
  const auto [found, is_new] = m_usage.try_emplace(team);
  if (is_new) found->second.since = m_board->clock->Now();
  return found->second;
}

void TeamAdmission::OnAdmissionDecided(const AdmissionOutcome& outcome) {
  RoutedRequest* waiting = m_waiting.Find(outcome.id);
  if (waiting == nullptr) return;
  RoutedRequest routed = std::move(*waiting);
  m_waiting.Erase(outcome.id);
  m_ids_by_exchange.Erase(routed.exchange);
  Usage& usage = UsageOf(routed.team);
  if (outcome.admitted) {
    routed.is_charged = true;
    usage.units += routed.cost.Value();
    m_board->metrics.IncrementCounter(
        "burdockhill_team_units_total", LabelsFor(routed.team),
        static_cast<uint64_t>(routed.cost.Value()));
    return m_events->OnAdmitted(std::move(routed));
  }
  ++usage.refused;
  m_board->metrics.IncrementCounter("burdockhill_team_refused_total",
                                    LabelsFor(routed.team));
  FailRequest(m_board, routed, ErrorKind::kTeamLimit, outcome.retry_after,
              "team is over its limit");
}

bool TeamAdmission::OnCallerDisconnected(http::ExchangeId id) {
  const AdmissionId* found = m_ids_by_exchange.Find(id);
  if (found == nullptr) return false;
  const AdmissionId admission = *found;
  const RoutedRequest* routed = m_waiting.Find(admission);
  m_leases.Cancel(admission, routed->team);
  CutResponse(m_board, *routed, "the caller has gone");
  m_waiting.Erase(admission);
  m_ids_by_exchange.Erase(id);
  return true;
}

void TeamAdmission::LimitDeadlines(TimePoint latest) {
  for (auto& [id, routed] : m_waiting) {
    routed.deadline = std::min(routed.deadline, latest);
  }
}

void TeamAdmission::RefuseLate(TimePoint now) {
  std::vector<AdmissionId> late;
  for (const auto& [id, routed] : m_waiting) {
    if (now >= routed.deadline) late.push_back(id);
  }
  for (const AdmissionId id : late) {
    const RoutedRequest routed = std::move(*m_waiting.Find(id));
    m_waiting.Erase(id);
    m_ids_by_exchange.Erase(routed.exchange);
    m_leases.Cancel(id, routed.team);
    // Nothing was taken from the limit.
    FailRequest(m_board, routed, ErrorKind::kDeadlineInfeasible, Duration(0),
                "out of time");
  }
}

void TeamAdmission::Tick() {
  UpdateLimits();
  m_leases.Tick();
  const TimePoint now = m_board->clock->Now();
  RefuseLate(now);
  if (now >= m_next_report_at) ReportNextTeam(now);
}

void TeamAdmission::ReportNextTeam(TimePoint now) {
  std::erase_if(m_usage, [&](const auto& item) {
    return !m_leases.HasLimit(item.first);
  });
  const auto teams = std::max<int64_t>(std::ssize(m_usage), 1);
  m_next_report_at = now + std::max(kReportInterval / teams, kMinReportGap);
  auto next = m_usage.upper_bound(m_last_reported);
  if (next == m_usage.end()) next = m_usage.begin();
  if (next == m_usage.end()) return;
  m_last_reported = next->first;
  ReportUsage(next->first, &next->second, now);
}

void TeamAdmission::ReportUsage(const TeamName& name, Usage* usage,
                                TimePoint now) {
  const int64_t held = m_leases.Balance(name);
  m_board->metrics.SetGauge("burdockhill_team_held", LabelsFor(name), held);
  const TeamBucket* bucket = m_leases.FindBucket(name);
  if (bucket != nullptr) {
    m_board->metrics.SetGauge("burdockhill_team_level", LabelsFor(name),
                              static_cast<int64_t>(bucket->Level(now)));
  }
  const VmName coordinator = m_leases.CoordinatorOf(name);
  const Duration time = now - std::exchange(usage->since, now);
  const bool is_same =
      std::exchange(usage->coordinator, coordinator) == coordinator;
  const Team* team = m_teams->Find(name);
  if (team == nullptr ||
      (usage->units == 0 && usage->refused == 0 && is_same)) {
    return;
  }
  m_board->log->Write("team_usage",
                      {{"team", name.Value()},
                       {"limit_per_second", team->limit.per_second},
                       {"burst", team->limit.burst},
                       {"units", std::exchange(usage->units, 0)},
                       {"refused", std::exchange(usage->refused, 0)},
                       {"seconds", std::chrono::duration<double>(time).count()},
                       {"held", held},
                       {"coordinator", coordinator.Value()},
                       {"own_rate", m_leases.IsolatedRate(name).value_or(0)}});
}

void TeamAdmission::OnFurtherRun(const RoutedRequest& routed) {
  if (!m_leases.HasLimit(routed.team)) return;
  m_leases.Charge(routed.team, routed.cost.Value());
  UsageOf(routed.team).units += routed.cost.Value();
  m_board->metrics.IncrementCounter("burdockhill_team_units_total",
                                    LabelsFor(routed.team),
                                    static_cast<uint64_t>(routed.cost.Value()));
}

void TeamAdmission::OnNotRun(const RoutedRequest& routed) {
  if (!m_leases.HasLimit(routed.team)) return;
  m_leases.Refund(routed.team, routed.cost.Value());
  UsageOf(routed.team).units -= routed.cost.Value();
  m_board->metrics.IncrementCounter("burdockhill_team_refunded_units_total",
                                    LabelsFor(routed.team),
                                    static_cast<uint64_t>(routed.cost.Value()));
}

}  // namespace burdockhill
