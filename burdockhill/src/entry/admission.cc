#include "burdockhill/src/entry/admission.h"

#include <algorithm>
#include <utility>

#include "burdockhill/src/entry/request_operations.h"

namespace burdockhill {

namespace {
constexpr char kComponent[] = "admission";
}  // namespace

void Admission::Tick() {
  for (const RequestId& id : std::exchange(m_board->to_admit, {})) {
    Request* request = m_board->requests.Find(id);
    if (request != nullptr && request->phase == RequestPhase::kArrived) {
      Admit(request);
    }
  }
}

void Admission::Admit(Request* request) {
  const auto refuse = [&](ErrorKind kind) {
    internal::EndWithError(m_board, request, kind, kComponent);
  };
  if (m_board->leaving) return refuse(ErrorKind::kLeaving);
  if (m_board->configuration == nullptr) return refuse(ErrorKind::kNotReady);
  const Team* team = FindTeam(*request);
  if (team == nullptr) return refuse(ErrorKind::kUnauthorized);
  request->team = team->name;
  request->generation = m_board->in_force;
  request->request_class = team->request_class;
  if (!ResolveService(request, *team)) return;
  if (!CheckLimits(request, *team)) return;

  const RoutingPolicy& policy =
      m_board->configuration->PolicyFor(request->policy);
  request->first_token_deadline =
      request->arrived_at + policy.first_token_limit;
  RateLimit& budget = m_board->retry_budgets[request->policy];
  constexpr double kRetryBurst = 10.0;
  constexpr double kPercent = 100.0;
  budget.Configure(0.0, kRetryBurst);
  budget.Deposit(static_cast<double>(policy.retry_budget_percent) / kPercent);
  ++m_board->team_usage[team->name].open_requests;
  request->is_counted = true;
  request->phase = RequestPhase::kAwaitingPlacement;
  m_board->to_place.push_back(request->inbound.id);
  internal::RecordDecision(
      m_board, request->inbound.id, kComponent,
      "admitted for team " + team->name.Value() + ", class " +
          std::string(RequestClassName(request->request_class)) + ", service " +
          request->inbound.service.Value());
}

const Team* Admission::FindTeam(const Request& request) const {
  const std::optional<KeyDigest>& key = request.inbound.key;
  if (!key.has_value()) return nullptr;
  return m_board->configuration->teams.FindByDigest(*key);
}

bool Admission::ResolveService(Request* request, const Team& team) {
  const auto refuse = [&](ErrorKind kind, const std::string& detail = {}) {
    internal::EndWithError(m_board, request, kind, kComponent, detail);
    return false;
  };
  const Configuration& configuration = *m_board->configuration;
  const ServiceName& service = request->inbound.service;
  const auto model = configuration.models.find(service);
  const auto plain = configuration.plain_services.find(service);
  const bool exists = request->inbound.plain
                          ? plain != configuration.plain_services.end()
                          : model != configuration.models.end();
  if (!exists) return refuse(ErrorKind::kNotFound);
  const bool allowed = std::any_of(
      team.services.begin(), team.services.end(), [&](const std::string& name) {
        return name == "*" || name == service.Value();
      });
  if (!allowed) return refuse(ErrorKind::kForbidden);
  if (request->inbound.plain) {
    request->policy = plain->second.policy;
    request->call_timeout = plain->second.timeout;
    request->repeatable = Configuration::IsRepeatable(
        plain->second, request->inbound.method, request->inbound.path);
    return true;
  }
  request->policy = model->second.policy;
  request->max_output =
      request->inbound.max_output.value_or(model->second.default_output);
  if (request->inbound.prompt_tokens > model->second.max_prompt) {
    return refuse(ErrorKind::kTooLarge,
                  "the prompt exceeds " +
                      std::to_string(model->second.max_prompt.Value()) +
                      " tokens");
  }
  if (request->max_output > model->second.max_output) {
    return refuse(ErrorKind::kBadRequest,
                  "max_tokens exceeds " +
                      std::to_string(model->second.max_output.Value()));
  }
  return true;
}

bool Admission::CheckLimits(Request* request, const Team& team) {
  TeamUsage& usage = m_board->team_usage[team.name];
  const auto entries = static_cast<double>(m_board->listed_entries);
  usage.rate_limit.Configure(team.limit.per_second / entries,
                             std::max(1.0, team.limit.burst / entries));
  const int64_t share =
      std::max<int64_t>(1, team.max_concurrent / m_board->listed_entries);
  if (usage.open_requests >= share) {
    internal::EndWithError(m_board, request, ErrorKind::kTeamLimit, kComponent,
                           "too many requests at a time");
    return false;
  }
  if (!usage.rate_limit.TryAcquire(m_board->now)) {
    request->retry_after = usage.rate_limit.TimeUntilAvailable();
    internal::EndWithError(m_board, request, ErrorKind::kTeamLimit, kComponent,
                           "too many requests a second");
    return false;
  }
  return true;
}

}  // namespace burdockhill
