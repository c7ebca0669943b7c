#include "burdockhill/src/routing/pool_balance.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace burdockhill {

namespace {

// This engine's plan, and the number of engines, have to stay the same for this
// long before the plan is acted on.
constexpr Duration kSettleTime = std::chrono::milliseconds(3000);
// The same while the service has several versions: in a release the numbers of
// engines change again soon. A version that lacks prefill engines can wait
// longer, because decode engines compute prompts too, but streams that go on
// need decode engines of their version.
constexpr Duration kReleaseSettleTimeToDecode = std::chrono::seconds(10);
constexpr Duration kLongSettleTimeToPrefill = std::chrono::seconds(30);
// If a version has this many engines and one of them is a prefill engine, a
// crash of the other one leaves none that decodes.
constexpr int kSmallEngineCount = 2;
// Prefill engines that are kept free for bursts, as a multiple of the square
// root of their number: prompts wait for each other, and the fewer engines
// there are, the longer they wait at the same load.
constexpr double kPrefillReserve = 0.6;
// Roles are changed only if the service can then serve this multiple of the
// requests. An engine serves none while it changes its role, and hysteresis
// keeps engines from alternating between roles.
constexpr double kMinGain = 1.1;

}  // namespace

double PoolBalance::Capacity(const PoolRates& rates, int engine_count,
                             int prefill_count) {
  const double usable =
      prefill_count - kPrefillReserve * std::sqrt(prefill_count);
  return std::min(usable * rates.prefill,
                  (engine_count - prefill_count) * rates.decode);
}

int PoolBalance::BestPrefillCount(const PoolRates& rates, int engine_count) {
  assert(rates.AreKnown() && engine_count >= 2);
  int best = 1;
  for (int count = 2; count < engine_count; ++count) {
    if (Capacity(rates, engine_count, count) >
        Capacity(rates, engine_count, best)) {
      best = count;
    }
  }
  return best;
}

int PoolBalance::TargetPrefillCount(int engine_count, int current) const {
  if (engine_count < 2) return 0;
  const int kept = std::clamp(current, 1, engine_count - 1);
  if (!m_rates.AreKnown()) return kept;
  const int best = BestPrefillCount(m_rates, engine_count);
  const double gain = Capacity(m_rates, engine_count, best) /
                      Capacity(m_rates, engine_count, kept);
  return gain >= kMinGain ? best : kept;
}

PoolBalance::Plan PoolBalance::MakePlan(const UpstreamDirectory& directory,
                                        const UpstreamName& self) const {
  const RegisteredUpstream* own = directory.Find(self);
  if (own == nullptr || own->leaving || !own->role.has_value()) return {};
  // Engines are ordered by name, which is the same for all agents: surplus
  // prefill engines change from the last name on, surplus decode engines from
  // the first.
  Plan plan;
  int prefill = 0;
  int prefill_after_self = 0;
  int decode_before_self = 0;
  for (const RegisteredUpstream* upstream :
       directory.FindByService(own->service)) {
    if (upstream->leaving || !upstream->role.has_value()) continue;
    if (upstream->name != self &&
        !AreSameVersion(upstream->version, own->version)) {
      plan.has_other_versions = true;
      continue;
    }
    ++plan.engine_count;
    const bool after = upstream->name > self;
    const bool before = upstream->name < self;
    if (*upstream->role == EngineRole::kPrefill) {
      ++prefill;
      if (after) ++prefill_after_self;
    } else if (before) {
      ++decode_before_self;
    }
  }
  const int surplus = prefill - TargetPrefillCount(plan.engine_count, prefill);
  if (*own->role == EngineRole::kPrefill && prefill_after_self < surplus) {
    plan.role = EngineRole::kDecode;
    plan.is_urgent = prefill == plan.engine_count && prefill_after_self == 0;
  } else if (*own->role == EngineRole::kDecode &&
             decode_before_self < -surplus) {
    plan.role = EngineRole::kPrefill;
  }
  return plan;
}

Duration PoolBalance::SettleTime(const Plan& plan) {
  if (plan.role == EngineRole::kDecode) {
    return plan.has_other_versions && !plan.is_urgent
               ? kReleaseSettleTimeToDecode
               : kSettleTime;
  }
  return plan.has_other_versions || plan.engine_count <= kSmallEngineCount
             ? kLongSettleTimeToPrefill
             : kSettleTime;
}

std::optional<EngineRole> PoolBalance::DecideRole(
    const UpstreamDirectory& directory, const UpstreamName& self,
    TimePoint now) {
  const Plan plan = MakePlan(directory, self);
  if (plan != m_plan) {
    m_plan = plan;
    m_plan_changed_at = now;
  }
  const bool settled = now - m_plan_changed_at >= SettleTime(plan);
  return settled ? plan.role : std::nullopt;
}

}  // namespace burdockhill
