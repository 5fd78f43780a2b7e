#pragma once

#include "core/timer_service.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace skylarkwing::query {

/**
 * The fingerprints that have lately run without crashing a replica, the least recently used ones
 * forgotten first.
 */
class SafeFingerprints
{
public:
  /** @param aCapacity most fingerprints to remember. */
  SafeFingerprints(core::TimerService& aTimers, std::size_t aCapacity, core::Duration aKeep);

  /** @return whether it ran safely lately; this also counts as a use. */
  bool Contains(std::uint64_t aFingerprint);

  /** Remembers a fingerprint that a replica has answered. */
  void Add(std::uint64_t aFingerprint);

  /** Forgets a fingerprint that is suspected of a crash. */
  void Remove(std::uint64_t aFingerprint);

  /** @return how many are remembered. */
  std::size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    std::uint64_t fingerprint = 0;
    core::TimePoint until;
  };

  core::TimerService& mTimers;
  std::size_t mCapacity;
  core::Duration mKeep;
  /** Most recently used first. */
  std::list<Entry> mOrder;
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> mEntries;
};

} // namespace skylarkwing::query
