// Module routing: the services that routes had in earlier configurations.

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "burdockhill/routing.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)

namespace {

Route MakeRoute(const std::string& name,
                std::vector<WeightedService> services) {
  Route route;
  route.name = RouteName(name);
  route.host = "h";
  route.path_prefix = "/" + name + "/";
  route.kind = RequestKind::kResumableStream;
  route.services = std::move(services);
  return route;
}

WeightedService Weighted(const std::string& name, int weight = 1) {
  return {ServiceName(name), weight};
}

}  // namespace

TEST_GROUP(FormerServices) {
  void Apply(std::vector<Route> routes) {
    RoutingConfiguration configuration;
    configuration.generation = Generation(++m_last_generation);
    configuration.routes = std::move(routes);
    CHECK(m_table.Apply(std::move(configuration)));
  }
  std::string Former(const std::string& route) const {
    std::string text;
    for (const ServiceName& name : m_table.FormerServices(RouteName(route))) {
      text += name.Value() + " ";
    }
    return text;
  }

  uint64_t m_last_generation = 0;
  RouteTable m_table;
};

TEST(FormerServices, AreThoseThatEarlierConfigurationsAllowed) {
  Apply({MakeRoute("r", {Weighted("a"), Weighted("b", 0)}),
         MakeRoute("q", {Weighted("x")})});
  STRCMP_EQUAL("", Former("r").c_str());
  Apply({MakeRoute("r", {Weighted("c")})});
  STRCMP_EQUAL("a ", Former("r").c_str());
  Apply({});
  STRCMP_EQUAL("a c ", Former("r").c_str());
  STRCMP_EQUAL("x ", Former("q").c_str());
  STRCMP_EQUAL("", Former("unknown").c_str());
}

TEST(FormerServices, AreKeptForStreamsThatCanBeTakenUpOnly) {
  Route route = MakeRoute("r", {Weighted("a")});
  route.kind = RequestKind::kStream;
  Apply({route});
  Apply({});
  STRCMP_EQUAL("", Former("r").c_str());
}

TEST(FormerServices, AreBounded) {
  for (int i = 0; i < 10; ++i) {
    Apply({MakeRoute("r", {Weighted("s" + std::to_string(i))})});
  }
  Apply({});
  STRCMP_EQUAL("s6 s7 s8 s9 ", Former("r").c_str());
  // Routes that no configuration has any more are forgotten if there are many.
  std::vector<Route> routes;
  routes.reserve(1100);
  for (int i = 0; i < 1100; ++i) {
    routes.push_back(MakeRoute("q" + std::to_string(i), {Weighted("s")}));
  }
  Apply(routes);
  Apply(routes);
  STRCMP_EQUAL("", Former("r").c_str());
  STRCMP_EQUAL("s ", Former("q7").c_str());
}

TEST(FormerServices, AServiceIsAllowedIfItCanBePicked) {
  const Route route = MakeRoute("r", {Weighted("a", 0), Weighted("b", 1)});
  CHECK_FALSE(RouteTable::IsAllowed(route, ServiceName("a")));
  CHECK(RouteTable::IsAllowed(route, ServiceName("b")));
  CHECK_FALSE(RouteTable::IsAllowed(route, ServiceName("c")));
  const Route unweighted = MakeRoute("r", {Weighted("a", 0), Weighted("b", 0)});
  CHECK(RouteTable::IsAllowed(unweighted, ServiceName("a")));
  CHECK_FALSE(RouteTable::IsAllowed(unweighted, ServiceName("b")));
  CHECK_FALSE(RouteTable::IsAllowed(MakeRoute("r", {}), ServiceName("a")));
}
