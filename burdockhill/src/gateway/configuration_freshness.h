#ifndef BURDOCKHILL_SRC_GATEWAY_CONFIGURATION_FRESHNESS_H_
#define BURDOCKHILL_SRC_GATEWAY_CONFIGURATION_FRESHNESS_H_

#include "burdockhill/src/gateway/entry_board.h"
#include "burdockhill/src/gateway/object_feed.h"
#include "burdockhill/src/gateway/peer_relay.h"

namespace burdockhill {

// Combines what the feed of configurations and the other entries know.
class FeedFreshness : public ConfigurationFreshness {
 public:
  FeedFreshness(const ObjectFeed* configurations, const PeerRelay* relay)
      : m_configurations(configurations), m_relay(relay) {}
  bool MayBeStale() const override {
    return m_configurations->MayBeStale() || m_relay->MayBeBehind();
  }

 private:
  const ObjectFeed* m_configurations;
  const PeerRelay* m_relay;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_CONFIGURATION_FRESHNESS_H_
