#include "upstream/replica_directory.h"

#include <functional>

namespace skylarkwing::upstream {

namespace {

bool
TakesWork(const ReplicaFact& aFact)
{
  return aFact.state != ReplicaState::Draining && aFact.state != ReplicaState::Out &&
         aFact.state != ReplicaState::Gone;
}

/** @return whether both facts give the replica the same place in the maps. */
bool
HasSamePlace(const ReplicaFact& aLeft, const ReplicaFact& aRight)
{
  return aLeft.index == aRight.index && TakesWork(aLeft) == TakesWork(aRight) &&
         aLeft.holdings == aRight.holdings;
}

SnapshotMap&
MapOf(std::map<std::uint64_t, SnapshotMap, std::greater<>>& aMaps, const SnapshotHolding& aHolding)
{
  SnapshotMap& map = aMaps[aHolding.snapshot];
  map.snapshot = aHolding.snapshot;
  if (map.shardCount < aHolding.shardCount) {
    map.shardCount = aHolding.shardCount;
    map.replicasOfShard.resize(map.shardCount);
  }
  return map;
}

void
AddHolding(SnapshotMap& aMap, const SnapshotHolding& aHolding, const ReplicaFactPtr& aFact)
{
  for (const std::uint32_t shard : aHolding.shards) {
    if (shard >= aMap.shardCount) {
      continue;
    }
    std::vector<ReplicaFactPtr>& replicas = aMap.replicasOfShard[shard];
    if (replicas.empty()) {
      ++aMap.coveredShards;
    }
    replicas.push_back(aFact);
  }
}

} // namespace

const SnapshotMap*
IndexMap::Find(std::uint64_t aSnapshot) const
{
  for (const SnapshotMap& map : snapshots) {
    if (map.snapshot == aSnapshot) {
      return &map;
    }
  }
  return nullptr;
}

void
ReplicaDirectory::Update(ReplicaFact aFact)
{
  std::shared_ptr<ReplicaFact>& slot = mFacts[aFact.replica];
  if (slot && HasSamePlace(*slot, aFact)) {
    *slot = std::move(aFact);
    return;
  }
  if (slot) {
    mMaps.erase(slot->index);
  }
  mMaps.erase(aFact.index);
  slot = std::make_shared<ReplicaFact>(std::move(aFact));
}

void
ReplicaDirectory::ForgetOwner(const std::string& aVm)
{
  std::erase_if(mFacts, [this, &aVm](const auto& aItem) {
    if (aItem.second->owner != aVm) {
      return false;
    }
    mMaps.erase(aItem.second->index);
    return true;
  });
}

void
ReplicaDirectory::ForgetReplica(const std::string& aReplica)
{
  const auto it = mFacts.find(aReplica);
  if (it == mFacts.end()) {
    return;
  }
  mMaps.erase(it->second->index);
  mFacts.erase(it);
}

IndexMapPtr
ReplicaDirectory::Map(const std::string& aIndex) const
{
  IndexMapPtr& map = mMaps[aIndex];
  if (!map) {
    map = Build(aIndex);
  }
  return map;
}

ReplicaFactPtr
ReplicaDirectory::Find(const std::string& aReplica) const
{
  const auto it = mFacts.find(aReplica);
  return it == mFacts.end() ? nullptr : it->second;
}

std::vector<ReplicaFact>
ReplicaDirectory::Facts() const
{
  std::vector<ReplicaFact> facts;
  for (const auto& [name, fact] : mFacts) {
    facts.push_back(*fact);
  }
  return facts;
}

IndexMapPtr
ReplicaDirectory::Build(const std::string& aIndex) const
{
  std::map<std::uint64_t, SnapshotMap, std::greater<>> maps;
  for (const auto& [name, fact] : mFacts) {
    if (fact->index != aIndex) {
      continue;
    }
    for (const SnapshotHolding& holding : fact->holdings) {
      // A replica that takes no work still tells how many shards the snapshot has.
      SnapshotMap& map = MapOf(maps, holding);
      if (TakesWork(*fact)) {
        AddHolding(map, holding, fact);
      }
    }
  }
  auto result = std::make_shared<IndexMap>();
  result->index = aIndex;
  for (auto& [snapshot, map] : maps) {
    result->snapshots.push_back(std::move(map));
  }
  return result;
}

} // namespace skylarkwing::upstream
