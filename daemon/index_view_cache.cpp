#include "daemon/index_view_cache.h"

#include <utility>
#include <vector>

namespace skylarkwing::daemon {

void
IndexViewCache::Update(upstream::ReplicaStatus aStatus)
{
  mViews.erase(aStatus.index);
  const std::string replica = aStatus.replica;
  mStatuses.insert_or_assign(replica, std::move(aStatus));
}

void
IndexViewCache::ForgetOwner(const std::string& aVm)
{
  for (auto it = mStatuses.begin(); it != mStatuses.end();) {
    if (it->second.owner != aVm) {
      ++it;
      continue;
    }
    mViews.erase(it->second.index);
    it = mStatuses.erase(it);
  }
}

std::shared_ptr<const query::IndexView>
IndexViewCache::View(const std::string& aIndex) const
{
  const auto it = mViews.find(aIndex);
  if (it != mViews.end()) {
    return it->second;
  }
  std::vector<upstream::ReplicaStatus> statuses;
  for (const auto& [replica, status] : mStatuses) {
    if (status.index == aIndex) {
      statuses.push_back(status);
    }
  }
  if (statuses.empty()) {
    return nullptr;
  }
  auto view = std::make_shared<const query::IndexView>(query::BuildIndexView(statuses, aIndex));
  mViews.emplace(aIndex, view);
  return view;
}

std::string
IndexViewCache::OwnerOf(const std::string& aReplica) const
{
  const auto it = mStatuses.find(aReplica);
  return it == mStatuses.end() ? std::string() : it->second.owner;
}

} // namespace skylarkwing::daemon
