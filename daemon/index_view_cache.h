#pragma once

#include "query/index_view.h"
#include "upstream/replica_fact.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace skylarkwing::daemon {

/**
 * The latest fact about each replica, arranged by index for the query engine.
 *
 * A view is built on the first read after a change, and shared by all queries until the next
 * change. Not thread-safe: one instance belongs to one event loop.
 */
class IndexViewCache
{
public:
  /** Stores a fact; replaces the previous one of the replica, even from another owner. */
  void Update(upstream::ReplicaFact aFact);

  /** Removes the facts of an owner that is gone. */
  void ForgetOwner(const std::string& aVm);

  /** @return the view of an index, null if none of its replicas is known. */
  std::shared_ptr<const query::IndexView> View(const std::string& aIndex) const;

  /** @return the VM that last claimed ownership of a replica, empty if none has. */
  std::string OwnerOf(const std::string& aReplica) const;

  /** @return all facts, by replica. */
  const std::map<std::string, upstream::ReplicaFact>& Facts() const { return mFacts; }

private:
  std::map<std::string, upstream::ReplicaFact> mFacts;
  mutable std::unordered_map<std::string, std::shared_ptr<const query::IndexView>> mViews;
};

} // namespace skylarkwing::daemon
