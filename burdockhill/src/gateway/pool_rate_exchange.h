#ifndef BURDOCKHILL_SRC_GATEWAY_POOL_RATE_EXCHANGE_H_
#define BURDOCKHILL_SRC_GATEWAY_POOL_RATE_EXCHANGE_H_

#include <map>

#include "burdockhill/src/base/table.h"
#include "burdockhill/src/gateway/entry_board.h"
#include "burdockhill/src/peer/peer_link.h"

namespace burdockhill {

// Tells the agents of each service the mean service rates of its prefill and
// decode engines. Agents balance the pools by these means and do not talk to
// each other; each entry hears from all of them.
class PoolRateExchange {
 public:
  PoolRateExchange(EntryBoard* board, PeerLink* peers)
      : m_board(board), m_peers(peers) {}

  void OnLoadReport(const VmName& agent, const LoadReport& report);
  // The agent has to be told again when it is back.
  void OnAgentDown(const VmName& agent) { m_agents.Erase(agent); }

  // Sends the means that have changed, each when it is due. Call once per
  // iteration of the event loop.
  void Tick();

 private:
  struct Agent {
    EngineRole role = EngineRole::kDecode;
    double service_rate = 0;  // Requests a second; zero if unknown.
    PoolRates told;           // Last sent to the agent.
  };
  // Sums over the engines of one service that have reported a rate.
  struct Sums {
    PoolRates rates;
    int prefill_engines = 0;
    int decode_engines = 0;
    PoolRates Means() const;
  };

  std::map<ServiceName, Sums> SumByService() const;

  EntryBoard* m_board;
  PeerLink* m_peers;
  Table<VmName, Agent> m_agents;
  TimePoint m_next_tick_at{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_POOL_RATE_EXCHANGE_H_
