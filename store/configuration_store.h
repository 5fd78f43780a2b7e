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

/** The key of the configuration document. */
inline constexpr const char* kConfigurationKey = "skylarkwing/configuration";

/** The platform holds no larger value. */
inline constexpr std::size_t kMaxDocumentBytes = 1'000'000;

/** How many changes the document's history keeps. */
inline constexpr std::size_t kMaxHistoryLength = 100;

/** What stands in the store. */
enum class StoredStatus
{
  /** A configuration. */
  Valid,
  /** Nothing. */
  Absent,
  /** Something that is no configuration. */
  Damaged,
  /** The store gave no answer. */
  Unreadable,
};

/** What a read of the configuration brought. */
struct StoredConfiguration
{
  StoredStatus status = StoredStatus::Unreadable;
  declaration::Configuration configuration;
  /** Revision of the key, 0 when it is absent. */
  Revision modRevision = 0;
  /** The store's revision when it answered. */
  Revision revision = 0;
  std::vector<declaration::Fault> faults;
};

/** @return what a stored value says. */
StoredConfiguration
DecodeStored(const KeyValue& aValue);

/** How a write of the configuration ended. */
enum class WriteOutcome
{
  /** It is the configuration of its generation, and no later write takes that back. */
  Accepted,
  /** Somebody else changed the configuration first; nothing was written. */
  Conflict,
  /** It can't be accepted; nothing was written. */
  Refused,
  /** The store took no call; nothing was written. */
  Unavailable,
  /** It may have been written: the store did not say in time. */
  Unknown,
};

/** @return the name of an outcome, for messages and metric labels. */
std::string_view
NameOf(WriteOutcome aOutcome);

/** A change that an operator wants. */
struct ConfigurationChange
{
  declaration::Declaration declaration;
  /** The generation that the operator saw; 0 for the first of all. */
  std::uint64_t expectedGeneration = 0;
  std::string author;
  std::string reason;
  /** Writes also over a document that is damaged, missing or older than the one in force. */
  bool isRepair = false;
};

/** What came of a write. */
struct WriteResult
{
  WriteOutcome outcome = WriteOutcome::Unknown;
  /** The generation that was written, or the one that stands there after a conflict. */
  std::uint64_t generation = 0;
  /** After a conflict: what others changed since the expected generation. */
  std::vector<declaration::ChangeRecord> conflicts;
  /** After a refusal: what is wrong with the declaration. */
  std::vector<declaration::Fault> faults;
  /** One sentence for people; empty when accepted. */
  std::string reason;
};

/** @return the configuration in force in this process, null before the first. */
using InForceFunction = std::function<std::shared_ptr<const declaration::Configuration>()>;

/**
 * Reads and writes the configuration document, one generation after the other, by compare-and-swap.
 *
 * A write whose answer is lost is sent again unchanged: at most one copy can find the revision that
 * it compares with, and the document's history shows whether one did.
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

  /** Reads what stands in the store. */
  core::Task<StoredConfiguration> Read(core::Duration aTimeLimit);

  /** Writes a change; the outcome is Unknown when it could not be settled within the time. */
  core::Task<WriteResult> Write(ConfigurationChange aChange, core::Duration aTimeLimit);

private:
  struct Draft;

  core::TimerService& mTimers;
  core::RandomSource& mRandom;
  StoreClient& mClient;
  InForceFunction mInForce;

  WriteResult Prepare(ConfigurationChange aChange,
                      const StoredConfiguration& aStored,
                      Draft& aDraft);
  std::optional<WriteResult> FindRefusal(const ConfigurationChange& aChange,
                                         const StoredConfiguration& aStored) const;
  std::optional<WriteResult> FindStoredFault(const StoredConfiguration& aStored) const;
  declaration::Configuration BaseOf(const StoredConfiguration& aStored) const;
  declaration::Configuration MakeNext(ConfigurationChange aChange,
                                      const declaration::Configuration& aBase);
  core::Task<WriteResult> Commit(Draft aDraft, core::TimePoint aDeadline);
  static WriteResult Settle(const Draft& aDraft,
                            const std::vector<KeyValue>& aValues,
                            bool aMayHaveRun);
};

} // namespace skylarkwing::store
