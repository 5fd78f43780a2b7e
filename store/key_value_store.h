#pragma once

#include "core/task.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::store {

/** Result of a call to a key-value store. */
enum class StoreStatus
{
  Done,
  /** Certainly not done: the call was refused or no connection was made. */
  Refused,
  /** No answer arrived; a write may have been done or may still be done. */
  OutcomeUnknown,
  /** The history from the requested revision of a watch is no longer kept. */
  Compacted,
  /** The key or lease doesn't exist, or a condition of a write doesn't hold. */
  Absent,
  /** The answer could not be decoded. */
  Malformed,
};

/** @return the name of a status, for logs and metric labels. */
std::string_view
NameOf(StoreStatus aStatus);

/**
 * A point in the history of a store. A store that comes back from an older copy starts a new era
 * and assigns revisions again, so that revisions compare only within one era.
 */
struct StorePosition
{
  std::uint64_t era = 0;
  std::uint64_t revision = 0;

  auto operator<=>(const StorePosition&) const = default;
};

/** The value of one key, or its deletion. */
struct KeyItem
{
  std::string key;
  std::string value;
  /** Revision of the store at the last change of this key. */
  std::uint64_t revision = 0;
  bool isDeleted = false;
};

/** Result of a read or a watch. */
struct KeyListResult
{
  StoreStatus status = StoreStatus::OutcomeUnknown;
  std::vector<KeyItem> items;
  /** Number of items that could not be decoded. */
  std::size_t unreadable = 0;
  /** Whether a read has ended before its last page; keys that are not listed may then exist. */
  bool isPartial = false;
  StorePosition position;
};

/** Consistency of a read. */
enum class ReadConsistency
{
  /** Includes every write that was acknowledged before the read. */
  Linearizable,
  /** May be seconds old; costs the store a fraction of a linearizable read. */
  Serializable,
};

/** Result of requesting a lease. */
struct LeaseGrant
{
  StoreStatus status = StoreStatus::OutcomeUnknown;
  std::uint64_t lease = 0;
  core::Duration lifetime{};
};

/** A key-value service with compare-and-swap, leases and watches. */
class KeyValueStore
{
public:
  KeyValueStore() = default;
  KeyValueStore(const KeyValueStore&) = delete;
  KeyValueStore& operator=(const KeyValueStore&) = delete;
  virtual ~KeyValueStore() = default;

  /** Reads all keys with a prefix. A watch from the result's position misses no change. */
  virtual core::Task<KeyListResult> ReadAll(std::string aPrefix, ReadConsistency aConsistency) = 0;

  /** Waits for changes of keys with a prefix after a position; no items when the wait ended. */
  virtual core::Task<KeyListResult> Watch(std::string aPrefix,
                                          StorePosition aAfter,
                                          core::Duration aWait) = 0;

  /** Writes one key, bound to a lease. */
  virtual core::Task<StoreStatus> Put(std::string aKey,
                                      std::string aValue,
                                      std::uint64_t aLease) = 0;

  /** Requests a lease. */
  virtual core::Task<LeaseGrant> GrantLease(core::Duration aLifetime) = 0;

  /** Renews a lease; Absent when it has ended. */
  virtual core::Task<StoreStatus> KeepLeaseAlive(std::uint64_t aLease) = 0;

  /** Ends a lease and deletes its keys. */
  virtual core::Task<StoreStatus> RevokeLease(std::uint64_t aLease) = 0;
};

} // namespace skylarkwing::store
