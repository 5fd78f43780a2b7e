#pragma once

#include "core/timer_service.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace skylarkwing::query {

/**
 * LRU cache of the fingerprints that recently ran without crashing a replica.
 */
class SafeFingerprints
{
public:
  /**
   * @param aCapacity maximum number of fingerprints.
   * @param aKeep lifetime of an entry.
   */
  SafeFingerprints(core::TimerService& aTimers, std::size_t aCapacity, core::Duration aKeep);

  /** @return whether a fingerprint ran safely; marks it as recently used. */
  bool Contains(std::uint64_t aFingerprint);

  /** Adds a fingerprint that a replica has answered. */
  void Add(std::uint64_t aFingerprint);

  /** Removes a fingerprint that is suspected of a crash. */
  void Remove(std::uint64_t aFingerprint);

  std::size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    std::uint64_t fingerprint = 0;
    core::TimePoint expiresAt;
  };

  core::TimerService& mTimers;
  std::size_t mCapacity;
  core::Duration mKeep;
  /** Most recently used first. */
  std::list<Entry> mOrder;
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> mEntries;
};

} // namespace skylarkwing::query
