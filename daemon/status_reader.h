#pragma once

#include "console/cluster_status.h"
#include "declaration/declaration.h"
#include "membership/member.h"
#include "query/index_view.h"
#include "upstream/replica_status.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace skylarkwing::daemon {

/** Whatever the failure domains and services on the screens are made from. */
struct StatusSources
{
  const declaration::Declaration& declaration;
  const std::vector<membership::Member>& members;
  const std::map<std::string, upstream::ReplicaStatus>& facts;
};

/** @return the failure domains with their VMs and upstreams. */
std::vector<console::FailureDomainStatus>
ReadFailureDomains(const StatusSources& aSources);

/** @return the services of one index, each with its shards of the snapshot that queries choose. */
std::vector<console::ServiceStatus>
ReadServices(const StatusSources& aSources,
             const declaration::IndexDeclaration& aIndex,
             const std::shared_ptr<const query::IndexView>& aView);

/** @return the changes for the screens, newest first. */
std::vector<console::ChangeStatus>
ReadHistory(const std::vector<declaration::ChangeRecord>& aHistory);

} // namespace skylarkwing::daemon
