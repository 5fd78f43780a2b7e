#pragma once

#include "core/random_source.h"
#include "core/timer_service.h"
#include "query/index_view.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace skylarkwing::query {

/** What an attempt is for; an extra attempt is pickier about its replica. */
enum class AttemptKind
{
  First,
  Retry,
  Hedge,
};

/** Tells one-way time to a VM, zero when unknown. */
using OneWayLatency = std::function<core::Duration(const std::string& aVm)>;

/**
 * Chooses the replica of a shard that is likely to answer soonest: of two drawn at random, the one
 * with less work for its allowance and shorter recent latency.
 *
 * It counts the parts that this asker itself has on the way, because facts about replicas lag.
 */
class ReplicaChooser
{
public:
  /**
   * @param aFailureDomain the asker's own, preferred when replicas are about even.
   * @param aOneWayLatency may be empty.
   */
  ReplicaChooser(core::RandomSource& aRandom,
                 std::string aFailureDomain,
                 OneWayLatency aOneWayLatency);

  /**
   * Chooses among the holders of a shard.
   *
   * @param aView the index.
   * @param aHolders positions of the holders in the view.
   * @param aTried replicas that must not be chosen.
   * @param aKind what the attempt is for.
   * @return the replica, or nullptr when none is left. Replicas that are draining, out or gone
   *         are never chosen, and for a hedge none without room.
   */
  const IndexReplica* Choose(const IndexView& aView,
                             const std::vector<std::size_t>& aHolders,
                             const std::set<std::string>& aTried,
                             AttemptKind aKind);

  /** Counts a part on its way to a replica. */
  void RecordSent(const std::string& aReplica);

  /** Counts a part that is over. */
  void RecordEnded(const std::string& aReplica);

  /** @return how many parts this asker has on the way to a replica. */
  std::uint32_t Outstanding(const std::string& aReplica) const;

private:
  /** How willingly a replica is chosen; lower comes first. */
  enum class Tier
  {
    Preferred,
    Reserve,
    LastResort,
    Never,
  };

  Tier TierOf(const IndexReplica& aReplica, AttemptKind aKind) const;
  bool HasRoom(const IndexReplica& aReplica) const;
  bool HasHedgeRoom(const IndexReplica& aReplica) const;
  double CostOf(const IndexReplica& aReplica) const;
  const IndexReplica* ChooseCheaper(const IndexReplica* aLeft, const IndexReplica* aRight) const;
  const IndexReplica* ChooseOfTwo(const std::vector<const IndexReplica*>& aCandidates);

  core::RandomSource& mRandom;
  std::string mFailureDomain;
  OneWayLatency mOneWayLatency;
  std::unordered_map<std::string, std::uint32_t> mOutstanding;
};

} // namespace skylarkwing::query
