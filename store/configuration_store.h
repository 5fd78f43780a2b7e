#pragma once

#include "core/random_source.h"
#include "core/task.h"
#include "core/timer_service.h"
#include "declaration/configuration_codec.h"
#include "store/store_client.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::store {

/** Key of the configuration document. */
inline constexpr const char* kConfigurationKey = "skylarkwing/configuration";

/** The platform's key-value service rejects larger values. */
inline constexpr std::size_t kMaxDocumentBytes = 1'000'000;

/** Number of change records that a document keeps. */
inline constexpr std::size_t kMaxHistoryLength = 100;

/** State of the configuration document in the store. */
enum class StoredStatus
{
  /** It holds a configuration. */
  Valid,
  /** There is no document. */
  Absent,
  /** The document can't be decoded. */
  Damaged,
  /** The store didn't answer. */
  Unreadable,
};

/** Result of reading the configuration document. */
struct StoredConfiguration
{
  StoredStatus status = StoredStatus::Unreadable;
  declaration::Configuration configuration;
  /** Revision of the key's last change, 0 when the key is absent. */
  Revision modRevision = 0;
  /** Revision of the store when it answered. */
  Revision revision = 0;
  ClusterId cluster;
  std::vector<declaration::Fault> faults;
};

/** Decodes the value of the configuration key; the status is Valid or Damaged. */
StoredConfiguration
DecodeStored(const KeyValue& aValue);

/** Outcome of a configuration write. */
enum class WriteOutcome
{
  /** The document was written as the one of its generation; no later write can undo that. */
  Accepted,
  /** The configuration was changed by another writer first; nothing was written. */
  Conflict,
  /** The change was rejected; nothing was written. */
  Refused,
  /** The store could not be reached; nothing was written. */
  Unavailable,
  /** The store didn't answer in time; the document may have been written. */
  Unknown,
};

/** @return the name of an outcome, for messages and metric labels. */
std::string_view
NameOf(WriteOutcome aOutcome);

/** A configuration change requested by an operator. */
struct ConfigurationChange
{
  declaration::Declaration declaration;
  /** Generation on which the change is based; 0 when there is no configuration yet. */
  std::uint64_t expectedGeneration = 0;
  std::string author;
  std::string reason;
  /** Allows replacing a document that is damaged, missing or older than the one in force. */
  bool isRepair = false;
};

/** Result of a configuration write. */
struct WriteResult
{
  WriteOutcome outcome = WriteOutcome::Unknown;
  /** The generation that was written; after a conflict the one in the store. */
  std::uint64_t generation = 0;
  /** After a conflict: the changes since the expected generation. */
  std::vector<declaration::ChangeRecord> conflicts;
  /** After a refusal: the faults of the declaration. */
  std::vector<declaration::Fault> faults;
  /** Explanation for the operator in one sentence; empty when accepted. */
  std::string reason;
};

/** @return the configuration in force in this process, null before the first one. */
using InForceFunction = std::function<std::shared_ptr<const declaration::Configuration>()>;

/**
 * Reads and writes the configuration document. Each write replaces a known generation by the next
 * one, using compare-and-swap on the revision of the key.
 *
 * A write whose answer is lost is repeated unchanged. At most one of the copies can match the
 * revision it compares with, and the document's history shows whether one of them did.
 *
 * Not thread-safe: one instance belongs to one event loop, and it must outlive its calls.
 */
class ConfigurationStore
{
public:
  ConfigurationStore(core::TimerService& aTimers,
                     core::RandomSource& aRandom,
                     StoreClient& aClient,
                     InForceFunction aInForce);

  /** Reads and decodes the document in the store. */
  core::Task<StoredConfiguration> Read(core::Duration aTimeLimit);

  /** Writes a change; the outcome is Unknown when the store didn't confirm it within the limit. */
  core::Task<WriteResult> Write(ConfigurationChange aChange, core::Duration aTimeLimit);

private:
  struct PendingWrite;

  core::TimerService& mTimers;
  core::RandomSource& mRandom;
  StoreClient& mClient;
  InForceFunction mInForce;

  WriteResult PrepareWrite(ConfigurationChange aChange,
                           const StoredConfiguration& aStored,
                           PendingWrite& aWrite);
  std::optional<WriteResult> CheckChange(const ConfigurationChange& aChange,
                                         const StoredConfiguration& aStored) const;
  std::optional<WriteResult> CheckStored(const StoredConfiguration& aStored) const;
  declaration::Configuration SelectBase(const StoredConfiguration& aStored) const;
  declaration::Configuration MakeNextConfiguration(ConfigurationChange aChange,
                                                   const declaration::Configuration& aBase);
  core::Task<WriteResult> Commit(PendingWrite aWrite, core::TimePoint aDeadline);
  static WriteResult ResolveMismatch(const PendingWrite& aWrite,
                                     const std::vector<KeyValue>& aValues,
                                     bool aMayHaveBeenWritten);
};

} // namespace skylarkwing::store
