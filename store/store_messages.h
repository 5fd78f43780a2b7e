#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::store {

/** Why a call to the store returned no usable answer. */
enum class StoreError
{
  None,
  /** No server received the call: it certainly had no effect. */
  Unavailable,
  /** The call was sent but not answered: it may have taken effect. */
  OutcomeUnknown,
  /** The store rejected the call. */
  Refused,
  /** The answer could not be decoded; a write may have taken effect. */
  Malformed,
  /** The process has exceeded its call rate: nothing was sent. */
  RateLimited,
};

/** @return the name of an error, for logs and metric labels. */
std::string_view
NameOf(StoreError aError);

/** Kinds of calls, which the platform counts separately. */
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

/** Revision number of the whole store; each change increments it. */
using Revision = std::int64_t;

/** Identifies a lease; 0 means no lease. */
using LeaseId = std::int64_t;

/**
 * Identifies the cluster that answers; a restore from a backup makes a new one, which assigns
 * revisions again. Empty when the store doesn't name it.
 */
using ClusterId = std::string;

/** One key with its value and revisions. */
struct KeyValue
{
  std::string key;
  std::string value;
  Revision createRevision = 0;
  Revision modRevision = 0;
  LeaseId lease = 0;
};

/** Keys to read. */
struct RangeRequest
{
  std::string key;
  /** Reads every key that starts with `key`. */
  bool isPrefix = false;
  /** Leaves out the values, for a cheap check whether anything changed. */
  bool isKeysOnly = false;
};

/** Result of a range read. */
struct RangeResult
{
  StoreError error = StoreError::None;
  /** Revision of the store when it answered. */
  Revision revision = 0;
  ClusterId cluster;
  std::vector<KeyValue> values;
};

/** The revision of a key that a transaction compares. */
enum class CompareTarget
{
  CreateRevision,
  ModRevision,
};

/** A condition of a transaction: the key has this revision; 0 means that it doesn't exist. */
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
  /** The key is deleted when this lease ends. */
  LeaseId lease = 0;
};

/** Writes that are done together if all conditions hold. */
struct Transaction
{
  std::vector<Compare> conditions;
  std::vector<Put> puts;
  std::vector<std::string> deletes;
  /** Keys that are read instead if a condition doesn't hold. */
  std::vector<std::string> readsOnFailure;
};

/** Result of a transaction. */
struct TransactionResult
{
  StoreError error = StoreError::None;
  /** Whether all conditions held and the writes took effect. */
  bool hasSucceeded = false;
  Revision revision = 0;
  /** Those keys of `readsOnFailure` that exist, if a condition didn't hold. */
  std::vector<KeyValue> values;
};

/** Result of a lease call. */
struct LeaseResult
{
  StoreError error = StoreError::None;
  LeaseId lease = 0;
  /** Counts from before the call was sent; 0 after a renewal means that the lease has ended. */
  std::chrono::seconds timeToLive{ 0 };
};

/** One message of a watch. */
struct WatchMessage
{
  /** Revision of the store when it wrote the message. */
  Revision revision = 0;
  ClusterId cluster;
  /** The store ended the watch. */
  bool isCanceled = false;
  /** Events up to this revision are no longer kept; 0 when none were missed. */
  Revision compactRevision = 0;
  /** One entry for each event; a deletion has no create revision. */
  std::vector<KeyValue> values;
};

} // namespace skylarkwing::store
