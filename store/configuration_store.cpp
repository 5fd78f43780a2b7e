#include "store/configuration_store.h"

#include "core/name_table.h"
#include "declaration/declaration_check.h"
#include "declaration/declaration_diff.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace skylarkwing::store {

namespace {

using declaration::ChangeRecord;
using declaration::Configuration;

constexpr core::NameTable<WriteOutcome, 5> kOutcomeNames{
  { "accepted", "conflict", "refused", "unavailable", "unknown" }
};
constexpr std::size_t kMostChangeLines = 20;
constexpr std::size_t kLongestChangeLine = 240;

WriteResult
Make(WriteOutcome aOutcome, std::string aReason)
{
  WriteResult result;
  result.outcome = aOutcome;
  result.reason = std::move(aReason);
  return result;
}

WriteResult
Accepted(std::uint64_t aGeneration)
{
  WriteResult result;
  result.outcome = WriteOutcome::Accepted;
  result.generation = aGeneration;
  return result;
}

WriteResult
Conflict(const Configuration& aPresent, std::uint64_t aExpected)
{
  WriteResult result =
    Make(WriteOutcome::Conflict,
         "generation " + std::to_string(aExpected) + " was expected, and generation " +
           std::to_string(aPresent.generation) + " stands in the store");
  result.generation = aPresent.generation;
  std::copy_if(aPresent.history.begin(),
               aPresent.history.end(),
               std::back_inserter(result.conflicts),
               [aExpected](const ChangeRecord& aRecord) { return aRecord.generation > aExpected; });
  return result;
}

/** @return the record of a write, or null when the configuration does not rest on it. */
const ChangeRecord*
FindWrite(const Configuration& aConfiguration, const std::string& aWriteId)
{
  const auto it =
    std::find_if(aConfiguration.history.begin(),
                 aConfiguration.history.end(),
                 [&aWriteId](const ChangeRecord& aRecord) { return aRecord.writeId == aWriteId; });
  return it == aConfiguration.history.end() ? nullptr : &*it;
}

/** Cuts a text without splitting a UTF-8 sequence. */
std::string
CutText(std::string aText, std::size_t aLongest)
{
  if (aText.size() <= aLongest) {
    return aText;
  }
  std::size_t end = aLongest;
  while (end > 0 && (static_cast<unsigned char>(aText[end]) & 0xC0U) == 0x80U) {
    --end;
  }
  aText.resize(end);
  return aText + "...";
}

/** @return the changes as lines, few and short enough for a history of many. */
std::vector<std::string>
HistoryLines(const declaration::Declaration& aFrom, const declaration::Declaration& aTo)
{
  std::vector<std::string> lines = declaration::ToLines(declaration::DescribeChanges(aFrom, aTo));
  const std::size_t total = lines.size();
  if (total > kMostChangeLines) {
    lines.resize(kMostChangeLines);
    lines.push_back("and " + std::to_string(total - kMostChangeLines) + " more");
  }
  for (std::string& line : lines) {
    line = CutText(std::move(line), kLongestChangeLine);
  }
  return lines;
}

std::string
FirstFault(const std::vector<declaration::Fault>& aFaults)
{
  return aFaults.empty() ? std::string() : core::ToText(aFaults.front());
}

} // namespace

std::string_view
NameOf(WriteOutcome aOutcome)
{
  return kOutcomeNames.NameOf(aOutcome);
}

StoredConfiguration
DecodeStored(const KeyValue& aValue)
{
  StoredConfiguration stored;
  stored.modRevision = aValue.modRevision;
  declaration::ParseConfigurationResult parsed = declaration::ParseConfiguration(aValue.value);
  if (!parsed.configuration) {
    stored.status = StoredStatus::Damaged;
    stored.faults = std::move(parsed.faults);
    return stored;
  }
  stored.status = StoredStatus::Valid;
  stored.configuration = std::move(*parsed.configuration);
  return stored;
}

/** A write that is ready to be sent. */
struct ConfigurationStore::Draft
{
  std::string writeId;
  std::uint64_t generation = 0;
  std::uint64_t expectedGeneration = 0;
  std::string text;
  /** The revision of the document that it replaces, 0 for none. */
  Revision modRevision = 0;
};

ConfigurationStore::ConfigurationStore(core::TimerService& aTimers,
                                       core::RandomSource& aRandom,
                                       StoreClient& aClient,
                                       InForceFunction aInForce)
  : mTimers(aTimers)
  , mRandom(aRandom)
  , mClient(aClient)
  , mInForce(std::move(aInForce))
{
}

core::Task<StoredConfiguration>
ConfigurationStore::Read(core::Duration aTimeLimit)
{
  RangeRequest request;
  request.key = kConfigurationKey;
  const RangeResult result = co_await mClient.Range(std::move(request), aTimeLimit);
  StoredConfiguration stored;
  if (result.error != StoreError::None) {
    co_return stored;
  }
  stored.status = StoredStatus::Absent;
  if (!result.values.empty()) {
    stored = DecodeStored(result.values.front());
  }
  stored.revision = result.revision;
  co_return stored;
}

core::Task<WriteResult>
ConfigurationStore::Write(ConfigurationChange aChange, core::Duration aTimeLimit)
{
  const core::TimePoint deadline = mTimers.Now() + aTimeLimit;
  const StoredConfiguration stored = co_await Read(aTimeLimit);
  Draft draft;
  WriteResult result = Prepare(std::move(aChange), stored, draft);
  if (draft.text.empty()) {
    co_return result;
  }
  result = co_await Commit(std::move(draft), deadline);
  co_return result;
}

WriteResult
ConfigurationStore::Prepare(ConfigurationChange aChange,
                            const StoredConfiguration& aStored,
                            Draft& aDraft)
{
  WriteResult faulty = Make(WriteOutcome::Refused, "the declaration has faults");
  faulty.faults = declaration::CheckDeclaration(aChange.declaration);
  if (!faulty.faults.empty()) {
    return faulty;
  }
  if (std::optional<WriteResult> refusal = FindRefusal(aChange, aStored)) {
    return std::move(*refusal);
  }
  const std::uint64_t expected = aChange.expectedGeneration;
  const Configuration next = MakeNext(std::move(aChange), BaseOf(aStored));
  if (next.history.back().changes.empty()) {
    return Make(WriteOutcome::Refused, "nothing changes");
  }
  std::string text = declaration::ConfigurationToText(next);
  if (text.size() > kMaxDocumentBytes) {
    return Make(WriteOutcome::Refused,
                "the document has " + std::to_string(text.size()) +
                  " bytes, and the store holds at most " + std::to_string(kMaxDocumentBytes));
  }
  // Every daemon reads the document whole, so a text that none could read must never be written.
  faulty.faults = declaration::ParseConfiguration(text).faults;
  if (!faulty.faults.empty()) {
    return faulty;
  }
  aDraft = { next.writeId, next.generation, expected, std::move(text), aStored.modRevision };
  return {};
}

std::optional<WriteResult>
ConfigurationStore::FindRefusal(const ConfigurationChange& aChange,
                                const StoredConfiguration& aStored) const
{
  if (aStored.status == StoredStatus::Unreadable) {
    return Make(WriteOutcome::Unavailable, "the store gave no answer; nothing was written");
  }
  std::optional<WriteResult> fault = FindStoredFault(aStored);
  if (fault && !aChange.isRepair) {
    return fault;
  }
  const Configuration base = BaseOf(aStored);
  if (base.generation != aChange.expectedGeneration) {
    return Conflict(base, aChange.expectedGeneration);
  }
  return std::nullopt;
}

std::optional<WriteResult>
ConfigurationStore::FindStoredFault(const StoredConfiguration& aStored) const
{
  if (aStored.status == StoredStatus::Damaged) {
    return Make(WriteOutcome::Refused,
                "the document in the store is damaged: " + FirstFault(aStored.faults));
  }
  const auto inForce = mInForce();
  const std::uint64_t known = inForce ? inForce->generation : 0;
  if (aStored.configuration.generation < known) {
    return Make(WriteOutcome::Refused,
                "the store holds generation " + std::to_string(aStored.configuration.generation) +
                  ", older than generation " + std::to_string(known) + " in force");
  }
  return std::nullopt;
}

Configuration
ConfigurationStore::BaseOf(const StoredConfiguration& aStored) const
{
  const auto inForce = mInForce();
  const bool isOlder = inForce && aStored.configuration.generation < inForce->generation;
  return isOlder ? *inForce : aStored.configuration;
}

Configuration
ConfigurationStore::MakeNext(ConfigurationChange aChange, const Configuration& aBase)
{
  Configuration next;
  next.generation = aBase.generation + 1;
  next.writeId = mRandom.Token();
  next.history = aBase.history;
  ChangeRecord record;
  record.generation = next.generation;
  record.author = std::move(aChange.author);
  record.reason = std::move(aChange.reason);
  record.changes = HistoryLines(aBase.declaration, aChange.declaration);
  if (record.changes.empty() && aChange.isRepair) {
    record.changes.emplace_back("the document in the store is repaired");
  }
  record.writtenAt = mTimers.WallClockMilliseconds();
  record.writeId = next.writeId;
  next.history.push_back(std::move(record));
  if (next.history.size() > kMaxHistoryLength) {
    next.history.erase(next.history.begin(),
                       next.history.end() - static_cast<std::ptrdiff_t>(kMaxHistoryLength));
  }
  next.declaration = std::move(aChange.declaration);
  return next;
}

core::Task<WriteResult>
ConfigurationStore::Commit(Draft aDraft, core::TimePoint aDeadline)
{
  bool mayHaveRun = false;
  for (;;) {
    Transaction transaction;
    transaction.conditions.push_back(
      { kConfigurationKey, CompareTarget::ModRevision, aDraft.modRevision });
    transaction.puts.push_back({ kConfigurationKey, aDraft.text, 0 });
    transaction.readsOnFailure.emplace_back(kConfigurationKey);
    const core::Duration remaining = aDeadline - mTimers.Now();
    const TransactionResult result =
      co_await mClient.RunTransaction(std::move(transaction), remaining);
    if (result.error == StoreError::None && result.hasSucceeded) {
      co_return Accepted(aDraft.generation);
    }
    if (result.error == StoreError::None) {
      co_return Settle(aDraft, result.values, mayHaveRun);
    }
    const bool isSent =
      result.error == StoreError::OutcomeUnknown || result.error == StoreError::Malformed;
    mayHaveRun = mayHaveRun || isSent;
    if (isSent && mTimers.Now() < aDeadline) {
      continue;
    }
    if (mayHaveRun) {
      co_return Make(WriteOutcome::Unknown, "the store did not say in time whether it wrote");
    }
    const bool isRefused = result.error == StoreError::Refused;
    co_return Make(isRefused ? WriteOutcome::Refused : WriteOutcome::Unavailable,
                   "the store took no write: " + std::string(NameOf(result.error)));
  }
}

WriteResult
ConfigurationStore::Settle(const Draft& aDraft,
                           const std::vector<KeyValue>& aValues,
                           bool aMayHaveRun)
{
  const StoredConfiguration stored =
    aValues.empty() ? StoredConfiguration() : DecodeStored(aValues.front());
  if (FindWrite(stored.configuration, aDraft.writeId) != nullptr) {
    return Accepted(aDraft.generation);
  }
  if (stored.status != StoredStatus::Valid && aMayHaveRun) {
    return Make(WriteOutcome::Unknown, "what stands in the store does not show whether it wrote");
  }
  return Conflict(stored.configuration, aDraft.expectedGeneration);
}

} // namespace skylarkwing::store
