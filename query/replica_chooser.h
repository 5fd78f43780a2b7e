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

/** Purpose of an attempt. */
enum class AttemptKind
{
  First,
  Retry,
  Hedge,
};

/** Returns the one-way network latency to a VM, zero when unknown. */
using OneWayLatency = std::function<core::Duration(const std::string& aVm)>;

/**
 * Chooses the replica of a shard with the power of two choices: of two random candidates, the one
 * with the lower cost, based on its load relative to its allowance and its recent latency.
 *
 * Counts the outstanding parts of this daemon, because replica statuses arrive with a
 * delay.
 */
class ReplicaChooser
{
public:
  /**
   * @param aFailureDomain of this daemon; preferred among replicas of similar cost.
   * @param aOneWayLatency may be empty.
   */
  ReplicaChooser(core::RandomSource& aRandom,
                 std::string aFailureDomain,
                 OneWayLatency aOneWayLatency);

  /**
   * Chooses among the holders of a shard.
   *
   * @param aView the index.
   * @param aHolders positions of the holders in IndexView::replicas.
   * @param aExcluded replicas that must not be chosen.
   * @param aKind purpose of the attempt.
   * @return the replica, or nullptr when none is eligible. Replicas that are draining, out or gone
   *         are not eligible, nor are replicas without free capacity for a hedge.
   */
  const IndexReplica* Choose(const IndexView& aView,
                             const std::vector<std::size_t>& aHolders,
                             const std::set<std::string>& aExcluded,
                             AttemptKind aKind);

  /** Records that a part was sent to a replica. */
  void RecordSent(const std::string& aReplica);

  /** Records that a part ended. */
  void RecordEnded(const std::string& aReplica);

  /** @return the number of unanswered parts that this daemon sent to a replica. */
  std::uint32_t Outstanding(const std::string& aReplica) const;

private:
  /** Preference class of a replica, best first. */
  enum class Tier
  {
    Preferred,
    Reserve,
    LastResort,
    Never,
  };

  Tier TierOf(const IndexReplica& aReplica, AttemptKind aKind) const;
  bool HasCapacity(const IndexReplica& aReplica) const;
  bool HasHedgeCapacity(const IndexReplica& aReplica) const;
  double Cost(const IndexReplica& aReplica) const;
  const IndexReplica* ChooseCheaper(const IndexReplica* aLeft, const IndexReplica* aRight) const;
  const IndexReplica* ChooseOfTwo(const std::vector<const IndexReplica*>& aCandidates);

  core::RandomSource& mRandom;
  std::string mFailureDomain;
  OneWayLatency mOneWayLatency;
  std::unordered_map<std::string, std::uint32_t> mOutstanding;
};

} // namespace skylarkwing::query
