#include "burdockhill/src/routing/route_table.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

namespace burdockhill {

bool RouteTable::Apply(RoutingConfiguration configuration) {
  if (configuration.generation <= m_configuration.generation) return false;
  const RoutingConfiguration former =
      std::exchange(m_configuration, std::move(configuration));
  KeepFormerServices(former.routes);
  m_routes_by_host.clear();
  m_service_indices.clear();
  const std::vector<Route>& routes = m_configuration.routes;
  for (size_t i = 0; i < routes.size(); ++i) {
    m_routes_by_host[routes[i].host].push_back(i);
  }
  for (auto& [host, indices] : m_routes_by_host) {
    std::stable_sort(indices.begin(), indices.end(), [&](size_t a, size_t b) {
      return routes[a].path_prefix.size() > routes[b].path_prefix.size();
    });
  }
  for (size_t i = 0; i < m_configuration.services.size(); ++i) {
    m_service_indices[m_configuration.services[i].name] = i;
  }
  ApplyTeams();
  return true;
}

void RouteTable::KeepFormerServices(const std::vector<Route>& former_routes) {
  for (const Route& route : former_routes) {
    if (route.kind != RequestKind::kResumableStream) continue;
    std::vector<ServiceName>& former = m_former_services[route.name];
    for (const WeightedService& choice : route.services) {
      if (!IsAllowed(route, choice.service)) continue;
      std::erase(former, choice.service);
      former.push_back(choice.service);
    }
    if (former.size() > kMaxFormerServices) {
      former.erase(former.begin(), former.end() - kMaxFormerServices);
    }
  }
  if (m_former_services.size() <= kMaxFormerRoutes) return;
  std::set<RouteName> present;
  for (const Route& route : m_configuration.routes) present.insert(route.name);
  std::erase_if(m_former_services, [&](const auto& item) {
    return !present.contains(item.first);
  });
}

std::vector<ServiceName> RouteTable::FormerServices(
    const RouteName& route) const {
  const auto found = m_former_services.find(route);
  if (found == m_former_services.end()) return {};
  return found->second;
}

bool RouteTable::IsAllowed(const Route& route, const ServiceName& service) {
  const bool has_weights = std::any_of(
      route.services.begin(), route.services.end(),
      [](const WeightedService& choice) { return choice.weight > 0; });
  // Without any weight, see PickService, the first service gets all requests.
  if (!has_weights) {
    return !route.services.empty() && route.services.front().service == service;
  }
  return std::any_of(route.services.begin(), route.services.end(),
                     [&](const WeightedService& choice) {
                       return choice.weight > 0 && choice.service == service;
                     });
}

void RouteTable::ApplyTeams() {
  std::vector<TeamFault>& faults = m_configuration.team_faults;
  for (TeamFault& fault :
       m_teams.Apply(std::exchange(m_configuration.teams, {}))) {
    faults.push_back(std::move(fault));
  }
  std::vector<std::optional<int>> of_teams;
  for (const auto& [name, team] : m_teams.Teams()) {
    of_teams.push_back(team.priority);
  }
  std::vector<int> of_routes;
  for (const Route& route : m_configuration.routes) {
    of_routes.push_back(route.priority);
  }
  m_priority_levels = PriorityLevels(of_teams, of_routes);
}

uint8_t RouteTable::EnginePriority(const Route& route,
                                   const TeamName& team_name) const {
  const Team* team = m_teams.Find(team_name);
  return m_priority_levels.LevelOf(
      team == nullptr ? std::nullopt : team->priority, route.priority);
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  const auto found = m_routes_by_host.find(std::string(host));
  if (found == m_routes_by_host.end()) return nullptr;
  for (const size_t index : found->second) {
    const Route& route = m_configuration.routes[index];
    if (path.starts_with(route.path_prefix)) return &route;
  }
  return nullptr;
}

const Service* RouteTable::FindService(const ServiceName& name) const {
  const auto found = m_service_indices.find(name);
  return found == m_service_indices.end()
             ? nullptr
             : &m_configuration.services[found->second];
}

const ServiceName& RouteTable::PickService(const Route& route, uint64_t draw) {
  assert(!route.services.empty());
  int64_t total = 0;
  for (const WeightedService& choice : route.services) total += choice.weight;
  if (total <= 0) return route.services.front().service;
  auto left = static_cast<int64_t>(draw % static_cast<uint64_t>(total));
  for (const WeightedService& choice : route.services) {
    left -= choice.weight;
    if (left < 0) return choice.service;
  }
  return route.services.back().service;
}

}  // namespace burdockhill
