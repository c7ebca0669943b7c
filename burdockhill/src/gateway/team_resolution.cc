#include "burdockhill/src/gateway/team_resolution.h"

#include <algorithm>
#include <utility>

namespace burdockhill {

namespace {

// The log writes 25 lines a second of one kind.
constexpr size_t kFaultLinesAtOnce = 20;
constexpr Duration kFaultLinesInterval = std::chrono::milliseconds(1100);

QuotaUnits CostOf(const Team& team, const InboundRequest& request) {
  if (!team.limit.IsLimited()) return {};
  return team.limit.CostOf(request.prompt_tokens, request.max_output_tokens);
}

// `key_text` says in the log what is wrong with the key.
void RefuseKey(EntryBoard* board, const RoutedRequest& routed,
               const std::string& key_text) {
  const bool may_be_stale =
      board->freshness != nullptr && board->freshness->MayBeStale();
  if (may_be_stale) {
    return FailRequest(board, routed, ErrorKind::kNotReady, Duration(0),
                       key_text + ", and the configuration may be stale");
  }
  FailRequest(board, routed, ErrorKind::kUnauthorized, Duration(0), key_text);
}

}  // namespace

bool ResolveTeam(EntryBoard* board, bool is_public, RoutedRequest* routed) {
  const std::optional<KeyDigest> key =
      std::exchange(routed->request.key, std::nullopt);
  if (!board->routes.Configuration().requires_keys) return true;
  const Team* team =
      key.has_value() ? board->routes.Teams().FindByDigest(*key) : nullptr;
  if (team != nullptr) {
    routed->team = team->name;
    routed->cost = CostOf(*team, routed->request);
  }
  board->codec->SetTeam(routed->team, &routed->request);
  if (team != nullptr || is_public) return true;
  RefuseKey(board, *routed, key.has_value() ? "unknown API key" : "no API key");
  return false;
}

void CountTeamFaults(EntryBoard* board) {
  for (const TeamFault& fault : board->routes.Configuration().team_faults) {
    MetricLabels labels;
    labels.team = fault.team.Value();
    board->metrics.IncrementCounter("burdockhill_team_faults_total", labels);
  }
}

void TeamFaultLog::Tick(EntryBoard* board) {
  const RoutingConfiguration& configuration = board->routes.Configuration();
  if (std::exchange(m_generation, configuration.generation) !=
      configuration.generation) {
    m_written = 0;
  }
  const std::vector<TeamFault>& faults = configuration.team_faults;
  const TimePoint now = board->clock->Now();
  if (m_written >= faults.size() || now < m_next_lines_at) return;
  m_next_lines_at = now + kFaultLinesInterval;
  const size_t end = std::min(faults.size(), m_written + kFaultLinesAtOnce);
  for (; m_written < end; ++m_written) {
    board->log->Write(
        "team_fault",
        {{"team", faults[m_written].team.Value()},
         {"generation", static_cast<int64_t>(m_generation.Value())},
         {"fault", faults[m_written].text}});
  }
}

}  // namespace burdockhill
