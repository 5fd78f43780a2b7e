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
constexpr std::size_t kMaxChangeLines = 20;
constexpr std::size_t kMaxChangeLineBytes = 240;

WriteResult
MakeResult(WriteOutcome aOutcome, std::string aReason)
{
  WriteResult result;
  result.outcome = aOutcome;
  result.reason = std::move(aReason);
  return result;
}

WriteResult
MakeAccepted(std::uint64_t aGeneration)
{
  WriteResult result;
  result.outcome = WriteOutcome::Accepted;
  result.generation = aGeneration;
  return result;
}

WriteResult
MakeConflict(const Configuration& aPresent, std::uint64_t aExpected)
{
  WriteResult result =
    MakeResult(WriteOutcome::Conflict,
               "generation " + std::to_string(aExpected) + " was expected, and generation " +
                 std::to_string(aPresent.generation) + " is in the store");
  result.generation = aPresent.generation;
  std::copy_if(aPresent.history.begin(),
               aPresent.history.end(),
               std::back_inserter(result.conflicts),
               [aExpected](const ChangeRecord& aRecord) { return aRecord.generation > aExpected; });
  return result;
}

/** @return the record of a write, or null when the configuration doesn't include that write. */
const ChangeRecord*
FindWrite(const Configuration& aConfiguration, const std::string& aWriteId)
{
  const auto it =
    std::find_if(aConfiguration.history.begin(),
                 aConfiguration.history.end(),
                 [&aWriteId](const ChangeRecord& aRecord) { return aRecord.writeId == aWriteId; });
  return it == aConfiguration.history.end() ? nullptr : &*it;
}

/** Truncates a text without splitting a UTF-8 sequence. */
std::string
TruncateText(std::string aText, std::size_t aMaxBytes)
{
  if (aText.size() <= aMaxBytes) {
    return aText;
  }
  std::size_t end = aMaxBytes;
  while (end > 0 && (static_cast<unsigned char>(aText[end]) & 0xC0U) == 0x80U) {
    --end;
  }
  aText.resize(end);
  return aText + "...";
}

/** @return the changes as lines, limited in number and length because a document keeps many. */
std::vector<std::string>
DescribeForHistory(const declaration::Declaration& aFrom, const declaration::Declaration& aTo)
{
  std::vector<std::string> lines = declaration::ToLines(declaration::DescribeChanges(aFrom, aTo));
  const std::size_t total = lines.size();
  if (total > kMaxChangeLines) {
    lines.resize(kMaxChangeLines);
    lines.push_back("and " + std::to_string(total - kMaxChangeLines) + " more");
  }
  for (std::string& line : lines) {
    line = TruncateText(std::move(line), kMaxChangeLineBytes);
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

/** An encoded document that is ready to be written. */
struct ConfigurationStore::PendingWrite
{
  std::string writeId;
  std::uint64_t generation = 0;
  std::uint64_t expectedGeneration = 0;
  std::string text;
  /** Revision of the document that it replaces, 0 when there is none. */
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
  stored.cluster = result.cluster;
  co_return stored;
}

core::Task<WriteResult>
ConfigurationStore::Write(ConfigurationChange aChange, core::Duration aTimeLimit)
{
  const core::TimePoint deadline = mTimers.Now() + aTimeLimit;
  const StoredConfiguration stored = co_await Read(aTimeLimit);
  PendingWrite write;
  WriteResult result = PrepareWrite(std::move(aChange), stored, write);
  if (write.text.empty()) {
    co_return result;
  }
  result = co_await Commit(std::move(write), deadline);
  co_return result;
}

WriteResult
ConfigurationStore::PrepareWrite(ConfigurationChange aChange,
                                 const StoredConfiguration& aStored,
                                 PendingWrite& aWrite)
{
  WriteResult refused = MakeResult(WriteOutcome::Refused, "the declaration has faults");
  refused.faults = declaration::CheckDeclaration(aChange.declaration);
  if (!refused.faults.empty()) {
    return refused;
  }
  if (std::optional<WriteResult> refusal = CheckChange(aChange, aStored)) {
    return std::move(*refusal);
  }
  const std::uint64_t expected = aChange.expectedGeneration;
  const Configuration next = MakeNextConfiguration(std::move(aChange), SelectBase(aStored));
  if (next.history.back().changes.empty()) {
    return MakeResult(WriteOutcome::Refused, "nothing changes");
  }
  std::string text = declaration::ConfigurationToText(next);
  if (text.size() > kMaxDocumentBytes) {
    return MakeResult(WriteOutcome::Refused,
                      "the document has " + std::to_string(text.size()) +
                        " bytes, and the store accepts at most " +
                        std::to_string(kMaxDocumentBytes));
  }
  // Every daemon decodes the whole document, so a text that fails to decode must not be written.
  refused.faults = declaration::ParseConfiguration(text).faults;
  if (!refused.faults.empty()) {
    return refused;
  }
  aWrite = { next.writeId, next.generation, expected, std::move(text), aStored.modRevision };
  return {};
}

std::optional<WriteResult>
ConfigurationStore::CheckChange(const ConfigurationChange& aChange,
                                const StoredConfiguration& aStored) const
{
  if (aStored.status == StoredStatus::Unreadable) {
    return MakeResult(WriteOutcome::Unavailable, "the store did not answer; nothing was written");
  }
  std::optional<WriteResult> fault = CheckStored(aStored);
  if (fault && !aChange.isRepair) {
    return fault;
  }
  const Configuration base = SelectBase(aStored);
  if (base.generation != aChange.expectedGeneration) {
    return MakeConflict(base, aChange.expectedGeneration);
  }
  return std::nullopt;
}

std::optional<WriteResult>
ConfigurationStore::CheckStored(const StoredConfiguration& aStored) const
{
  if (aStored.status == StoredStatus::Damaged) {
    return MakeResult(WriteOutcome::Refused,
                      "the document in the store is damaged: " + FirstFault(aStored.faults));
  }
  const auto inForce = mInForce();
  const std::uint64_t known = inForce ? inForce->generation : 0;
  if (aStored.configuration.generation < known) {
    return MakeResult(WriteOutcome::Refused,
                      "the store holds generation " +
                        std::to_string(aStored.configuration.generation) +
                        ", older than generation " + std::to_string(known) + " in force");
  }
  return std::nullopt;
}

Configuration
ConfigurationStore::SelectBase(const StoredConfiguration& aStored) const
{
  const auto inForce = mInForce();
  const bool isOlder = inForce && aStored.configuration.generation < inForce->generation;
  return isOlder ? *inForce : aStored.configuration;
}

Configuration
ConfigurationStore::MakeNextConfiguration(ConfigurationChange aChange, const Configuration& aBase)
{
  Configuration next;
  next.generation = aBase.generation + 1;
  next.writeId = mRandom.Token();
  next.history = aBase.history;
  ChangeRecord record;
  record.generation = next.generation;
  record.author = std::move(aChange.author);
  record.reason = std::move(aChange.reason);
  record.changes = DescribeForHistory(aBase.declaration, aChange.declaration);
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
ConfigurationStore::Commit(PendingWrite aWrite, core::TimePoint aDeadline)
{
  bool mayHaveBeenWritten = false;
  for (;;) {
    Transaction transaction;
    transaction.conditions.push_back(
      { kConfigurationKey, CompareTarget::ModRevision, aWrite.modRevision });
    transaction.puts.push_back({ kConfigurationKey, aWrite.text, 0 });
    transaction.readsOnFailure.emplace_back(kConfigurationKey);
    const core::Duration remaining = aDeadline - mTimers.Now();
    const TransactionResult result =
      co_await mClient.RunTransaction(std::move(transaction), remaining);
    if (result.error == StoreError::None && result.hasSucceeded) {
      co_return MakeAccepted(aWrite.generation);
    }
    if (result.error == StoreError::None) {
      co_return ResolveMismatch(aWrite, result.values, mayHaveBeenWritten);
    }
    const bool isSent =
      result.error == StoreError::OutcomeUnknown || result.error == StoreError::Malformed;
    mayHaveBeenWritten = mayHaveBeenWritten || isSent;
    if (isSent && mTimers.Now() < aDeadline) {
      continue;
    }
    if (mayHaveBeenWritten) {
      co_return MakeResult(WriteOutcome::Unknown, "the store did not confirm the write in time");
    }
    const bool isRefused = result.error == StoreError::Refused;
    co_return MakeResult(isRefused ? WriteOutcome::Refused : WriteOutcome::Unavailable,
                         "the store did not accept the write: " +
                           std::string(NameOf(result.error)));
  }
}

WriteResult
ConfigurationStore::ResolveMismatch(const PendingWrite& aWrite,
                                    const std::vector<KeyValue>& aValues,
                                    bool aMayHaveBeenWritten)
{
  const StoredConfiguration stored =
    aValues.empty() ? StoredConfiguration() : DecodeStored(aValues.front());
  if (FindWrite(stored.configuration, aWrite.writeId) != nullptr) {
    return MakeAccepted(aWrite.generation);
  }
  if (stored.status != StoredStatus::Valid && aMayHaveBeenWritten) {
    return MakeResult(WriteOutcome::Unknown,
                      "the document in the store does not show whether the write took effect");
  }
  return MakeConflict(stored.configuration, aWrite.expectedGeneration);
}

} // namespace skylarkwing::store
