#include "membership/ownership.h"

#include "membership/hash.h"

#include <algorithm>
#include <cstdint>
#include <set>
#include <tuple>
#include <unordered_map>

namespace skylarkwing::membership {

namespace {

struct Candidate
{
  const std::string* vm = nullptr;
  std::uint64_t hash = 0;
  bool isOut = false;
};

/** How many replicas of the current service each member already owns. */
using UseCounts = std::unordered_map<const Candidate*, std::uint32_t>;

class Assignment
{
public:
  Assignment(const declaration::Declaration& aDeclaration, const std::vector<Member>& aMembers)
  {
    std::set<std::string> outDomains;
    for (const auto& domain : aDeclaration.failureDomains) {
      if (domain.out) {
        outDomains.insert(domain.name);
      }
    }
    mAll.reserve(aMembers.size());
    for (const auto& member : aMembers) {
      const bool isOut = outDomains.count(member.failureDomain) > 0;
      mAll.push_back({ &member.vm, HashOf(member.vm), isOut });
      mByDomain[member.failureDomain].push_back(&mAll.back());
    }
    for (const auto& candidate : mAll) {
      if (!candidate.isOut) {
        mInService.push_back(&candidate);
      }
    }
  }

  void AssignService(const declaration::ServiceDeclaration& aService, OwnerMap& aOwners) const
  {
    std::vector<const declaration::ReplicaDeclaration*> replicas;
    for (const auto& replica : aService.replicas) {
      replicas.push_back(&replica);
    }
    // Owners must not depend on the order of lines in the document.
    std::sort(replicas.begin(), replicas.end(), [](const auto* aFirst, const auto* aSecond) {
      return aFirst->name < aSecond->name;
    });
    UseCounts uses;
    for (const auto* replica : replicas) {
      const Candidate* owner = Choose(*replica, uses);
      if (owner == nullptr) {
        continue;
      }
      ++uses[owner];
      aOwners[replica->name] = *owner->vm;
    }
  }

private:
  using Candidates = std::vector<const Candidate*>;

  const Candidate* Choose(const declaration::ReplicaDeclaration& aReplica,
                          const UseCounts& aUses) const
  {
    const std::uint64_t hash = HashOf(aReplica.name);
    const Candidate* best = nullptr;
    const auto local = mByDomain.find(aReplica.failureDomain);
    if (local != mByDomain.end()) {
      best = Best(local->second, hash, aUses);
    }
    if (best == nullptr) {
      return Best(mInService, hash, aUses);
    }
    // A single owner of all replicas would make the whole service unavailable when it fails.
    const bool wouldOwnAll = aUses.size() == 1 && aUses.count(best) > 0;
    if (!wouldOwnAll) {
      return best;
    }
    const Candidate* other = Best(mInService, hash, aUses);
    return other != nullptr ? other : best;
  }

  static const Candidate* Best(const Candidates& aCandidates,
                               std::uint64_t aReplicaHash,
                               const UseCounts& aUses)
  {
    const Candidate* best = nullptr;
    std::pair<std::uint32_t, std::uint64_t> bestRank;
    for (const auto* candidate : aCandidates) {
      const auto use = aUses.find(candidate);
      const std::uint32_t uses = use != aUses.end() ? use->second : 0;
      const std::pair rank{ uses, CombineHashes(aReplicaHash, candidate->hash) };
      if (best == nullptr || rank < bestRank) {
        best = candidate;
        bestRank = rank;
      }
    }
    return best;
  }

  std::vector<Candidate> mAll;
  Candidates mInService;
  std::unordered_map<std::string, Candidates> mByDomain;
};

} // namespace

OwnerMap
AssignOwners(const declaration::Declaration& aDeclaration, const std::vector<Member>& aMembers)
{
  const Assignment assignment(aDeclaration, aMembers);
  OwnerMap owners;
  for (const auto& index : aDeclaration.indexes) {
    for (const auto& service : index.services) {
      assignment.AssignService(service, owners);
    }
  }
  return owners;
}

} // namespace skylarkwing::membership
