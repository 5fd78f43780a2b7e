#pragma once

#include "query/index_view.h"
#include "upstream/replica_status.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace skylarkwing::daemon {

/**
 * The latest status of each replica, arranged by index for the query engine.
 *
 * A view is built on the first read after a change, and shared by all queries until the next
 * change. Not thread-safe: one instance belongs to one event loop.
 */
class IndexViewCache
{
public:
  /** Stores a status; replaces the previous one of the replica, even from another owner. */
  void Update(upstream::ReplicaStatus aStatus);

  /** Removes the statuses from an owner that is gone. */
  void ForgetOwner(const std::string& aVm);

  /** @return the view of an index, null if none of its replicas is known. */
  std::shared_ptr<const query::IndexView> View(const std::string& aIndex) const;

  /** @return the VM that last claimed ownership of a replica, empty if none has. */
  std::string OwnerOf(const std::string& aReplica) const;

  /** @return all statuses, by replica. */
  const std::map<std::string, upstream::ReplicaStatus>& Statuses() const { return mStatuses; }

private:
  std::map<std::string, upstream::ReplicaStatus> mStatuses;
  mutable std::unordered_map<std::string, std::shared_ptr<const query::IndexView>> mViews;
};

} // namespace skylarkwing::daemon
