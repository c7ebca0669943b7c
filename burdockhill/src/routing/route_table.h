#ifndef BURDOCKHILL_SRC_ROUTING_ROUTE_TABLE_H_
#define BURDOCKHILL_SRC_ROUTING_ROUTE_TABLE_H_

#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "burdockhill/src/base/random.h"
#include "burdockhill/src/routing/routes.h"
#include "burdockhill/src/teams/priority_levels.h"

namespace burdockhill {

// The routing configuration in force, indexed for look-ups. Only a newer
// generation replaces it.
class RouteTable {
 public:
  // Replaces the configuration. Returns false, and changes nothing, unless
  // `configuration` has a newer generation.
  bool Apply(RoutingConfiguration configuration);

  bool HasConfiguration() const { return m_configuration.generation.IsValid(); }
  const RoutingConfiguration& Configuration() const { return m_configuration; }

  // The route of `host` with the longest prefix that matches `path`, or
  // nullptr.
  const Route* Find(std::string_view host, std::string_view path) const;
  // The service, or nullptr.
  const Service* FindService(const ServiceName& name) const;
  const TeamDirectory& Teams() const { return m_teams; }
  // The engines' priority of a request of this team, which may be invalid.
  uint8_t EnginePriority(const Route& route, const TeamName& team) const;

  // One of the route's services, by weight. `draw` is uniformly distributed,
  // and the same one picks the same service. The route has to have at least
  // one.
  static const ServiceName& PickService(const Route& route, uint64_t draw);
  // Whether requests of the route may go to the service.
  static bool IsAllowed(const Route& route, const ServiceName& service);
  // Services to which streams of the route could go in the configurations that
  // this process had in force before; some of them may be allowed still.
  std::vector<ServiceName> FormerServices(const RouteName& route) const;

 private:
  static constexpr size_t kMaxFormerServices = 4;  // Of a route; the latest.
  static constexpr size_t kMaxFormerRoutes = 1024;

  // Takes over the services that the routes of a former configuration allowed.
  void KeepFormerServices(const std::vector<Route>& former_routes);
  // Moves the teams of the configuration into the directory.
  void ApplyTeams();

  RoutingConfiguration m_configuration;
  TeamDirectory m_teams;
  PriorityLevels m_priority_levels;
  std::map<RouteName, std::vector<ServiceName>> m_former_services;
  // Indices of the configuration's routes by host, longest prefix first.
  std::unordered_map<std::string, std::vector<size_t>> m_routes_by_host;
  // Indices of the configuration's services.
  std::unordered_map<ServiceName, size_t> m_service_indices;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_ROUTE_TABLE_H_
