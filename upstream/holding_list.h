#pragma once

#include "core/timer_service.h"
#include "upstream/replica_status.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace skylarkwing::upstream {

/** The snapshots that a replica holds. Its answers override its load endpoint, which lags. */
class HoldingList
{
public:
  /** @return the current holdings. */
  const std::vector<SnapshotHolding>& Holdings() const { return mHoldings; }

  /**
   * Sets the holdings that the load endpoint reports, without those that an answer denied recently.
   *
   * @return whether the current holdings changed.
   */
  bool Update(std::vector<SnapshotHolding> aHoldings, core::TimePoint aNow);

  /** Removes a snapshot for a few seconds, because an answer denied that the replica holds it. */
  void Deny(std::uint64_t aSnapshot, core::TimePoint aNow);

  /** @return whether an answer recently denied the snapshot. */
  bool IsDenied(std::uint64_t aSnapshot, core::TimePoint aNow) const;

  /** Clears the denials, for a new process at the address. */
  void ForgetDenials() { mDeniedUntil.clear(); }

private:
  std::vector<SnapshotHolding> mHoldings;
  std::unordered_map<std::uint64_t, core::TimePoint> mDeniedUntil;
};

} // namespace skylarkwing::upstream
