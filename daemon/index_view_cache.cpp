#include "daemon/index_view_cache.h"

#include <utility>
#include <vector>

namespace skylarkwing::daemon {

void
IndexViewCache::Update(upstream::ReplicaStatus aFact)
{
  mViews.erase(aFact.index);
  const std::string replica = aFact.replica;
  mFacts.insert_or_assign(replica, std::move(aFact));
}

void
IndexViewCache::ForgetOwner(const std::string& aVm)
{
  for (auto it = mFacts.begin(); it != mFacts.end();) {
    if (it->second.owner != aVm) {
      ++it;
      continue;
    }
    mViews.erase(it->second.index);
    it = mFacts.erase(it);
  }
}

std::shared_ptr<const query::IndexView>
IndexViewCache::View(const std::string& aIndex) const
{
  const auto it = mViews.find(aIndex);
  if (it != mViews.end()) {
    return it->second;
  }
  std::vector<upstream::ReplicaStatus> facts;
  for (const auto& [replica, fact] : mFacts) {
    if (fact.index == aIndex) {
      facts.push_back(fact);
    }
  }
  if (facts.empty()) {
    return nullptr;
  }
  auto view = std::make_shared<const query::IndexView>(query::BuildIndexView(facts, aIndex));
  mViews.emplace(aIndex, view);
  return view;
}

std::string
IndexViewCache::OwnerOf(const std::string& aReplica) const
{
  const auto it = mFacts.find(aReplica);
  return it == mFacts.end() ? std::string() : it->second.owner;
}

} // namespace skylarkwing::daemon
