#ifndef BURDOCKHILL_SRC_ROUTING_PLACEMENT_COSTS_H_
#define BURDOCKHILL_SRC_ROUTING_PLACEMENT_COSTS_H_

#include <map>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/routing/routes.h"

namespace burdockhill {

// How far two VMs are from each other.
enum class Distance { kSameZone, kOtherZone, kOtherRegion };

// Regions of availability zones, as learned from the VMs there.
class ZoneMap {
 public:
  void Record(const ZoneName& zone, const RegionName& region);
  // Zones of unknown regions count as those of one region.
  Distance Between(const ZoneName& one, const ZoneName& other) const;

 private:
  std::map<ZoneName, RegionName> m_regions;
};

// Time of a message from one VM to another.
Duration OneWayDelay(Distance distance);

// Time in which an engine fetches the KV cache of a prompt from another one.
// Zero if the configuration does not state the engines' links.
Duration KvTransferTime(const EngineLimits& limits, Tokens prompt,
                        Distance distance);

// Time in which this many bytes pass between two VMs, with the share of the
// link that other traffic leaves not known.
Duration TransferTime(ByteCount bytes, Distance distance);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_PLACEMENT_COSTS_H_
