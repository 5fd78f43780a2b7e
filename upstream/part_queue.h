#pragma once

#include "core/timer_service.h"
#include "upstream/part.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::upstream {

/** A part at its replica's owner, from its arrival to its answer. */
struct PendingPart
{
  PartRequest request;
  PartCallback callback;
  /** How often it was queued again because its connection had closed before it was sent. */
  std::uint32_t requeues = 0;
  /** The sender cancelled it while it ran. */
  bool isCancelled = false;
};

/** A part that is shared by the queue, its connection's task and the list of all parts. */
using PendingPartPtr = std::shared_ptr<PendingPart>;

/** The queue of one replica: bounded, ordered by priority, then by deadline. */
class PartQueue
{
public:
  /** @return the number of queued parts. */
  std::size_t Size() const { return mParts.size(); }

  /** @return whether the queue is empty. */
  bool IsEmpty() const { return mParts.empty(); }

  /** @return how many parts would run before a part of that priority and deadline. */
  std::size_t CountAhead(const PartRequest& aRequest) const;

  /** Adds a part; the caller checks the bound. */
  void Push(PendingPartPtr aPart);

  /** Removes the first part; the queue must not be empty. */
  PendingPartPtr Pop();

  /** Removes the last part if it is less important than the priority, else nothing. */
  PendingPartPtr EvictBelow(std::uint32_t aPriority);

  /** Removes a part by its id; nothing when it is not queued. */
  PendingPartPtr Remove(const std::string& aPartId);

  /** Removes every part. */
  std::vector<PendingPartPtr> TakeAll();

  /**
   * Removes the parts that can't be answered by their deadline.
   *
   * @param aNow the present time.
   * @param aRunTime expected time of one part on the replica.
   * @param aParallel parts that run at a time, at least 1.
   */
  std::vector<PendingPartPtr> TakeTooLate(core::TimePoint aNow,
                                          core::Duration aRunTime,
                                          std::uint32_t aParallel);

  /** @return the earliest deadline of a queued part, or nothing. */
  std::optional<core::TimePoint> EarliestDeadline() const;

private:
  struct Key
  {
    std::uint32_t priority;
    core::TimePoint deadline;
    std::uint64_t order;

    auto operator<=>(const Key&) const = default;
  };

  std::map<Key, PendingPartPtr> mParts;
  std::uint64_t mNextOrder = 0;
};

} // namespace skylarkwing::upstream
