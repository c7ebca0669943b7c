#ifndef BURDOCKHILL_SRC_ROUTING_ENGINE_PLACEMENT_H_
#define BURDOCKHILL_SRC_ROUTING_ENGINE_PLACEMENT_H_

#include <optional>
#include <vector>

#include "burdockhill/src/base/random.h"
#include "burdockhill/src/base/table.h"
#include "burdockhill/src/routing/engine_outlook.h"
#include "burdockhill/src/routing/placement_costs.h"
#include "burdockhill/src/routing/upstream_directory.h"

namespace burdockhill {

// What a request transfers, and between which places.
struct PlacementPath {
  ZoneName entry;
  // For prefill, the zone of the decode engine, which fetches the KV cache; for
  // decode, those of the prefill engines that may compute it.
  std::vector<ZoneName> kv_ends;
  EngineLimits limits;
  ByteCount request_bytes;
};

// Decides which engines' agents an entry asks for a reservation, and when a
// request is refused because no engine will have capacity in time.
//
// Engines are ranked by time. Of those that can meet the latency target, the
// one that is expected to complete the request first is the best; of the
// others, the one with the earliest first token. Rates that an engine does not
// report are taken to be the mean of the others.
//
// Decode engines with room are asked, the best of a random sample first. If
// none has room, the request waits in the queue of one engine. An engine whose
// agent has refused a similar request is not asked again before the time that
// the agent stated, unless a later report shows room.
class EnginePlacement {
 public:
  // What to do with a request now.
  struct Plan {
    // Agents to ask. The first grant wins.
    std::vector<UpstreamName> ask;
    bool has_room = false;  // Their reports show room.
    // If there is none to ask: time until the first engine is expected to have
    // capacity. Nullopt if no engine is known to.
    std::optional<Duration> expected_in;
  };

  // The state of an engine. It is created by the first report and kept until
  // Forget.
  EngineOutlook& Outlook(const UpstreamName& engine) {
    return m_outlooks.FindOrInsert(engine);
  }
  void RecordZone(const ZoneName& zone, const RegionName& region) {
    m_zones.Record(zone, region);
  }
  void Forget(const UpstreamName& engine) { m_outlooks.Erase(engine); }

  // `candidates` are the engines that may be used and whose agents are
  // connected and were not asked yet; those in `asked` have not answered.
  Plan Decide(const EngineDemand& demand,
              const std::vector<const RegisteredUpstream*>& candidates,
              size_t asked, const PlacementPath& path, TimePoint now,
              Random* random) const;

  // The engines in the order in which they are best used, of which the first
  // ones are a random sample.
  std::vector<UpstreamName> Rank(
      const EngineDemand& demand,
      const std::vector<const RegisteredUpstream*>& candidates,
      const PlacementPath& path, TimePoint now, Random* random) const;

 private:
  // One candidate for a request.
  struct Choice {
    const RegisteredUpstream* upstream = nullptr;
    ExpectedGrant grant;
    Duration first_token{0};  // Expected time until then.
    Duration completion{0};   // Until the end of the request at this engine.
    bool misses_target = false;
    double sample_key = 0;  // The lowest ones are the sample.
    Tokens spare_memory;
  };

  struct Ranking {
    std::vector<Choice> choices;
    size_t sample_size = 0;  // The first ones, which are a random sample.
  };

  // The mean of the rates that engines of this role report, or a default.
  double MeanRate(EngineRole role,
                  const std::vector<const RegisteredUpstream*>& engines) const;
  Choice Assess(const RegisteredUpstream& upstream, const EngineDemand& demand,
                const PlacementPath& path, double mean_rate,
                TimePoint now) const;
  // Orders two choices; the better one is first.
  static bool IsBetter(const Choice& a, const Choice& b);
  // Gives engines that report no wait the mean wait of the others, once several
  // have refused the request.
  static void EstimateUnknownWaits(std::vector<Choice>* choices);
  // The best engine in whose queue the request does not wait for too long;
  // nullptr if there is none.
  static const Choice* FindQueue(const EngineDemand& demand,
                                 const Ranking& ranking);
  // Decode engines whose reports show room.
  static std::vector<UpstreamName> FindRoom(const EngineDemand& demand,
                                            const Ranking& ranking,
                                            size_t asked);
  Ranking RankChoices(const EngineDemand& demand,
                      const std::vector<const RegisteredUpstream*>& candidates,
                      const PlacementPath& path, TimePoint now,
                      Random* random) const;

  ZoneMap m_zones;
  Table<UpstreamName, EngineOutlook> m_outlooks;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_ENGINE_PLACEMENT_H_
