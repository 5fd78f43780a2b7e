#include "declaration/routing_table.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <utility>

namespace skylarkwing::declaration {

namespace {

/** Tolerance for binary fractions: 0.7 of 10 must not be rounded up to 8. */
constexpr double kRoundingTolerance = 1e-9;

/** @return the host name in lower case and without the port. */
std::string
NormalizeHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return host;
}

} // namespace

std::size_t
Route::LeastShards() const
{
  const double least =
    std::ceil(leastCoverage * static_cast<double>(shards.size()) - kRoundingTolerance);
  return std::max<std::size_t>(1, static_cast<std::size_t>(std::max(0.0, least)));
}

void
RoutingTable::AddRoute(Route aRoute)
{
  std::vector<Route>& routes = mRoutes[NormalizeHost(aRoute.host)];
  const auto same = std::find_if(routes.begin(), routes.end(), [&aRoute](const Route& aOther) {
    return aOther.prefix == aRoute.prefix;
  });
  if (same != routes.end()) {
    *same = std::move(aRoute);
    return;
  }
  const auto it = std::find_if(routes.begin(), routes.end(), [&aRoute](const Route& aOther) {
    return aOther.prefix.size() < aRoute.prefix.size();
  });
  routes.insert(it, std::move(aRoute));
  ++mRouteCount;
}

void
RoutingTable::AddService(ServiceLimits aLimits)
{
  std::string name = aLimits.name;
  mServices.insert_or_assign(std::move(name), std::move(aLimits));
}

const Route*
RoutingTable::Match(std::string_view aHost, std::string_view aPath) const
{
  const auto it = mRoutes.find(NormalizeHost(aHost));
  if (it == mRoutes.end()) {
    return nullptr;
  }
  for (const Route& route : it->second) {
    if (aPath.substr(0, route.prefix.size()) == route.prefix) {
      return &route;
    }
  }
  return nullptr;
}

const ServiceLimits*
RoutingTable::FindService(const std::string& aName) const
{
  const auto it = mServices.find(aName);
  return it == mServices.end() ? nullptr : &it->second;
}

} // namespace skylarkwing::declaration
