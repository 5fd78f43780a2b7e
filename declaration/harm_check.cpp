#include "declaration/harm_check.h"

#include <algorithm>
#include <set>
#include <utility>

namespace skylarkwing::declaration {

namespace {

std::set<std::string>
DomainsInService(const Declaration& aDeclaration)
{
  std::set<std::string> names;
  for (const FailureDomainDeclaration& domain : aDeclaration.failureDomains) {
    if (!domain.out) {
      names.insert(domain.name);
    }
  }
  return names;
}

using ServiceName = std::pair<std::string, std::string>;

/** @return index and name of each service without a replica in a failure domain in service. */
std::set<ServiceName>
ServicesWithoutReplicas(const Declaration& aDeclaration)
{
  const std::set<std::string> domains = DomainsInService(aDeclaration);
  std::set<ServiceName> services;
  for (const IndexDeclaration& index : aDeclaration.indexes) {
    for (const ServiceDeclaration& service : index.services) {
      const bool isServed = std::any_of(
        service.replicas.begin(), service.replicas.end(), [&domains](const auto& aReplica) {
          return domains.count(aReplica.failureDomain) != 0;
        });
      if (!isServed) {
        services.emplace(index.name, service.name);
      }
    }
  }
  return services;
}

} // namespace

std::vector<std::string>
FindHarms(const Declaration& aFrom, const Declaration& aTo)
{
  std::vector<std::string> harms;
  if (!aFrom.deployment.empty() && aFrom.deployment != aTo.deployment) {
    harms.push_back("the declaration is of deployment \"" + aTo.deployment + "\", not of \"" +
                    aFrom.deployment + "\"");
  }
  if (DomainsInService(aTo).empty() && !DomainsInService(aFrom).empty()) {
    harms.emplace_back("every failure domain would be out");
  }
  const std::set<ServiceName> before = ServicesWithoutReplicas(aFrom);
  for (const ServiceName& service : ServicesWithoutReplicas(aTo)) {
    if (before.count(service) == 0) {
      harms.push_back("service " + service.second + " of index " + service.first +
                      " would have no replica in a failure domain that is in");
    }
  }
  return harms;
}

} // namespace skylarkwing::declaration
