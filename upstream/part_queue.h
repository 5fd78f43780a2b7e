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

/** A part on its way through an owner, from its arrival to its answer. */
struct PendingPart
{
  PartRequest request;
  PartCallback callback;
  /** How often it went back to the queue because its connection had closed before it was sent. */
  std::uint32_t requeues = 0;
  /** The asker gave it up while it ran. */
  bool isCancelled = false;
};

/** A part that is shared between the queue, its connection's task and the list of all parts. */
using PendingPartPtr = std::shared_ptr<PendingPart>;

/**
 * The parts that wait for one replica: bounded, the most important first, then the one whose
 * deadline comes first.
 */
class PartQueue
{
public:
  /** @return how many parts wait. */
  std::size_t Size() const { return mParts.size(); }

  /** @return whether none waits. */
  bool IsEmpty() const { return mParts.empty(); }

  /** @return how many parts would run before a part of that priority and deadline. */
  std::size_t CountAhead(const PartRequest& aRequest) const;

  /** Adds a part; the bound is the caller's to keep. */
  void Push(PendingPartPtr aPart);

  /** Takes the first part out; the queue must not be empty. */
  PendingPartPtr Pop();

  /** Takes the last part out if it is less important than the priority, else nothing. */
  PendingPartPtr EvictBelow(std::uint32_t aPriority);

  /** Takes a part out by its id, nothing when it does not wait here. */
  PendingPartPtr Remove(const std::string& aPartId);

  /** Takes every part out. */
  std::vector<PendingPartPtr> TakeAll();

  /** Takes out the parts that can't be answered by their deadline.
   *
   * @param aNow the present time.
   * @param aRunTime expected time of one part on the replica.
   * @param aParallel parts that run at a time, at least 1.
   */
  std::vector<PendingPartPtr> TakeTooLate(core::TimePoint aNow,
                                          core::Duration aRunTime,
                                          std::uint32_t aParallel);

  /** @return the earliest deadline of a waiting part, or nothing. */
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
