#pragma once

#include "core/task.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::store {

/** How a call to a key-value store ended. */
enum class StoreStatus
{
  Done,
  /** Certainly not done: refused, or no connection. */
  Refused,
  /** No answer came; a write may have been done or may still be done. */
  OutcomeUnknown,
  /** The history that a watch asked for is gone. */
  Compacted,
  /** What was named doesn't exist, or a condition of a write doesn't hold. */
  Absent,
  /** The answer can't be read. */
  Malformed,
};

/** @return the name of a status, for logs and metric labels. */
std::string_view
NameOf(StoreStatus aStatus);

/** One key as it stands, or that it was deleted. */
struct KeyItem
{
  std::string key;
  std::string value;
  /** The store's revision of its last change. */
  std::uint64_t revision = 0;
  bool isDeleted = false;
};

/** Keys and the store's revision at which they were read. */
struct KeyListResult
{
  StoreStatus status = StoreStatus::OutcomeUnknown;
  std::vector<KeyItem> items;
  /** Items that could not be read. */
  std::size_t unreadable = 0;
  std::uint64_t revision = 0;
};

/** How old the answer to a read may be. */
enum class ReadConsistency
{
  /** It shows every write that was acknowledged before. */
  Linearizable,
  /** It may be seconds old, and costs the store a fraction. */
  Serializable,
};

/** A lease, or why there is none. */
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

  /** Reads every key with a prefix. What changed since `revision` can be watched. */
  virtual core::Task<KeyListResult> ReadAll(std::string aPrefix, ReadConsistency aAge) = 0;

  /** Waits for changes of keys with a prefix after a revision; no item when the wait was over. */
  virtual core::Task<KeyListResult> Watch(std::string aPrefix,
                                          std::uint64_t aAfter,
                                          core::Duration aWait) = 0;

  /** Writes one key under a lease. */
  virtual core::Task<StoreStatus> Put(std::string aKey,
                                      std::string aValue,
                                      std::uint64_t aLease) = 0;

  /** Grants a lease. */
  virtual core::Task<LeaseGrant> GrantLease(core::Duration aLifetime) = 0;

  /** Renews a lease; Absent when it has ended. */
  virtual core::Task<StoreStatus> KeepLeaseAlive(std::uint64_t aLease) = 0;

  /** Ends a lease and deletes its keys. */
  virtual core::Task<StoreStatus> RevokeLease(std::uint64_t aLease) = 0;
};

} // namespace skylarkwing::store
