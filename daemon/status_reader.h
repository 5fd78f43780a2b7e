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

/** Source data for the status of failure domains and services. */
struct StatusSources
{
  const declaration::Declaration& declaration;
  const std::vector<membership::Member>& members;
  const std::map<std::string, upstream::ReplicaStatus>& statuses;
};

/** @return the failure domains with their VMs and upstreams. */
std::vector<console::FailureDomainStatus>
ReadFailureDomains(const StatusSources& aSources);

/** @return the services of an index, with their shards of the snapshot that queries would use. */
std::vector<console::ServiceStatus>
ReadServices(const StatusSources& aSources,
             const declaration::IndexDeclaration& aIndex,
             const std::shared_ptr<const query::IndexView>& aView);

/** @return the change history for the screens, newest first. */
std::vector<console::ChangeStatus>
ReadHistory(const std::vector<declaration::ChangeRecord>& aHistory);

} // namespace skylarkwing::daemon
