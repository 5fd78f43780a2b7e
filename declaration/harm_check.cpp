#include "declaration/harm_check.h"

#include <algorithm>
#include <set>
#include <utility>

namespace skylarkwing::declaration {

namespace {

std::set<std::string>
DomainsThatAreIn(const Declaration& aDeclaration)
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

/** The index and name of each service without a replica in a failure domain that is in. */
std::set<ServiceName>
ServicesWithoutReplica(const Declaration& aDeclaration)
{
  const std::set<std::string> domains = DomainsThatAreIn(aDeclaration);
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
  if (DomainsThatAreIn(aTo).empty() && !DomainsThatAreIn(aFrom).empty()) {
    harms.emplace_back("every failure domain would be out");
  }
  const std::set<ServiceName> before = ServicesWithoutReplica(aFrom);
  for (const ServiceName& service : ServicesWithoutReplica(aTo)) {
    if (before.count(service) == 0) {
      harms.push_back("service " + service.second + " of index " + service.first +
                      " would have no replica in a failure domain that is in");
    }
  }
  return harms;
}

} // namespace skylarkwing::declaration
