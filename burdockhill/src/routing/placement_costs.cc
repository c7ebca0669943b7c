#include "burdockhill/src/routing/placement_costs.h"

namespace burdockhill {

namespace {

constexpr int kBitsPerByte = 8;
// Defaults for one-way delays, which are not measured.
constexpr Duration kSameZoneDelay = std::chrono::microseconds(500);
constexpr Duration kOtherZoneDelay = std::chrono::microseconds(1000);
constexpr Duration kOtherRegionDelay = std::chrono::milliseconds(12);
// KV transfers take this many times as long as within a zone, as specified by
// the platform.
constexpr int kOtherZoneTransferFactor = 2;
constexpr int kOtherRegionTransferFactor = 10;
// Default for the link that all traffic between two regions shares. It is
// neither configured nor measured, and deployments differ.
constexpr double kRegionLinkBitsPerSecond = 60e6;

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

int TransferFactor(Distance distance) {
  switch (distance) {
    case Distance::kSameZone:
      return 1;
    case Distance::kOtherZone:
      return kOtherZoneTransferFactor;
    case Distance::kOtherRegion:
      return kOtherRegionTransferFactor;
  }
  return 1;
}

}  // namespace

void ZoneMap::Record(const ZoneName& zone, const RegionName& region) {
  if (zone.IsValid() && region.IsValid()) m_regions[zone] = region;
}

Distance ZoneMap::Between(const ZoneName& one, const ZoneName& other) const {
  if (one == other) return Distance::kSameZone;
  const auto region = m_regions.find(one);
  const auto other_region = m_regions.find(other);
  const bool are_known =
      region != m_regions.end() && other_region != m_regions.end();
  return are_known && region->second != other_region->second
             ? Distance::kOtherRegion
             : Distance::kOtherZone;
}

Duration OneWayDelay(Distance distance) {
  switch (distance) {
    case Distance::kSameZone:
      return kSameZoneDelay;
    case Distance::kOtherZone:
      return kOtherZoneDelay;
    case Distance::kOtherRegion:
      return kOtherRegionDelay;
  }
  return kSameZoneDelay;
}

Duration KvTransferTime(const EngineLimits& limits, Tokens prompt,
                        Distance distance) {
  if (limits.kv_link_rate.Value() <= 0) return Duration(0);
  const double bits = static_cast<double>(prompt.Value()) *
                      static_cast<double>(limits.kv_bytes_per_token.Value()) *
                      kBitsPerByte;
  return FromSeconds(TransferFactor(distance) * bits /
                     static_cast<double>(limits.kv_link_rate.Value()));
}

Duration TransferTime(ByteCount bytes, Distance distance) {
  if (distance != Distance::kOtherRegion) return Duration(0);
  return FromSeconds(static_cast<double>(bytes.Value()) * kBitsPerByte /
                     kRegionLinkBitsPerSecond);
}

}  // namespace burdockhill
