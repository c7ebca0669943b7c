#ifndef BURDOCKHILL_SRC_ENTRY_ENTRY_CONFIGURATION_H_
#define BURDOCKHILL_SRC_ENTRY_ENTRY_CONFIGURATION_H_

#include <map>
#include <memory>
#include <string>

#include "burdockhill/src/entry/configuration_content.h"
#include "burdockhill/src/entry/configuration_state.h"
#include "burdockhill/src/entry/entry_blackboard.h"
#include "burdockhill/src/peer/peer_link.h"

namespace burdockhill {

// Follows the configuration: stages what the coordinator has published, tells
// the coordinator so, puts it in force once it is accepted, and offers each
// agent its part. The generation in force never falls, whatever a stale store
// answer or a peer says.
class EntryConfiguration {
 public:
  EntryConfiguration(EntryBlackboard* board, PeerLink* peers,
                     ObjectStore* store)
      : m_board(board), m_peers(peers), m_store(store) {}

  void OnPeerUp(const Hello& peer);
  void OnOffer(const VmName& from, const ConfigurationOffer& offer);
  // An agent that missed an offer, say while it was paused, is sent it again.
  void OnLoadReport(const VmName& agent, const LoadReport& report);
  void Step();

 private:
  void Watch();
  void OnState(const ConfigurationStateObject& state);
  void Fetch(Generation generation);
  void Stage(Generation generation, const std::string& text);
  void PutInForce(Generation generation);
  // What is in force here, for another entry.
  ConfigurationOffer WholeOffer() const;
  void OfferToAgents();
  void OfferTo(const VmName& agent);
  void Report();

  EntryBlackboard* m_board;
  PeerLink* m_peers;
  ObjectStore* m_store;
  bool m_watching = false;
  uint64_t m_revision = 0;
  TimePoint m_next_watch{};
  TimePoint m_next_report{};
  Duration m_watch_delay{0};
  Generation m_accepted;  // By the store or by a peer.
  std::map<Generation, std::shared_ptr<const ConfigurationContent>> m_contents;
  std::map<Generation, bool> m_fetching;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_ENTRY_CONFIGURATION_H_
