#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace skylarkwing::net {

/** What bytes of a MemoryBudget are used for. */
enum class MemoryUse
{
  /** Connections of clients, and requests while they are read and held. */
  Request,
  /** Answers, from the first byte that is read from a replica to the last one that is sent. */
  Answer,
};

/**
 * Limit on the memory that clients can make the process use.
 *
 * Requests and answers get up to three quarters of it each, so that a crowd that sends leaves a
 * quarter for the answers to requests that run, and a crowd that doesn't read leaves a quarter for
 * other requests. Not thread-safe: used on the event loop's thread only.
 */
class MemoryBudget
{
public:
  /** Closes a connection that can be given up for a use. @return false if there is none. */
  using ReclaimFunction = std::function<bool(MemoryUse)>;

  /** @param aTotalBytes limit on all uses together. */
  explicit MemoryBudget(std::size_t aTotalBytes);
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /** Adds a function that is called, if necessary several times, when the budget is used up. */
  void AddReclaimer(ReclaimFunction aReclaim) { mReclaimers.push_back(std::move(aReclaim)); }

  std::size_t TotalBytes() const { return mTotalBytes; }
  std::size_t UsedBytes() const { return mUsedBytes[0] + mUsedBytes[1]; }

  /** @return the number of answers that wait for memory. */
  std::size_t Waiting() const { return mWaiting; }

private:
  friend class MemoryReservation;
  friend class MemoryWait;

  std::size_t mTotalBytes;
  /** By MemoryUse. */
  std::array<std::size_t, 2> mUsedBytes{};
  std::vector<ReclaimFunction> mReclaimers;
  std::size_t mWaiting = 0;

  bool IsFree(std::size_t aBytes, MemoryUse aUse) const;
  /** Closes one connection. @return false if none can be given up. */
  bool Reclaim(MemoryUse aUse);
};

/** How many answers of one origin may wait for memory at once. */
struct MemoryWaitLimit
{
  std::size_t waiting = 0;
  std::size_t limit = 1;
};

/** The place of one answer among those that wait for memory. */
class MemoryWait
{
public:
  /**
   * @param aLimit limit of the answer's origin; null for the limit of the budget alone.
   */
  MemoryWait(MemoryBudget& aBudget, std::shared_ptr<MemoryWaitLimit> aLimit);
  MemoryWait(const MemoryWait&) = delete;
  MemoryWait& operator=(const MemoryWait&) = delete;
  ~MemoryWait();

  /** @return whether the answer may wait; otherwise enough others do. */
  bool IsAllowed() const { return mIsAllowed; }

private:
  MemoryBudget& mBudget;
  std::shared_ptr<MemoryWaitLimit> mLimit;
  bool mIsAllowed = false;
};

/** Bytes taken from a budget, which are returned on destruction. */
class MemoryReservation
{
public:
  /** @param aBudget null for no limit. */
  MemoryReservation(std::shared_ptr<MemoryBudget> aBudget, MemoryUse aUse);
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;
  ~MemoryReservation();

  /**
   * Changes the number of bytes; connections that can be given up are closed to make room.
   *
   * @return false, with the number unchanged, when there is no room.
   */
  bool Resize(std::size_t aBytes);

  /** Changes the number of bytes also without room, for bytes that exist already. */
  void ForceResize(std::size_t aBytes);

  std::size_t Bytes() const { return mBytes; }

private:
  std::shared_ptr<MemoryBudget> mBudget;
  MemoryUse mUse;
  std::size_t mBytes = 0;

  bool MakeRoom(std::size_t aBytes);
  void Set(std::size_t aBytes);
};

} // namespace skylarkwing::net
