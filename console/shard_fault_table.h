#pragma once

#include "core/timer_service.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace skylarkwing::console {

/** A shard in a failure domain, as the cause of late or incomplete answers. */
struct ShardLocation
{
  std::string index;
  std::uint32_t shard = 0;
  /** Empty when the shard had no replica left. */
  std::string failureDomain;

  auto operator<=>(const ShardLocation& aOther) const = default;
};

/** How a shard degraded an answer. */
enum class ShardFaultKind
{
  /** The answer lacked it. */
  Missing,
  /** The answer was late because of it. */
  Slow,
};

/** A shard that made an answer miss its objective. */
struct ShardFault
{
  ShardLocation place;
  ShardFaultKind kind = ShardFaultKind::Missing;
};

/** How often one shard degraded answers. */
struct ShardFaultCount
{
  ShardLocation place;
  std::uint64_t missing = 0;
  std::uint64_t slow = 0;
};

/**
 * Counts the shards that degrade the most answers of the last hours, in bounded memory. When the
 * table is full, the entry with the lowest count is replaced and the new entry inherits its count
 * (the space-saving algorithm), so that a frequent shard is never lost.
 */
class ShardFaultTable
{
public:
  /** Maximum number of shards counted in each of the two retention intervals. */
  static constexpr std::size_t kMaxLocations = 64;
  /** Counts are retained for at least this long and at most twice as long. */
  static constexpr core::Duration kRetentionTime = std::chrono::hours{ 3 };

  /** Counts one fault. */
  void Add(core::TimePoint aNow, const ShardFault& aFault);

  /** @return the shards that degraded answers, worst first. */
  std::vector<ShardFaultCount> Worst(core::TimePoint aNow);

private:
  struct Counts
  {
    std::uint64_t missing = 0;
    std::uint64_t slow = 0;
    std::uint64_t Total() const { return missing + slow; }
  };
  using Table = std::map<ShardLocation, Counts>;

  Table mCurrent;
  Table mPrevious;
  core::TimePoint mCurrentSince{};

  void Rotate(core::TimePoint aNow);
  Counts& CountsOf(const ShardLocation& aLocation);
};

/** Sorts shard faults, worst first, and truncates the list. */
void
KeepWorstFaults(std::vector<ShardFaultCount>& aFaults, std::size_t aBound);

} // namespace skylarkwing::console
