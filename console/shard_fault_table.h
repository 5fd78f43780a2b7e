#pragma once

#include "core/timer_service.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace skylarkwing::console {

/** A shard in a failure domain, to which bad answers are traced. */
struct ShardPlace
{
  std::string index;
  std::uint32_t shard = 0;
  /** Empty when no replica of the shard was left to blame. */
  std::string failureDomain;

  auto operator<=>(const ShardPlace& aOther) const = default;
};

/** What a shard did to an answer. */
enum class ShardFaultKind
{
  /** The answer lacked it. */
  Missing,
  /** The answer was late because of it. */
  Slow,
};

/** One part of an answer that missed the objective. */
struct ShardFault
{
  ShardPlace place;
  ShardFaultKind kind = ShardFaultKind::Missing;
};

/** How often one shard spoilt answers. */
struct ShardFaultCount
{
  ShardPlace place;
  std::uint64_t missing = 0;
  std::uint64_t slow = 0;
};

/**
 * Counts the shards that spoil most answers of the last hours, in bounded space: when it is full,
 * the rarest entry makes room and its count goes to the newcomer (the space-saving method), so that
 * a frequent shard is never lost.
 */
class ShardFaultTable
{
public:
  /** How many shards are told apart in each half of the time that is kept. */
  static constexpr std::size_t kMaximumPlaces = 64;
  /** Counts are kept for this long, and at most twice as long. */
  static constexpr core::Duration kKeepTime = std::chrono::hours{ 3 };

  /** Counts one fault. */
  void Add(core::TimePoint aNow, const ShardFault& aFault);

  /** @return the shards that spoilt answers, worst first. */
  std::vector<ShardFaultCount> Worst(core::TimePoint aNow);

private:
  struct Counts
  {
    std::uint64_t missing = 0;
    std::uint64_t slow = 0;
    std::uint64_t Total() const { return missing + slow; }
  };
  using Table = std::map<ShardPlace, Counts>;

  Table mPresent;
  Table mPrevious;
  core::TimePoint mPresentSince{};

  void Rotate(core::TimePoint aNow);
  Counts& CountsOf(const ShardPlace& aPlace);
};

/** Sorts shard faults, worst first, and cuts the list. */
void
KeepWorst(std::vector<ShardFaultCount>& aFaults, std::size_t aBound);

} // namespace skylarkwing::console
