#ifndef BURDOCKHILL_TEAMS_H_
#define BURDOCKHILL_TEAMS_H_

// Module teams: customers, their API keys, and the limits that all entries keep
// together. Without any I/O.

#include "burdockhill/src/teams/coordinator_choice.h"  // IWYU pragma: export
#include "burdockhill/src/teams/demand_estimate.h"     // IWYU pragma: export
#include "burdockhill/src/teams/isolated_share.h"      // IWYU pragma: export
#include "burdockhill/src/teams/lease_coordinator.h"   // IWYU pragma: export
#include "burdockhill/src/teams/lease_holder.h"        // IWYU pragma: export
#include "burdockhill/src/teams/limit_budget.h"        // IWYU pragma: export
#include "burdockhill/src/teams/limit_tolerance.h"     // IWYU pragma: export
#include "burdockhill/src/teams/priority_levels.h"     // IWYU pragma: export
#include "burdockhill/src/teams/team.h"                // IWYU pragma: export
#include "burdockhill/src/teams/team_bucket.h"         // IWYU pragma: export
#include "burdockhill/src/teams/team_directory.h"      // IWYU pragma: export
#include "burdockhill/src/teams/team_leases.h"         // IWYU pragma: export

#endif  // BURDOCKHILL_TEAMS_H_
