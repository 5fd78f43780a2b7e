#include "daemon/owned_replicas.h"

#include <utility>

namespace skylarkwing::daemon {

std::vector<upstream::OwnedReplica>
ListOwnedReplicas(const declaration::Declaration& aDeclaration,
                  const std::function<bool(const std::string& aReplica)>& aIsOwned)
{
  std::vector<upstream::OwnedReplica> owned;
  for (const auto& index : aDeclaration.indexes) {
    for (const auto& service : index.services) {
      for (const auto& replica : service.replicas) {
        if (!aIsOwned(replica.name)) {
          continue;
        }
        upstream::OwnedReplica entry;
        entry.declaration = replica;
        entry.index = index.name;
        entry.service = service.name;
        entry.limits = index.limits;
        entry.isDomainOut = IsDomainOut(aDeclaration, replica.failureDomain);
        owned.push_back(std::move(entry));
      }
    }
  }
  return owned;
}

bool
IsDomainOut(const declaration::Declaration& aDeclaration, const std::string& aFailureDomain)
{
  for (const auto& domain : aDeclaration.failureDomains) {
    if (domain.name == aFailureDomain) {
      return domain.out;
    }
  }
  return false;
}

} // namespace skylarkwing::daemon
