#ifndef BURDOCKHILL_SRC_ROUTING_POOL_BALANCE_H_
#define BURDOCKHILL_SRC_ROUTING_POOL_BALANCE_H_

#include <optional>

#include "burdockhill/src/routing/upstream_directory.h"

namespace burdockhill {

// Assigns the engines of a service to the prefill and the decode pool, so that
// both pools can serve the same number of requests a second. Every agent
// computes the same plan from the registrations and the measured rates, and
// sends role orders only to the engine on its own VM, so that an engine gets
// orders from a single agent.
//
// Engines of different versions do not work on one request, so each version of
// a service has pools of its own. An engine of unknown version works alone.
//
// The rates are those at full load. They change with the lengths of prompts and
// outputs and not with the number of requests, so a burst, which is over before
// an engine has changed its role, does not change the plan.
class PoolBalance {
 public:
  // The number of prefill engines out of `engine_count`, of two or more, with
  // which the service can serve the most requests.
  static int BestPrefillCount(const PoolRates& rates, int engine_count);

  void SetRates(const PoolRates& rates) { m_rates = rates; }

  // The role that `self` should be ordered to change to, or nullopt if it
  // should keep its role or the plan has changed recently.
  std::optional<EngineRole> DecideRole(const UpstreamDirectory& directory,
                                       const UpstreamName& self, TimePoint now);

  // Number of prefill engines wanted out of `engine_count`, of which `current`
  // are prefill engines now. At least one, and one decode engine, of two or
  // more; none of fewer. Keeps the current number while the rates are unknown,
  // or if the best one serves few more requests.
  int TargetPrefillCount(int engine_count, int current) const;

 private:
  struct Plan {
    std::optional<EngineRole> role;  // That this engine should change to.
    bool is_urgent = false;          // The version has no decode engine.
    int engine_count = 0;            // Of the version.
    bool has_other_versions = false;
    bool operator==(const Plan&) const = default;
  };

  // Requests a second that both pools can serve, with some prefill engines kept
  // free for bursts.
  static double Capacity(const PoolRates& rates, int engine_count,
                         int prefill_count);
  Plan MakePlan(const UpstreamDirectory& directory,
                const UpstreamName& self) const;
  // How long the plan has to stay the same before it is acted on.
  static Duration SettleTime(const Plan& plan);

  PoolRates m_rates;
  Plan m_plan;
  TimePoint m_plan_changed_at{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_POOL_BALANCE_H_
