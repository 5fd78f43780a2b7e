#pragma once

#include "query/index_view.h"
#include "upstream/replica_status.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace skylarkwing::daemon {

/**
 * The newest fact about each replica, arranged by index for the query engine.
 *
 * A view is built when it is read after a change and shared by all queries until the next one.
 * Not thread-safe: one instance belongs to one event loop.
 */
class IndexViewCache
{
public:
  /** Takes a fact; it replaces the one before, from whichever owner. */
  void Update(upstream::ReplicaStatus aFact);

  /** Forgets what a daemon that is gone has said. */
  void ForgetOwner(const std::string& aVm);

  /** @return the view of an index, null when no replica of it is known. */
  std::shared_ptr<const query::IndexView> View(const std::string& aIndex) const;

  /** @return the VM that said to own a replica, empty when none did. */
  std::string OwnerOf(const std::string& aReplica) const;

  /** @return all facts by replica. */
  const std::map<std::string, upstream::ReplicaStatus>& Facts() const { return mFacts; }

private:
  std::map<std::string, upstream::ReplicaStatus> mFacts;
  mutable std::unordered_map<std::string, std::shared_ptr<const query::IndexView>> mViews;
};

} // namespace skylarkwing::daemon
