#include "burdockhill/src/routing/engine_outlook.h"

#include <algorithm>

namespace burdockhill {

namespace {

// A refused demand is similar to one of at least this share of its size.
constexpr double kSimilarSizeShare = 0.8;
// Refusals kept of an engine. More differ in size and urgency only if the
// engine refuses everything, which the largest of them show.
constexpr size_t kMaxRefusals = 8;

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

// Whether an agent that refuses `refused` refuses `demand` as well: that is
// neither smaller nor more urgent.
bool CoversDemand(const EngineDemand& refused, const EngineDemand& demand) {
  return refused.role == demand.role && refused.priority <= demand.priority &&
         (demand.IsLate() || !refused.IsLate()) &&
         static_cast<double>(demand.Size().Value()) >=
             kSimilarSizeShare * static_cast<double>(refused.Size().Value());
}

}  // namespace

void EngineOutlook::ApplyReport(const LoadReport& report, TimePoint now) {
  if (report.engines.empty()) return;
  const EngineLoad& load = report.engines.front();
  m_reported_at = now;
  m_free_memory = Tokens(load.free_pieces.Value() * kReportedPieceSize.Value());
  m_queued_prompts = load.queued_prefill;
  m_running = static_cast<int>(load.running);
  m_prompt_rate = report.prompt_rate;
  m_output_rate = report.output_rate;
  m_decode_wait = report.decode_wait;
  m_reserved.clear();
  std::erase_if(m_refusals,
                [&](const Refusal& refusal) { return refusal.until <= now; });
}

Tokens EngineOutlook::Reserved() const {
  Tokens sum;
  for (const auto& [attempt, size] : m_reserved) sum += size;
  return sum;
}

void EngineOutlook::RecordRefusal(const EngineDemand& demand,
                                  Duration retry_after, TimePoint now) {
  if (retry_after <= Duration(0)) return;
  bool may_be_outdated = true;
  std::erase_if(m_refusals, [&](const Refusal& refusal) {
    if (refusal.until <= now) return true;
    if (!CoversDemand(demand, refusal.demand)) return false;
    may_be_outdated = false;
    return true;
  });
  if (m_refusals.size() >= kMaxRefusals) m_refusals.erase(m_refusals.begin());
  m_refusals.push_back({demand, now, now + retry_after, may_be_outdated});
}

void EngineOutlook::RecordClosed(EngineRole role, Duration time,
                                 TimePoint now) {
  m_closed_until[role] = now + time;
}

bool EngineOutlook::IsClosed(EngineRole role, TimePoint now) const {
  const auto found = m_closed_until.find(role);
  return found != m_closed_until.end() && now < found->second;
}

bool EngineOutlook::HasRoomSince(const Refusal& refusal,
                                 const EngineDemand& demand) const {
  if (!refusal.may_be_outdated || demand.IsLate()) return false;
  if (m_reported_at <= refusal.refused_at) return false;
  return demand.role == EngineRole::kDecode && SpareMemory() >= demand.Size();
}

Duration EngineOutlook::RefusedFor(const EngineDemand& demand,
                                   TimePoint now) const {
  Duration longest(0);
  for (const Refusal& refusal : m_refusals) {
    if (!CoversDemand(refusal.demand, demand)) continue;
    if (HasRoomSince(refusal, demand)) continue;
    longest = std::max(longest, refusal.until - now);
  }
  return longest;
}

Duration EngineOutlook::RiskOfWait(const EngineDemand& demand,
                                   double output_rate) const {
  const double run_seconds =
      static_cast<double>(demand.expected_output.Value()) / output_rate;
  const auto size =
      static_cast<double>(std::max<int64_t>(demand.Size().Value(), 1));
  const double free_places =
      std::max(static_cast<double>(SpareMemory().Value()) / size, 0.0);
  const double places = std::max(m_running + free_places, 1.0);
  return FromSeconds(run_seconds / places / std::max(free_places, 1.0));
}

Duration EngineOutlook::TimeToFree(Tokens memory, const EngineDemand& demand,
                                   double output_rate) const {
  // The runs are taken to be about as large as the demand and to end at even
  // intervals.
  const double run_seconds =
      static_cast<double>(demand.expected_output.Value()) / output_rate;
  const double runs = std::max(m_running, 1);
  const double size =
      static_cast<double>(std::max<int64_t>(demand.Size().Value(), 1));
  return FromSeconds(static_cast<double>(memory.Value()) / size * run_seconds /
                     runs);
}

ExpectedGrant EngineOutlook::Expect(const EngineDemand& demand, double rate,
                                    TimePoint now) const {
  if (const Duration stated = RefusedFor(demand, now); stated > Duration(0)) {
    return {stated, true, true};
  }
  const Duration age = now - m_reported_at;
  if (demand.role == EngineRole::kPrefill) {
    const auto time_of = [&](Tokens prompts) {
      return FromSeconds(static_cast<double>(prompts.Value()) / rate);
    };
    const Duration reported =
        std::max(time_of(m_queued_prompts) - age, Duration(0));
    return {reported + time_of(Reserved()), m_prompt_rate > 0, false};
  }
  if (SpareMemory() >= demand.Size()) return {Duration(0), true, false};
  // An agent that measures the output rate reports no wait if the engine has
  // room for a typical request: its runs need less memory than they may need at
  // the most. Other agents report none.
  if (m_decode_wait == Duration(0) && m_output_rate <= 0) return {};
  const Duration reported = std::max(m_decode_wait - age, Duration(0));
  return {reported + TimeToFree(Reserved(), demand, rate), true, false};
}

}  // namespace burdockhill
