#include "burdockhill/src/agent/agent_configuration.h"

#include "burdockhill/src/resources/configuration.h"

namespace burdockhill {

void AgentConfiguration::OnOffer(const ConfigurationOffer& offer) {
  if (offer.generation <= m_board->in_force) return;
  if (!offer.content.empty()) {
    FieldErrors errors;
    if (!ParseConfiguration(offer.content, &errors).has_value()) return;
    m_staged[offer.generation] = offer.content;
    if (offer.generation > m_board->staged) {
      m_board->staged = offer.generation;
      m_board->report_due = true;
    }
  }
  if (offer.accepted) PutInForce(offer.generation);
}

void AgentConfiguration::PutInForce(Generation generation) {
  const auto found = m_staged.find(generation);
  if (found == m_staged.end()) return;
  FieldErrors errors;
  const std::optional<Configuration> configuration =
      ParseConfiguration(found->second, &errors);
  const Upstream* upstream = configuration->UpstreamOnVm(m_board->self.vm);
  m_board->drain_configured = upstream != nullptr && upstream->drain;
  m_board->in_force = generation;
  m_board->report_due = true;
  m_staged.erase(m_staged.begin(), m_staged.upper_bound(generation));
}

}  // namespace burdockhill
