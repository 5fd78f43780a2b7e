#pragma once

#include "core/timer_service.h"
#include "upstream/replica_status.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace skylarkwing::upstream {

/** The snapshots that a replica holds, where its answers outrank its lagging load endpoint. */
class HoldingList
{
public:
  /** @return the holdings in force. */
  const std::vector<SnapshotHolding>& Holdings() const { return mHoldings; }

  /**
   * Takes in what the load endpoint says.
   *
   * @return whether the holdings in force changed.
   */
  bool Update(std::vector<SnapshotHolding> aHoldings, core::TimePoint aNow);

  /** An answer denied that the replica holds the snapshot, so it is left out for a while. */
  void Deny(std::uint64_t aSnapshot, core::TimePoint aNow);

  /** @return whether an answer lately denied the snapshot. */
  bool IsDenied(std::uint64_t aSnapshot, core::TimePoint aNow) const;

  /** Forgets denials: another process answers. */
  void ForgetDenials() { mDeniedUntil.clear(); }

private:
  std::vector<SnapshotHolding> mHoldings;
  std::unordered_map<std::uint64_t, core::TimePoint> mDeniedUntil;
};

} // namespace skylarkwing::upstream
