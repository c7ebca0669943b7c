#include "burdockhill/src/agent/load_reporting.h"

#include <algorithm>

namespace burdockhill {

namespace {
constexpr Duration kMinReportInterval = std::chrono::seconds(1);
constexpr Duration kMaxReportInterval = std::chrono::seconds(2);
// Up to this many entries are reported to at the shortest interval, which costs
// about 10 KB/s.
constexpr int64_t kMaxEntriesAtMinInterval = 40;

Duration ReportIntervalFor(size_t entries) {
  return std::clamp(kMinReportInterval * static_cast<int64_t>(entries) /
                        kMaxEntriesAtMinInterval,
                    kMinReportInterval, kMaxReportInterval);
}
}  // namespace

void LoadReporting::OnPeerUp(const VmName& entry) {
  m_peers->Send(entry, BuildReport(true));
}

void LoadReporting::SendDueReport() {
  if (!m_board->report_due && m_board->now < m_next_report) return;
  m_board->report_due = false;
  m_next_report =
      m_board->now + ReportIntervalFor(m_board->connected_entries.size());
  const LoadReport report = BuildReport(false);
  for (const auto& [entry, incarnation] : m_board->connected_entries) {
    m_peers->Send(entry, report);
  }
}

LoadReport LoadReporting::BuildReport(bool with_names) const {
  LoadReport report;
  if (with_names) {
    report.upstream = m_board->self.upstream;
    report.service = m_board->self.service;
  }
  report.plain = m_board->self.serves_plain;
  report.leaving = m_board->leaving;
  report.in_force = m_board->in_force;
  report.staged = m_board->staged;
  for (const auto& [name, engine] : m_board->engines) {
    EngineLoad load;
    if (with_names) load.name = name;
    load.healthy = engine.reachable;
    load.running = engine.used_slots;
    load.queued_prefill = engine.queued_prefill;
    if (engine.state.has_value()) {
      load.role = engine.state->role;
      load.slots = engine.state->slots;
      load.free_pieces = engine.state->pieces - engine.used_pieces;
      load.prefill_rate = engine.state->prefill_rate;
      if (load.role == EngineRole::kDecode) {
        load.waiting = static_cast<uint32_t>(m_board->decode_queue.size());
      }
    }
    report.engines.push_back(load);
  }
  return report;
}

}  // namespace burdockhill
