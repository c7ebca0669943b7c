#include "burdockhill/src/entry/decision_log.h"

#include <utility>

namespace burdockhill {

namespace {
constexpr size_t kMaxRequests = 4096;
constexpr size_t kMaxDecisionsPerRequest = 64;
}  // namespace

void DecisionLog::Record(RequestId id, TimePoint at, const char* component,
                         std::string reason) {
  std::vector<Decision>* decisions = m_decisions.Find(id);
  if (decisions == nullptr) {
    decisions = &m_decisions.FindOrInsert(id);
    m_order.push_back(id);
    if (m_order.size() > kMaxRequests) {
      m_decisions.Erase(m_order.front());
      m_order.pop_front();
    }
  }
  if (decisions->size() >= kMaxDecisionsPerRequest) return;
  decisions->push_back({at, component, std::move(reason)});
}

std::vector<Decision> DecisionLog::FindDecisions(RequestId id) const {
  const std::vector<Decision>* decisions = m_decisions.Find(id);
  return decisions == nullptr ? std::vector<Decision>() : *decisions;
}

}  // namespace burdockhill
