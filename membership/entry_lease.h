#pragma once

#include "core/random_source.h"
#include "store/key_value_store.h"

#include <memory>
#include <string>

namespace skylarkwing::membership {

/** The store key that a daemon maintains, and the timing of its lease. */
struct EntryLeaseSettings
{
  std::string key;
  std::string value;
  /** The entry of a crashed daemon expires after this; until then callers skip failing addresses.
   */
  core::Duration ttl = std::chrono::milliseconds{ 4000 };
  /** Three renewals fit into the TTL, so that two may be lost. */
  core::Duration renewalPeriod = std::chrono::milliseconds{ 1300 };
};

/** Keeps a key in the store under a lease while the daemon is ready. */
class EntryLease : public std::enable_shared_from_this<EntryLease>
{
public:
  EntryLease(store::KeyValueStore& aStore,
             core::TimerService& aTimers,
             core::RandomSource& aRandom,
             EntryLeaseSettings aSettings);

  /** Writes the key and renews its lease until Revoke(); an expired lease is replaced. */
  core::Task<void> Run();

  /** Sets the value; it is written at the next renewal. */
  void SetValue(std::string aValue);

  /** Reports that the key was deleted or overwritten, so that the next renewal writes it again. */
  void MarkMissing() { mIsWritten = false; }

  /**
   * Reports that the store came back from an older copy: the lease may be gone, or its number given
   * to another daemon, so that the next renewal requests a new one and writes the key again.
   */
  void OnStoreRestored();

  /** Ends the lease, which deletes the key. */
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
