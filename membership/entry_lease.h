#pragma once

#include "core/random_source.h"
#include "store/key_value_store.h"

#include <memory>
#include <string>

namespace skylarkwing::membership {

/** How a daemon keeps its entry in the store. */
struct EntryLeaseSettings
{
  std::string key;
  std::string value;
  /** A daemon that dies is forgotten after this; callers skip addresses that fail them meanwhile.
   */
  core::Duration ttl = std::chrono::milliseconds{ 4000 };
  /** Three renewals fit into a ttl, so that two may be lost. */
  core::Duration renewalPeriod = std::chrono::milliseconds{ 1300 };
};

/** Keeps one key in the store under a lease for as long as the daemon is ready. */
class EntryLease : public std::enable_shared_from_this<EntryLease>
{
public:
  EntryLease(store::KeyValueStore& aStore,
             core::TimerService& aTimers,
             core::RandomSource& aRandom,
             EntryLeaseSettings aSettings);

  /** Writes the key, and writes it again whenever the lease has ended, until Revoke(). */
  core::Task<void> Run();

  /** Changes the value; it is written with the next renewal. */
  void SetValue(std::string aValue);

  /** Takes in that somebody else deleted or overwrote the key: it is written again. */
  void MarkMissing() { mIsWritten = false; }

  /** Deletes the key. */
  core::Task<void> Revoke();

private:
  store::KeyValueStore& mStore;
  core::TimerService& mTimers;
  core::RandomSource& mRandom;
  EntryLeaseSettings mSettings;
  std::uint64_t mLease = 0;
  bool mIsWritten = false;
  bool mIsRevoked = false;

  core::Task<void> Renew();
};

} // namespace skylarkwing::membership
