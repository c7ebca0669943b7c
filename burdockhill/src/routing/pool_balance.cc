#include "burdockhill/src/routing/pool_balance.h"

#include <algorithm>
#include <cmath>

namespace burdockhill {

namespace {

// This engine's plan, and the number of engines, have to stay the same for this
// long before the plan is acted on.
constexpr Duration kSettleTime = std::chrono::milliseconds(1500);

// A typical request to a large model, and the rates at which an engine serves
// it. They are fixed because all agents have to compute the same plan.
constexpr double kTypicalPromptTokens = 5000;
constexpr double kTypicalOutputTokens = 4000;
constexpr double kOutputTokensPerSecond = 1000;  // Of one run.
constexpr double kPromptTokensPerSecond = 50000;
// Extra prefill capacity: prompts come in bursts and are computed one after the
// other, while runs share a decode engine.
constexpr double kPrefillHeadroom = 1.3;

}  // namespace

double PoolBalance::PrefillShare(const EngineSize& size) {
  const double in_memory = static_cast<double>(size.memory.Value()) /
                           (kTypicalPromptTokens + kTypicalOutputTokens / 2);
  const double runs =
      size.slots > 0 ? std::min<double>(in_memory, size.slots) : in_memory;
  const double decode_rate =
      runs * kOutputTokensPerSecond / kTypicalOutputTokens;
  const double prefill_rate = kPromptTokensPerSecond / kTypicalPromptTokens;
  const double ratio = kPrefillHeadroom * decode_rate / prefill_rate;
  return ratio / (1 + ratio);
}

int PoolBalance::TargetPrefillCount(int engine_count) const {
  if (engine_count < 2) return 0;
  const auto share = static_cast<int>(
      std::lround(PrefillShare(m_size) * static_cast<double>(engine_count)));
  return std::clamp(share, 1, engine_count - 1);
}

PoolBalance::Plan PoolBalance::MakePlan(const UpstreamDirectory& directory,
                                        const UpstreamName& self) const {
  const RegisteredUpstream* own = directory.Find(self);
  if (own == nullptr || own->leaving || !own->role.has_value()) return {};
  // Engines are ordered by name, which is the same for all agents: surplus
  // prefill engines change from the last name on, surplus decode engines from
  // the first.
  int engine_count = 0;
  int prefill = 0;
  int prefill_after_self = 0;
  int decode_before_self = 0;
  for (const RegisteredUpstream* upstream :
       directory.FindByService(own->service)) {
    if (upstream->leaving || !upstream->role.has_value()) continue;
    ++engine_count;
    const bool after = upstream->name > self;
    const bool before = upstream->name < self;
    if (*upstream->role == EngineRole::kPrefill) {
      ++prefill;
      if (after) ++prefill_after_self;
    } else if (before) {
      ++decode_before_self;
    }
  }
  const int surplus = prefill - TargetPrefillCount(engine_count);
  if (*own->role == EngineRole::kPrefill && prefill_after_self < surplus) {
    return {EngineRole::kDecode, engine_count};
  }
  if (*own->role == EngineRole::kDecode && decode_before_self < -surplus) {
    return {EngineRole::kPrefill, engine_count};
  }
  return {std::nullopt, engine_count};
}

std::optional<EngineRole> PoolBalance::DecideRole(
    const UpstreamDirectory& directory, const UpstreamName& self,
    TimePoint now) {
  const Plan plan = MakePlan(directory, self);
  if (plan != m_plan) {
    m_plan = plan;
    m_plan_changed_at = now;
  }
  const bool settled = now - m_plan_changed_at >= kSettleTime;
  return settled ? plan.role : std::nullopt;
}

}  // namespace burdockhill
