#ifndef BURDOCKHILL_SRC_ROUTING_POOL_BALANCE_H_
#define BURDOCKHILL_SRC_ROUTING_POOL_BALANCE_H_

#include <optional>

#include "burdockhill/src/base/units.h"
#include "burdockhill/src/routing/upstream_directory.h"

namespace burdockhill {

// Assigns the engines of a service to the prefill and the decode pool. Every
// agent computes the same plan from the registrations, and sends role orders
// only to the engine on its own VM, so that an engine gets orders from a single
// agent.
class PoolBalance {
 public:
  // Capacity of an engine; all engines of a service have the same.
  struct EngineSize {
    Tokens memory;
    int slots = 0;  // Zero if unknown.
  };

  // Share of a service's engines that should be prefill engines, computed from
  // the requests a second that a prefill and a decode engine can serve.
  static double PrefillShare(const EngineSize& size);

  void SetEngineSize(const EngineSize& size) { m_size = size; }

  // The role that `self` should be ordered to change to, or nullopt if it
  // should keep its role or the plan has changed recently.
  std::optional<EngineRole> DecideRole(const UpstreamDirectory& directory,
                                       const UpstreamName& self, TimePoint now);

  // Number of prefill engines wanted out of `engine_count`. At least one, and
  // one decode engine, of two or more; none of fewer.
  int TargetPrefillCount(int engine_count) const;

 private:
  struct Plan {
    std::optional<EngineRole> role;  // That this engine should change to.
    int engine_count = 0;            // Counted in the plan.
    bool operator==(const Plan&) const = default;
  };

  Plan MakePlan(const UpstreamDirectory& directory,
                const UpstreamName& self) const;

  EngineSize m_size;
  Plan m_plan;
  TimePoint m_plan_changed_at{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_POOL_BALANCE_H_
