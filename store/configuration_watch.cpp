#include "store/configuration_watch.h"

#include "core/log.h"
#include "core/name_table.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::store {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kCallTimeout{ 2 };
constexpr seconds kDocumentReadTimeout{ 5 };
constexpr seconds kMinPollInterval{ 60 };
/** Interval between the polls of all daemons that don't watch, taken together. */
constexpr seconds kFleetPollInterval{ 8 };
/** How often a daemon checks whether it has become a watcher or needs a confirmation. */
constexpr milliseconds kRoleCheckInterval{ 500 };
/** Poll interval of a daemon that needs confirmations. */
constexpr seconds kConfirmInterval{ 1 };
/** A silent watch is reopened after this time, since a broken one is silent as well. */
constexpr seconds kWatchIdleTimeout{ 60 };
constexpr milliseconds kInitialRetryRange{ 500 };
constexpr seconds kMaxRetryRange{ 10 };
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
  core::Start(aExecutor, RunPoll());
  core::Start(aExecutor, RunWatch());
}

core::Duration
ConfigurationWatch::PollInterval(std::size_t aMembers, bool aIsWatcher)
{
  if (aIsWatcher) {
    return kMinPollInterval;
  }
  const core::Duration share = kFleetPollInterval * static_cast<std::int64_t>(aMembers);
  return std::max<core::Duration>(kMinPollInterval, share);
}

core::Task<void>
ConfigurationWatch::RunPoll()
{
  Backoff backoff(mRandom, kInitialRetryRange, kMaxRetryRange);
  while (!mIsStopped) {
    const bool isAnswered = co_await Poll();
    // Without any configuration a daemon can't serve, so that it retries sooner.
    const bool isFirst = !isAnswered && mKeeper.Generation() == 0;
    const core::Duration interval = PollInterval(mHooks.memberCount(), mHooks.isWatcher());
    const core::Duration pause = isFirst ? backoff.NextDelay() : interval;
    const core::Duration jittered{ static_cast<core::Duration::rep>(
      mRandom.Jitter(static_cast<double>(pause.count()), kJitterShare)) };
    co_await WaitForNextPoll(jittered);
  }
}

core::Task<void>
ConfigurationWatch::WaitForNextPoll(core::Duration aPause)
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
  Backoff backoff(mRandom, kInitialRetryRange, kMaxRetryRange);
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
    const core::Duration pause = backoff.NextDelay();
    co_await core::Sleep(mTimers, pause);
  }
}

core::Task<bool>
ConfigurationWatch::WatchOnce()
{
  if (mWatchedRevision == 0) {
    const bool isRead = co_await ReadDocument();
    if (!isRead) {
      co_return false;
    }
  }
  const WatchResult watch =
    co_await mClient.Watch(kConfigurationKey, mWatchedRevision + 1, kDocumentReadTimeout);
  if (watch.error != StoreError::None) {
    co_return false;
  }
  bool wasOpen = false;
  while (!mIsStopped && mHooks.isWatcher()) {
    const core::Duration idleTimeout{ static_cast<core::Duration::rep>(mRandom.Jitter(
      static_cast<double>(core::Duration(kWatchIdleTimeout).count()), kJitterShare)) };
    const std::optional<WatchMessage> message = co_await watch.stream->Next(idleTimeout);
    if (!message) {
      co_return wasOpen;
    }
    wasOpen = true;
    if (message->cluster != mCluster) {
      // A restored store lists changes by revisions that it has assigned again.
      mWatchedRevision = 0;
      co_return wasOpen;
    }
    HandleMessage(*message);
    if (message->isCanceled) {
      co_return wasOpen;
    }
  }
  co_return wasOpen;
}

void
ConfigurationWatch::HandleMessage(const WatchMessage& aMessage)
{
  if (aMessage.isCanceled) {
    // Events may have been missed, so the next attempt starts by reading the document.
    mWatchedRevision = 0;
    return;
  }
  const std::uint64_t before = mKeeper.Generation();
  for (const KeyValue& value : aMessage.values) {
    // A read may already have returned a later document.
    if (value.modRevision < mLastSeenRevision) {
      continue;
    }
    StoredConfiguration stored;
    stored.status = StoredStatus::Absent;
    if (value.createRevision != 0) {
      stored = DecodeStored(value);
    }
    stored.modRevision = value.modRevision;
    Apply(stored, before);
    mWatchedRevision = std::max(mWatchedRevision, value.modRevision);
  }
}

core::Task<bool>
ConfigurationWatch::Poll()
{
  const core::TimePoint requestedAt = mTimers.Now();
  RangeRequest request;
  request.key = kConfigurationKey;
  request.isKeysOnly = true;
  const RangeResult result = co_await mClient.Range(std::move(request), kCallTimeout);
  if (result.error != StoreError::None) {
    co_return false;
  }
  const Revision revision = result.values.empty() ? 0 : result.values.front().modRevision;
  const bool isSeen = revision == mLastSeenRevision && revision != 0 && result.cluster == mCluster;
  if (!isSeen) {
    const bool isRead = co_await ReadDocument();
    co_return isRead;
  }
  if (mRefusal == Refusal::None) {
    RecordConfirmation(requestedAt);
  }
  co_return true;
}

core::Task<bool>
ConfigurationWatch::ReadDocument()
{
  const core::TimePoint requestedAt = mTimers.Now();
  const std::uint64_t before = mKeeper.Generation();
  const Revision seenBefore = mLastSeenRevision;
  const StoredConfiguration stored = co_await mStore.Read(kDocumentReadTimeout);
  if (stored.status == StoredStatus::Unreadable) {
    co_return false;
  }
  // The watch may have delivered a later document while this read was in progress.
  const bool isOutdated = mLastSeenRevision != seenBefore && stored.cluster == mCluster &&
                          stored.revision < mLastSeenRevision;
  if (isOutdated) {
    co_return true;
  }
  Apply(stored, before);
  // After a restore from a backup, the store's revisions start again from an earlier one.
  mWatchedRevision = stored.revision;
  mCluster = stored.cluster;
  if (mRefusal == Refusal::None) {
    RecordConfirmation(requestedAt);
  }
  co_return true;
}

void
ConfigurationWatch::Apply(const StoredConfiguration& aStored, std::uint64_t aKnownGeneration)
{
  const Refusal refusal = Evaluate(aStored, aKnownGeneration);
  mLastSeenRevision = aStored.modRevision;
  SetRefusal(refusal, aStored);
}

ConfigurationWatch::Refusal
ConfigurationWatch::Evaluate(const StoredConfiguration& aStored, std::uint64_t aKnownGeneration)
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
  // A peer may have delivered a newer generation while the store was being read.
  if (configuration.generation < aKnownGeneration) {
    return Refusal::Older;
  }
  const declaration::OfferOutcome outcome = mKeeper.Offer(configuration, "store");
  return outcome == declaration::OfferOutcome::Conflicting ? Refusal::OtherHistory : Refusal::None;
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
  core::LogEvent(aRefusal == Refusal::None ? core::LogLevel::Info : core::LogLevel::Error,
                 "store",
                 aRefusal == Refusal::None ? "document_good_again" : "document_refused",
                 { { "reason", name },
                   { "fault", fault },
                   { "document_generation", std::to_string(aStored.configuration.generation) },
                   { "in_force", std::to_string(mKeeper.Generation()) },
                   { "revision", std::to_string(aStored.modRevision) } });
}

void
ConfigurationWatch::RecordConfirmation(core::TimePoint aRequestedAt)
{
  mLastConfirmed = std::max(mLastConfirmed.value_or(aRequestedAt), aRequestedAt);
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
