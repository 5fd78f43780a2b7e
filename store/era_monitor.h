#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

namespace skylarkwing::store {

/**
 * Tracks the era that the store's answers name, for all calls of a process.
 *
 * One call that sees a new era is enough to replace leases and to end watches that still wait for
 * changes of the old one.
 */
class EraMonitor
{
public:
  /** Called with the previous and the new era when the store has come back from an older copy. */
  using RestoreFunction = std::function<void(std::uint64_t aPrevious, std::uint64_t aEra)>;

  explicit EraMonitor(RestoreFunction aOnRestore)
    : mOnRestore(std::move(aOnRestore))
  {
  }

  /** Records the era of an answer. @return false when the answer is older than another one. */
  bool Observe(std::uint64_t aEra)
  {
    if (mEra && aEra < *mEra) {
      return false;
    }
    const std::optional<std::uint64_t> previous = std::exchange(mEra, aEra);
    if (previous && *previous != aEra) {
      mOnRestore(*previous, aEra);
    }
    return true;
  }

private:
  RestoreFunction mOnRestore;
  std::optional<std::uint64_t> mEra;
};

} // namespace skylarkwing::store
