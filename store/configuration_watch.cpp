#include "store/configuration_watch.h"

#include "core/log.h"
#include "core/name_table.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::store {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kCallLimit{ 2 };
constexpr seconds kWholeReadLimit{ 5 };
constexpr seconds kLeastCompareInterval{ 60 };
/** All daemons that don't watch compare about this often together, however many they are. */
constexpr seconds kFleetCompareInterval{ 8 };
/** How often a daemon looks whether it has become a watcher or needs the store's word. */
constexpr milliseconds kRoleCheckInterval{ 500 };
/** How often a daemon compares while it needs the store's word. */
constexpr seconds kConfirmInterval{ 1 };
/** A watch that is silent for this long is opened anew, since a dead one is silent as well. */
constexpr seconds kWatchSilence{ 60 };
constexpr milliseconds kLeastRetryPause{ 500 };
constexpr seconds kMostRetryPause{ 10 };
constexpr double kJitterShare = 0.2;

} // namespace

ConfigurationWatch::ConfigurationWatch(core::TimerService& aTimers,
                                       core::RandomSource& aRandom,
                                       core::Metrics& aMetrics,
                                       StoreClient& aClient,
                                       ConfigurationStore& aStore,
                                       declaration::ConfigurationKeeper& aKeeper,
                                       ConfigurationWatchHooks aHooks)
  : mTimers(aTimers)
  , mRandom(aRandom)
  , mMetrics(aMetrics)
  , mClient(aClient)
  , mStore(aStore)
  , mKeeper(aKeeper)
  , mHooks(std::move(aHooks))
  , mIsRefusedGauge(
      aMetrics.Gauge("skylarkwing_store_document_is_refused",
                     "1 while the configuration document in the store can't be taken."))
{
}

void
ConfigurationWatch::Start(const boost::asio::any_io_executor& aExecutor)
{
  core::Start(aExecutor, RunCompare());
  core::Start(aExecutor, RunWatch());
}

core::Duration
ConfigurationWatch::PollInterval(std::size_t aMembers, bool aIsWatcher)
{
  if (aIsWatcher) {
    return kLeastCompareInterval;
  }
  const core::Duration share = kFleetCompareInterval * static_cast<std::int64_t>(aMembers);
  return std::max<core::Duration>(kLeastCompareInterval, share);
}

core::Task<void>
ConfigurationWatch::RunCompare()
{
  Backoff backoff(mRandom, kLeastRetryPause, kMostRetryPause);
  while (!mIsStopped) {
    const bool isAnswered = co_await Compare();
    // Before it has any configuration, a daemon can do nothing but ask again.
    const bool isFirst = !isAnswered && mKeeper.Generation() == 0;
    const core::Duration interval = PollInterval(mHooks.memberCount(), mHooks.isWatcher());
    const core::Duration pause = isFirst ? backoff.Next() : interval;
    const core::Duration jittered{ static_cast<core::Duration::rep>(
      mRandom.Around(static_cast<double>(pause.count()), kJitterShare)) };
    co_await WaitToCompare(jittered);
  }
}

core::Task<void>
ConfigurationWatch::WaitToCompare(core::Duration aPause)
{
  const core::TimePoint last = mTimers.Now();
  const core::TimePoint next = last + aPause;
  while (!mIsStopped && mTimers.Now() < next) {
    const bool isUrgent = mHooks.isConfirmationNeeded();
    if (isUrgent && mTimers.Now() - last >= kConfirmInterval) {
      co_return;
    }
    const core::Duration remaining = next - mTimers.Now();
    co_await core::Sleep(mTimers, std::min<core::Duration>(remaining, kRoleCheckInterval));
  }
}

core::Task<void>
ConfigurationWatch::RunWatch()
{
  Backoff backoff(mRandom, kLeastRetryPause, kMostRetryPause);
  while (!mIsStopped) {
    if (!mHooks.isWatcher()) {
      mWatchedRevision = 0;
      co_await core::Sleep(mTimers, kRoleCheckInterval);
      continue;
    }
    const bool wasOpen = co_await WatchOnce();
    if (wasOpen) {
      backoff.Reset();
    }
    const core::Duration pause = backoff.Next();
    co_await core::Sleep(mTimers, pause);
  }
}

core::Task<bool>
ConfigurationWatch::WatchOnce()
{
  if (mWatchedRevision == 0) {
    const bool isRead = co_await ReadWhole();
    if (!isRead) {
      co_return false;
    }
  }
  const WatchResult watch =
    co_await mClient.Watch(kConfigurationKey, mWatchedRevision + 1, kWholeReadLimit);
  if (watch.error != StoreError::None) {
    co_return false;
  }
  bool wasOpen = false;
  while (!mIsStopped && mHooks.isWatcher()) {
    const core::Duration silence{ static_cast<core::Duration::rep>(
      mRandom.Around(static_cast<double>(core::Duration(kWatchSilence).count()), kJitterShare)) };
    const std::optional<WatchMessage> message = co_await watch.stream->Next(silence);
    if (!message) {
      co_return wasOpen;
    }
    wasOpen = true;
    Hear(*message);
    if (message->isCanceled) {
      co_return wasOpen;
    }
  }
  co_return wasOpen;
}

void
ConfigurationWatch::Hear(const WatchMessage& aMessage)
{
  if (aMessage.isCanceled) {
    // Events may be missing, so the next round begins with the whole document.
    mWatchedRevision = 0;
    return;
  }
  const std::uint64_t before = mKeeper.Generation();
  for (const KeyValue& value : aMessage.values) {
    // A read may have brought a later document before.
    if (value.modRevision < mSeenRevision) {
      continue;
    }
    StoredConfiguration stored;
    stored.status = StoredStatus::Absent;
    if (value.createRevision != 0) {
      stored = DecodeStored(value);
    }
    stored.modRevision = value.modRevision;
    Take(stored, before);
    mWatchedRevision = std::max(mWatchedRevision, value.modRevision);
  }
}

core::Task<bool>
ConfigurationWatch::Compare()
{
  const core::TimePoint askedAt = mTimers.Now();
  RangeRequest request;
  request.key = kConfigurationKey;
  request.isKeysOnly = true;
  const RangeResult result = co_await mClient.Range(std::move(request), kCallLimit);
  if (result.error != StoreError::None) {
    co_return false;
  }
  const Revision revision = result.values.empty() ? 0 : result.values.front().modRevision;
  const bool isSeen = revision == mSeenRevision && revision != 0;
  if (!isSeen) {
    const bool isRead = co_await ReadWhole();
    co_return isRead;
  }
  if (mRefusal == Refusal::None) {
    Confirm(askedAt);
  }
  co_return true;
}

core::Task<bool>
ConfigurationWatch::ReadWhole()
{
  const core::TimePoint askedAt = mTimers.Now();
  const std::uint64_t before = mKeeper.Generation();
  const Revision seenBefore = mSeenRevision;
  const StoredConfiguration stored = co_await mStore.Read(kWholeReadLimit);
  if (stored.status == StoredStatus::Unreadable) {
    co_return false;
  }
  // The watch may have brought a later document while this answer was under way.
  const bool isOvertaken = mSeenRevision != seenBefore && stored.revision < mSeenRevision;
  if (isOvertaken) {
    co_return true;
  }
  Take(stored, before);
  // A store that was restored from a backup counts its revisions from an earlier one again.
  mWatchedRevision = stored.revision;
  if (mRefusal == Refusal::None) {
    Confirm(askedAt);
  }
  co_return true;
}

void
ConfigurationWatch::Take(const StoredConfiguration& aStored, std::uint64_t aGenerationBefore)
{
  const Refusal refusal = Judge(aStored, aGenerationBefore);
  mSeenRevision = aStored.modRevision;
  SetRefusal(refusal, aStored);
}

ConfigurationWatch::Refusal
ConfigurationWatch::Judge(const StoredConfiguration& aStored, std::uint64_t aGenerationBefore)
{
  const auto inForce = mKeeper.InForce();
  if (aStored.status == StoredStatus::Absent) {
    return inForce ? Refusal::Missing : Refusal::None;
  }
  if (aStored.status == StoredStatus::Damaged) {
    return Refusal::Damaged;
  }
  const declaration::Configuration& configuration = aStored.configuration;
  if (inForce && inForce->declaration.deployment != configuration.declaration.deployment) {
    return Refusal::OtherDeployment;
  }
  // A peer may have brought a newer one while the store's answer was under way.
  if (configuration.generation < aGenerationBefore) {
    return Refusal::Older;
  }
  const declaration::OfferOutcome outcome = mKeeper.Offer(configuration, "store");
  return outcome == declaration::OfferOutcome::Foreign ? Refusal::OtherHistory : Refusal::None;
}

void
ConfigurationWatch::SetRefusal(Refusal aRefusal, const StoredConfiguration& aStored)
{
  mIsRefusedGauge.Set(aRefusal == Refusal::None ? 0.0 : 1.0);
  const std::string name(NameOf(aRefusal));
  if (aRefusal != Refusal::None) {
    mMetrics
      .Counter("skylarkwing_store_documents_refused_total",
               "Configuration documents from the store that were not taken.",
               { { "reason", name } })
      .Increment();
  }
  if (aRefusal == mRefusal) {
    return;
  }
  mRefusal = aRefusal;
  const std::string fault =
    aStored.faults.empty() ? std::string() : core::ToText(aStored.faults.front());
  core::LogChange(aRefusal == Refusal::None ? core::LogLevel::Info : core::LogLevel::Error,
                  "store",
                  aRefusal == Refusal::None ? "document_good_again" : "document_refused",
                  { { "reason", name },
                    { "fault", fault },
                    { "document_generation", std::to_string(aStored.configuration.generation) },
                    { "in_force", std::to_string(mKeeper.Generation()) },
                    { "revision", std::to_string(aStored.modRevision) } });
}

void
ConfigurationWatch::Confirm(core::TimePoint aAskedAt)
{
  mLastConfirmed = std::max(mLastConfirmed.value_or(aAskedAt), aAskedAt);
}

std::string_view
ConfigurationWatch::NameOf(Refusal aRefusal)
{
  constexpr core::NameTable<Refusal, 6> kNames{
    { "none", "damaged", "other_deployment", "older", "other_history", "missing" }
  };
  return kNames.NameOf(aRefusal);
}

} // namespace skylarkwing::store
