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

// Follows the configuration in the store: stages the generation that the
// coordinator has published, reports that to the coordinator, puts it in force
// once it is accepted, and offers each agent the resources that concern it. The
// generation in force never decreases, even on stale answers of the store or of
// a peer.
class EntryConfiguration {
 public:
  EntryConfiguration(EntryBlackboard* board, PeerLink* peers,
                     ObjectStore* store)
      : m_board(board), m_peers(peers), m_store(store) {}

  void OnPeerUp(const Hello& peer);
  void OnOffer(const VmName& from, const ConfigurationOffer& offer);
  // Repeats the offer to an agent that is behind: it may have missed one, for
  // instance while it was paused.
  void OnLoadReport(const VmName& agent, const LoadReport& report);
  void Tick();

 private:
  void WatchState();
  void OnStateChanged(const ConfigurationStateObject& state);
  void FetchContent(Generation generation);
  void StageContent(Generation generation, const std::string& text);
  void PutInForce(Generation generation);
  // The complete configuration in force here, for another entry.
  ConfigurationOffer FullOffer() const;
  void OfferToAgents();
  void OfferTo(const VmName& agent);
  // Reports to the coordinator the generations of this VM and of the connected
  // agents, which the coordinator may have no connection to.
  void ReportGenerations();

  EntryBlackboard* m_board;
  PeerLink* m_peers;
  ObjectStore* m_store;
  bool m_watching = false;
  uint64_t m_revision = 0;
  TimePoint m_next_watch{};
  TimePoint m_next_report{};
  Duration m_watch_backoff{0};
  Generation m_accepted;  // Highest one accepted, by the store or a peer.
  std::map<Generation, std::shared_ptr<const ConfigurationContent>> m_contents;
  std::map<Generation, bool> m_fetching;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_ENTRY_CONFIGURATION_H_
