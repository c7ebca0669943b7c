#include "burdockhill/src/gateway/pool_rate_exchange.h"

#include <cmath>

namespace burdockhill {

namespace {

constexpr Duration kInterval = std::chrono::milliseconds(1000);
// Relative change of a mean that is worth a message.
constexpr double kMinChange = 0.05;

bool HasChanged(double now, double told) {
  return std::abs(now - told) > kMinChange * told;
}

// The VM of the engine, which is that of its agent too.
VmName AgentOf(const RegisteredUpstream& upstream) {
  const std::optional<Address> address = ParseAddress(upstream.address);
  return address.has_value() ? VmName(address->host) : VmName();
}

}  // namespace

void PoolRateExchange::OnLoadReport(const VmName& agent,
                                    const LoadReport& report) {
  if (report.engines.empty()) return;
  Agent& state = m_agents.FindOrInsert(agent);
  state.role = report.engines.front().role;
  state.service_rate = report.service_rate;
}

PoolRates PoolRateExchange::Sums::Means() const {
  return {prefill_engines == 0 ? 0 : rates.prefill / prefill_engines,
          decode_engines == 0 ? 0 : rates.decode / decode_engines};
}

std::map<ServiceName, PoolRateExchange::Sums> PoolRateExchange::SumByService()
    const {
  std::map<ServiceName, Sums> sums;
  for (const auto& [name, upstream] : m_board->upstreams.All()) {
    if (!upstream.role.has_value() ||
        m_board->upstreams.IsSuperseded(upstream)) {
      continue;
    }
    const Agent* agent = m_agents.Find(AgentOf(upstream));
    if (agent == nullptr || agent->service_rate <= 0) continue;
    Sums& sum = sums[upstream.service];
    if (agent->role == EngineRole::kPrefill) {
      sum.rates.prefill += agent->service_rate;
      ++sum.prefill_engines;
    } else {
      sum.rates.decode += agent->service_rate;
      ++sum.decode_engines;
    }
  }
  return sums;
}

void PoolRateExchange::Tick() {
  const TimePoint now = m_board->clock->Now();
  if (now < m_next_tick_at) return;
  m_next_tick_at = now + kInterval;
  const std::map<ServiceName, Sums> sums = SumByService();
  for (const auto& [name, upstream] : m_board->upstreams.All()) {
    const auto sum = sums.find(upstream.service);
    if (sum == sums.end()) continue;
    const VmName vm = AgentOf(upstream);
    Agent* agent = m_agents.Find(vm);
    if (agent == nullptr) continue;
    const PoolRates means = sum->second.Means();
    if (!means.AreKnown() || (!HasChanged(means.prefill, agent->told.prefill) &&
                              !HasChanged(means.decode, agent->told.decode))) {
      continue;
    }
    agent->told = means;
    m_peers->Send(vm, means);
  }
}

}  // namespace burdockhill
