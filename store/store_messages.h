#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::store {

/** Why a call to the store brought no usable answer. */
enum class StoreError
{
  None,
  /** No server took the call: it certainly had no effect. */
  Unavailable,
  /** The call was sent and its answer is missing: it may have taken effect. */
  OutcomeUnknown,
  /** The store answered that it will not do this. */
  Refused,
  /** The answer was not understood; a write may have taken effect. */
  Malformed,
  /** The process has used up its share of calls: nothing was sent. */
  RateLimited,
};

/** @return the name of an error, for logs and metric labels. */
std::string_view
NameOf(StoreError aError);

/** One kind of call, as the platform counts them. */
enum class CallKind
{
  Range,
  Transaction,
  LeaseGrant,
  LeaseKeepAlive,
  LeaseRevoke,
  Watch,
};

/** @return the name of a kind, for metric labels. */
std::string_view
NameOf(CallKind aKind);

/** Counts changes of the whole store. */
using Revision = std::int64_t;

/** Names a lease; 0 is none. */
using LeaseId = std::int64_t;

/** One key as the store holds it. */
struct KeyValue
{
  std::string key;
  std::string value;
  Revision createRevision = 0;
  Revision modRevision = 0;
  LeaseId lease = 0;
};

/** Which keys to read. */
struct RangeRequest
{
  std::string key;
  /** Reads every key that begins with `key`. */
  bool isPrefix = false;
  /** Leaves the values out, to find cheaply whether anything changed. */
  bool isKeysOnly = false;
};

/** What a range call brought. */
struct RangeResult
{
  StoreError error = StoreError::None;
  /** The store's revision when it answered. */
  Revision revision = 0;
  std::vector<KeyValue> values;
};

/** Which revision of a key a transaction compares. */
enum class CompareTarget
{
  CreateRevision,
  ModRevision,
};

/** A condition of a transaction: the key's revision equals this one; 0 means that it is absent. */
struct Compare
{
  std::string key;
  CompareTarget target = CompareTarget::ModRevision;
  Revision revision = 0;
};

/** A key to write. */
struct Put
{
  std::string key;
  std::string value;
  /** The key goes away with this lease. */
  LeaseId lease = 0;
};

/** Writes all or nothing, under conditions. */
struct Transaction
{
  std::vector<Compare> conditions;
  std::vector<Put> puts;
  std::vector<std::string> deletes;
  /** The keys to read when a condition does not hold. */
  std::vector<std::string> readsOnFailure;
};

/** What a transaction brought. */
struct TransactionResult
{
  StoreError error = StoreError::None;
  /** Whether the conditions held and the writes took effect. */
  bool hasSucceeded = false;
  Revision revision = 0;
  /** The keys of `readsOnFailure` that exist, when the conditions did not hold. */
  std::vector<KeyValue> values;
};

/** What a lease call brought. */
struct LeaseResult
{
  StoreError error = StoreError::None;
  LeaseId lease = 0;
  /** Counts from before the call was sent; 0 after a renewal means that the lease is gone. */
  std::chrono::seconds timeToLive{ 0 };
};

/** What one message of a watch says. */
struct WatchMessage
{
  /** The store's revision when it wrote the message. */
  Revision revision = 0;
  /** The store ended the watch. */
  bool isCanceled = false;
  /** Events up to here are no longer kept; 0 when none was missed. */
  Revision compactRevision = 0;
  /** The latest value of each key that was put; deletions are without a create revision. */
  std::vector<KeyValue> values;
};

} // namespace skylarkwing::store
