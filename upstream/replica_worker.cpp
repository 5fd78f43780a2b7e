#include "upstream/replica_worker.h"

#include "core/log.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace skylarkwing::upstream {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kConnectTimeout{ 500 };
constexpr milliseconds kLoadTimeout{ 500 };
constexpr milliseconds kCancelTimeout{ 200 };
// An upstream reports a search that exceeded its deadline; the report may arrive this much later.
constexpr milliseconds kAnswerGrace{ 250 };
constexpr milliseconds kReconnectPause{ 200 };
constexpr milliseconds kPollInterval{ 1000 };
constexpr milliseconds kUnsettledPollInterval{ 300 };
constexpr seconds kChannelIdleCheck{ 5 };
constexpr seconds kPermitIdleTimeout{ 5 };
constexpr double kJitterShare = 0.25;
constexpr std::size_t kQueuedPerSlot = 4;
constexpr std::uint32_t kMaxRequeues = 2;
constexpr std::size_t kSpareChannels = 1;
// Divides the replica's connection limit: former, present and next owners may overlap, and each
// also has a control connection.
constexpr std::size_t kConnectionDivisor = 4;

const core::Metrics::Buckets kExchangeBuckets{ 0.0005, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032,
                                               0.064,  0.128, 0.256, 0.512, 1.024, 2.048 };

core::Duration
Jittered(core::RandomSource& aRandom, milliseconds aCentre)
{
  const double spread = aRandom.Jitter(static_cast<double>(aCentre.count()), kJitterShare);
  return std::chrono::duration_cast<core::Duration>(
    std::chrono::duration<double, std::milli>(spread));
}

bool
IsMatching(const SearchReply& aReply, const PartRequest& aRequest, const std::string& aIncarnation)
{
  if (aReply.partId != aRequest.partId || aReply.incarnation != aIncarnation) {
    return false;
  }
  if (aReply.outcome != SearchOutcome::Answered) {
    return true;
  }
  return aReply.snapshot == aRequest.snapshot && aReply.shard == aRequest.shard;
}

PartRefusal
RefusalFor(ShedReason aReason)
{
  switch (aReason) {
    case ShedReason::Overloaded:
      return PartRefusal::Overloaded;
    case ShedReason::Cold:
      return PartRefusal::Cold;
    case ShedReason::Draining:
      return PartRefusal::Unavailable;
    case ShedReason::WrongSnapshot:
      return PartRefusal::WrongSnapshot;
    case ShedReason::Deadline:
      return PartRefusal::DeadlineTooClose;
  }
  return PartRefusal::Overloaded;
}

} // namespace

/** One connection for searches, and its task. */
struct ReplicaWorker::Channel
{
  explicit Channel(core::TimerService& aTimers)
    : parts(aTimers)
  {
  }

  std::shared_ptr<UpstreamConnection> connection;
  /** The process at the other end. */
  std::string incarnation;
  /** Number of crashes seen when it was opened. */
  std::uint64_t crashesBefore = 0;
  bool isReady = false;
  /** The next part; a null part only wakes the task. */
  core::Mailbox<PendingPartPtr> parts;
};

/** A request to the control connection's task before its next poll. */
struct ReplicaWorker::ControlRequest
{
  /** The part to cancel; empty to poll immediately. */
  std::string cancelledPartId;
};

ReplicaWorker::ReplicaWorker(boost::asio::any_io_executor aExecutor,
                             core::TimerService& aTimers,
                             core::RandomSource& aRandom,
                             core::Metrics& aMetrics,
                             OwnedReplica aReplica,
                             ReplicaWorkerHooks aHooks)
  : mExecutor(std::move(aExecutor))
  , mTimers(aTimers)
  , mRandom(aRandom)
  , mMetrics(aMetrics)
  , mConnectionsOpened(aMetrics.Counter("skylarkwing_upstream_connections_opened_total",
                                        "Connections opened to upstreams."))
  , mExchangeSeconds(aMetrics.Histogram("skylarkwing_upstream_exchange_seconds",
                                        "Time of one search on an upstream.",
                                        kExchangeBuckets))
  , mReplica(std::move(aReplica))
  , mHooks(std::move(aHooks))
  , mHealth(aTimers,
            mReplica.limits,
            [this](ReplicaState aFrom, ReplicaState aTo) { OnStateChange(aFrom, aTo); })
  , mPermit(aTimers, aRandom, mReplica.declaration.name, mHooks.permit)
  , mControlRequests(aTimers)
{
}

ReplicaWorker::~ReplicaWorker()
{
  mTimers.Cancel(mQueueTimer);
  mTimers.Cancel(mPermitTimer);
}

void
ReplicaWorker::Start()
{
  if (mReplica.isDomainOut) {
    mHealth.SetDomainOut(true);
  }
  ++mTasks;
  core::Start(mExecutor, RunControl(shared_from_this()));
  ProcessQueue();
}

void
ReplicaWorker::Submit(PendingPartPtr aPart)
{
  const PartRefusal refusal = RefusalOf(aPart->request);
  if (refusal != PartRefusal::None) {
    Answer(aPart, PartStatus::NotRun, refusal);
    return;
  }
  if (mQueue.Size() >= QueueLimit()) {
    const PendingPartPtr evicted = mQueue.EvictBelow(aPart->request.priority);
    Answer(evicted ? evicted : aPart, PartStatus::NotRun, PartRefusal::Overloaded);
    if (!evicted) {
      return;
    }
  }
  mQueue.Push(std::move(aPart));
  ProcessQueue();
}

void
ReplicaWorker::Cancel(const PendingPartPtr& aPart)
{
  if (mQueue.Remove(aPart->request.partId)) {
    Answer(aPart, PartStatus::NotRun, PartRefusal::Cancelled);
    return;
  }
  if (!aPart->isCancelled) {
    aPart->isCancelled = true;
    mControlRequests.Push({ aPart->request.partId });
  }
}

void
ReplicaWorker::SetDomainOut(bool aIsOut)
{
  mReplica.isDomainOut = aIsOut;
  mHealth.SetDomainOut(aIsOut);
  ProcessQueue();
}

void
ReplicaWorker::Retire()
{
  mIsRetired = true;
  mHealth.LoseOwnership();
  WakeIdleChannels();
  mControlRequests.Push({});
  ProcessQueue();
}

void
ReplicaWorker::Abort()
{
  mIsAborted = true;
  for (const ChannelPtr& channel : mChannels) {
    if (channel->connection) {
      channel->connection->Close();
    }
  }
  if (mControl) {
    mControl->Close();
  }
  Retire();
}

ReplicaStatus
ReplicaWorker::Status() const
{
  ReplicaStatus status;
  status.replica = mReplica.declaration.name;
  status.index = mReplica.index;
  status.service = mReplica.service;
  status.failureDomain = mReplica.declaration.failureDomain;
  status.incarnation = mHealth.Incarnation();
  status.state = mHealth.State();
  status.holdings = mHoldings.Holdings();
  status.allowance = mHealth.Allowance();
  status.inFlight = mSlots.Running();
  status.queued = static_cast<std::uint32_t>(mQueue.Size());
  status.medianMicroseconds = mHealth.Latency().Median();
  status.p95Microseconds = mHealth.Latency().P95();
  status.p99Microseconds = mHealth.Latency().P99();
  return status;
}

core::Task<void>
ReplicaWorker::RunControl(Self aSelf)
{
  while (aSelf->WantsControl()) {
    const bool isOpen = co_await aSelf->OpenControl();
    if (isOpen) {
      co_await aSelf->PollLoad();
    }
    const core::TimePoint next = aSelf->mTimers.Now() + aSelf->PollInterval();
    std::optional<ControlRequest> request = co_await aSelf->mControlRequests.Receive(next);
    while (request && !request->cancelledPartId.empty()) {
      const bool isReachable = co_await aSelf->OpenControl();
      if (isReachable) {
        std::string partId = std::move(request->cancelledPartId);
        const std::shared_ptr<UpstreamConnection> connection = aSelf->mControl;
        const ProcessNotice notice = co_await connection->Cancel(std::move(partId), kCancelTimeout);
        aSelf->mHealth.RecordNotice(notice);
      }
      request = co_await aSelf->mControlRequests.Receive(next);
    }
  }
  if (aSelf->mControl) {
    aSelf->mControl->Close();
  }
  aSelf->EndTask();
}

core::Task<bool>
ReplicaWorker::OpenControl()
{
  if (mControl && mControl->IsOpen()) {
    co_return true;
  }
  mControl = mHooks.connect(mReplica.declaration.address);
  const std::shared_ptr<UpstreamConnection> connection = mControl;
  const bool isOpen = co_await connection->Connect(kConnectTimeout);
  if (isOpen) {
    mConnectionsOpened.Increment();
    co_return true;
  }
  OnConnectFailed();
  co_return false;
}

core::Task<void>
ReplicaWorker::PollLoad()
{
  const std::shared_ptr<UpstreamConnection> connection = mControl;
  const LoadReply reply = co_await connection->Load(kLoadTimeout);
  if (reply.error == ExchangeError::None) {
    OnLoad(reply);
    ProcessQueue();
  }
}

core::Task<void>
ReplicaWorker::RunChannel(Self aSelf, ChannelPtr aChannel)
{
  while (aSelf->WantsChannels()) {
    if (!aSelf->IsUsable(*aChannel)) {
      const bool isOpen = co_await aSelf->OpenChannel(aChannel);
      if (!isOpen) {
        const core::Duration pause = Jittered(aSelf->mRandom, kReconnectPause);
        co_await aChannel->parts.Receive(aSelf->mTimers.Now() + pause);
        continue;
      }
    }
    aChannel->isReady = true;
    aSelf->ProcessQueue();
    const core::TimePoint until = aSelf->mTimers.Now() + kChannelIdleCheck;
    std::optional<PendingPartPtr> part = co_await aChannel->parts.Receive(until);
    aChannel->isReady = false;
    if (part && *part) {
      co_await aSelf->RunPart(aChannel, *part);
    }
    if (aSelf->mIsRetired) {
      aSelf->mControlRequests.Push({});
    }
  }
  if (aChannel->connection) {
    aChannel->connection->Close();
  }
  std::erase(aSelf->mChannels, aChannel);
  aSelf->EndTask();
}

core::Task<void>
ReplicaWorker::RunPermit(Self aSelf)
{
  const bool isGranted = co_await aSelf->mPermit.Acquire();
  const bool isNeeded = aSelf->mHealth.NeedsPermit();
  if (!isGranted && isNeeded) {
    // Queued parts can be answered by other replicas now; the permit may stay unavailable for long.
    aSelf->RefuseAll(PartRefusal::Cold);
  }
  if (!isNeeded) {
    aSelf->mPermit.Release();
  }
  aSelf->SchedulePermitRelease();
  aSelf->EndTask();
}

core::Task<bool>
ReplicaWorker::OpenChannel(ChannelPtr aChannel)
{
  if (aChannel->connection) {
    aChannel->connection->Close();
  }
  aChannel->incarnation.clear();
  aChannel->crashesBefore = mCrashes;
  aChannel->connection = mHooks.connect(mReplica.declaration.address);
  const std::shared_ptr<UpstreamConnection> connection = aChannel->connection;
  const bool isConnected = co_await connection->Connect(kConnectTimeout);
  if (!isConnected) {
    OnConnectFailed();
    co_return false;
  }
  mConnectionsOpened.Increment();
  // The reply identifies the process at the other end before any search is risked on it.
  const LoadReply reply = co_await connection->Load(kLoadTimeout);
  if (reply.error != ExchangeError::None || reply.incarnation.empty()) {
    connection->Close();
    co_return false;
  }
  aChannel->incarnation = reply.incarnation;
  OnProcess(reply.incarnation);
  OnHoldings(reply.holdings);
  mHealth.RecordNotice(reply.notice);
  // A connection opened before the last crash may have been accepted by the process that crashed.
  if (aChannel->crashesBefore == mCrashes) {
    mHooks.onAlive(mReplica.declaration.name, reply.incarnation);
  }
  co_return true;
}

core::Task<void>
ReplicaWorker::RunPart(ChannelPtr aChannel, PendingPartPtr aPart)
{
  if (RefuseAtSend(aPart)) {
    co_return;
  }
  const PartRequest& request = aPart->request;
  const core::TimePoint started = mTimers.Now();
  const core::Duration remaining = request.deadline - started;
  SearchCall call{ request.partId, request.index,        request.shard, request.snapshot,
                   remaining,      request.isIdempotent, request.search };
  const std::shared_ptr<UpstreamConnection> connection = aChannel->connection;
  SearchReply reply = co_await connection->Search(std::move(call), remaining + kAnswerGrace);
  const core::Duration took = mTimers.Now() - started;
  mSlots.Release();
  if (reply.error != ExchangeError::None) {
    OnError(*aChannel, aPart, reply.error);
  } else {
    OnReply(*aChannel, aPart, reply, took);
  }
}

void
ReplicaWorker::EndTask()
{
  --mTasks;
  ProcessQueue();
  if (mTasks == 0) {
    mPermit.Release();
    mHooks.onChange();
  }
}

void
ReplicaWorker::ProcessQueue()
{
  // A callback of an answer may submit the next part and so call this function again.
  if (mIsProcessingQueue) {
    mMustProcessQueueAgain = true;
    return;
  }
  mIsProcessingQueue = true;
  do {
    mMustProcessQueueAgain = false;
    ProcessQueueOnce();
  } while (mMustProcessQueueAgain);
  mIsProcessingQueue = false;
}

void
ReplicaWorker::ProcessQueueOnce()
{
  if (mIsRetired) {
    RefuseAll(PartRefusal::NotOwner);
    return;
  }
  if (!mHealth.IsServing()) {
    RefuseAll(PartRefusal::Unavailable);
    WakeIdleChannels();
    return;
  }
  AddChannels();
  RefuseTooLate();
  Assign();
  ScheduleQueueCheck();
}

void
ReplicaWorker::AddChannels()
{
  while (mChannels.size() < WantedChannels()) {
    const ChannelPtr channel = std::make_shared<Channel>(mTimers);
    mChannels.push_back(channel);
    ++mTasks;
    core::Start(mExecutor, RunChannel(shared_from_this(), channel));
  }
}

void
ReplicaWorker::Assign()
{
  while (!mQueue.IsEmpty() && TakenSlots() < mHealth.Allowance()) {
    if (!MaySend()) {
      RequestPermit();
      return;
    }
    const ChannelPtr channel = ReadyChannel();
    if (!channel) {
      return;
    }
    mSlots.Take();
    channel->isReady = false;
    channel->parts.Push(mQueue.Pop());
  }
}

std::size_t
ReplicaWorker::WantedChannels() const
{
  if (mHealth.State() == ReplicaState::Warm) {
    return MaxChannels();
  }
  return std::min<std::size_t>(MaxChannels(), mHealth.Allowance());
}

std::size_t
ReplicaWorker::MaxChannels() const
{
  const std::size_t share = mReplica.limits.connections / kConnectionDivisor;
  const std::size_t bound = share > 1 ? share - 1 : 1;
  return std::min<std::size_t>(mReplica.limits.slots + kSpareChannels, bound);
}

ReplicaWorker::ChannelPtr
ReplicaWorker::ReadyChannel() const
{
  for (const ChannelPtr& channel : mChannels) {
    if (channel->isReady && channel->incarnation == mHealth.Incarnation()) {
      return channel;
    }
  }
  return nullptr;
}

void
ReplicaWorker::WakeIdleChannels()
{
  for (const ChannelPtr& channel : mChannels) {
    if (channel->isReady) {
      channel->isReady = false;
      channel->parts.Push(nullptr);
    }
  }
}

bool
ReplicaWorker::WantsChannels() const
{
  return mHealth.IsServing() && !mIsAborted;
}

bool
ReplicaWorker::WantsControl() const
{
  return !mIsAborted && !(mIsRetired && TakenSlots() == 0);
}

bool
ReplicaWorker::IsUsable(const Channel& aChannel) const
{
  return aChannel.connection && aChannel.connection->IsOpen() &&
         aChannel.incarnation == mHealth.Incarnation();
}

std::uint32_t
ReplicaWorker::TakenSlots() const
{
  return mSlots.Taken(mTimers.Now());
}

bool
ReplicaWorker::MaySend() const
{
  return !mHealth.NeedsPermit() || mPermit.IsHeld();
}

bool
ReplicaWorker::IsPermitRefused() const
{
  return mHealth.NeedsPermit() && mPermit.IsRefused();
}

core::Duration
ReplicaWorker::PollInterval() const
{
  const bool isSettled =
    mHealth.State() == ReplicaState::Warm || mHealth.State() == ReplicaState::Out;
  const bool isKnown = isSettled && !mHoldings.Holdings().empty();
  return Jittered(mRandom, isKnown ? kPollInterval : kUnsettledPollInterval);
}

std::size_t
ReplicaWorker::QueueLimit() const
{
  return mHealth.Allowance() * kQueuedPerSlot;
}

PartRefusal
ReplicaWorker::RefusalOf(const PartRequest& aRequest) const
{
  if (mIsRetired) {
    return PartRefusal::NotOwner;
  }
  if (!mHealth.IsServing()) {
    return PartRefusal::Unavailable;
  }
  if (mHoldings.IsDenied(aRequest.snapshot, mTimers.Now())) {
    return PartRefusal::WrongSnapshot;
  }
  if (IsPermitRefused()) {
    return PartRefusal::Cold;
  }
  const std::size_t before = TakenSlots() + mQueue.CountAhead(aRequest);
  const auto rounds = static_cast<int>(before / std::max(1U, mHealth.Allowance())) + 1;
  if (mTimers.Now() + mHealth.RunTime() * rounds > aRequest.deadline) {
    return PartRefusal::DeadlineTooClose;
  }
  return PartRefusal::None;
}

void
ReplicaWorker::Answer(const PendingPartPtr& aPart, PartStatus aStatus, PartRefusal aRefusal)
{
  PartAnswer answer;
  answer.partId = aPart->request.partId;
  answer.status = aStatus;
  answer.refusal = aRefusal;
  answer.snapshot = aPart->request.snapshot;
  answer.shard = aPart->request.shard;
  aPart->callback(std::move(answer));
}

void
ReplicaWorker::RefuseAll(PartRefusal aRefusal)
{
  for (const PendingPartPtr& part : mQueue.TakeAll()) {
    Answer(part, PartStatus::NotRun, aRefusal);
  }
}

void
ReplicaWorker::RefuseTooLate()
{
  const std::uint32_t parallel = std::max(1U, mHealth.Allowance());
  for (const PendingPartPtr& part :
       mQueue.TakeTooLate(mTimers.Now(), mHealth.RunTime(), parallel)) {
    Answer(part, PartStatus::NotRun, PartRefusal::DeadlineTooClose);
  }
}

void
ReplicaWorker::ScheduleQueueCheck()
{
  mTimers.Cancel(mQueueTimer);
  mQueueTimer = 0;
  const std::optional<core::TimePoint> earliest = mQueue.EarliestDeadline();
  if (!earliest) {
    return;
  }
  // One tick past the last moment at which the part could still be sent.
  const core::Duration delay = *earliest - mHealth.RunTime() - mTimers.Now() + core::Duration(1);
  mQueueTimer = mTimers.Schedule(delay, [weak = weak_from_this()] {
    const Self self = weak.lock();
    if (self) {
      self->mQueueTimer = 0;
      self->ProcessQueue();
    }
  });
}

bool
ReplicaWorker::RefuseAtSend(const PendingPartPtr& aPart)
{
  std::optional<PartAnswer> refused = mHooks.refuseBeforeSend(aPart->request);
  PartRefusal refusal = PartRefusal::None;
  if (aPart->isCancelled) {
    refusal = PartRefusal::Cancelled;
  } else if (!mHealth.IsServing()) {
    refusal = mIsRetired ? PartRefusal::NotOwner : PartRefusal::Unavailable;
  } else if (mTimers.Now() + mHealth.RunTime() > aPart->request.deadline) {
    refusal = PartRefusal::DeadlineTooClose;
  }
  if (!refused && refusal == PartRefusal::None && MaySend() &&
      TakenSlots() <= mHealth.Allowance()) {
    return false;
  }
  mSlots.Release();
  if (refused) {
    aPart->callback(std::move(*refused));
  } else if (refusal != PartRefusal::None) {
    Answer(aPart, PartStatus::NotRun, refusal);
  } else {
    // The limit dropped after the part was assigned, so the part is queued again.
    if (!MaySend()) {
      mHealth.RecordPermitLost();
    }
    mQueue.Push(aPart);
  }
  return true;
}

void
ReplicaWorker::RequestPermit()
{
  if (mPermit.MayRequest()) {
    ++mTasks;
    core::Start(mExecutor, RunPermit(shared_from_this()));
    ProcessQueueLater(PermitKeeper::kMaxWait);
    return;
  }
  if (IsPermitRefused()) {
    RefuseAll(PartRefusal::Cold);
  }
}

void
ReplicaWorker::SchedulePermitRelease()
{
  mTimers.Cancel(mPermitTimer);
  mPermitTimer = 0;
  if (!mPermit.IsHeld()) {
    return;
  }
  mPermitTimer = mTimers.Schedule(kPermitIdleTimeout, [weak = weak_from_this()] {
    const Self self = weak.lock();
    if (!self) {
      return;
    }
    self->mPermitTimer = 0;
    const bool isIdle = self->TakenSlots() == 0 && self->mQueue.IsEmpty();
    if (isIdle && !self->mHealth.HasRecentAnswer()) {
      self->mPermit.Release();
    }
    self->SchedulePermitRelease();
  });
}

void
ReplicaWorker::OnStateChange(ReplicaState aFrom, ReplicaState aTo)
{
  mMetrics
    .Counter("skylarkwing_upstream_state_changes_total",
             "Changes of replicas' states.",
             { { "to", std::string(NameOf(aTo)) } })
    .Increment();
  core::LogEvent(core::LogLevel::Info,
                 "upstream",
                 "replica_state_changed",
                 { { "replica", mReplica.declaration.name },
                   { "from", std::string(NameOf(aFrom)) },
                   { "to", std::string(NameOf(aTo)) },
                   { "incarnation", mHealth.Incarnation() } });
  if (aTo == ReplicaState::Warm) {
    mPermit.Release();
  }
  const bool mustPoll = aTo == ReplicaState::Unknown || aTo == ReplicaState::Gone;
  if (mustPoll && !mIsRetired) {
    mControlRequests.Push({});
  }
  mHooks.onChange();
}

void
ReplicaWorker::OnLoad(const LoadReply& aReply)
{
  // Answers come from the process itself, so a report that names another one is outdated.
  if (aReply.incarnation != mHealth.Incarnation() && mHealth.HasRecentAnswer()) {
    return;
  }
  OnProcess(aReply.incarnation);
  OnHoldings(aReply.holdings);
  mHealth.RecordLoad(aReply.state);
  mHealth.RecordNotice(aReply.notice);
}

void
ReplicaWorker::OnHoldings(const std::vector<SnapshotHolding>& aHoldings)
{
  if (mHoldings.Update(aHoldings, mTimers.Now())) {
    mHooks.onChange();
  }
}

void
ReplicaWorker::OnConnectFailed()
{
  if (mSlots.Running() == 0 && !mHealth.HasRecentAnswer()) {
    mHealth.RecordUnreachable();
    ProcessQueue();
  }
}

void
ReplicaWorker::OnProcess(const std::string& aIncarnation)
{
  if (!mHealth.RecordProcess(aIncarnation)) {
    return;
  }
  mHoldings.ForgetDenials();
  mSlots.ForgetLost();
  WakeIdleChannels();
  mHooks.onChange();
}

void
ReplicaWorker::OnError(Channel& aChannel, const PendingPartPtr& aPart, ExchangeError aError)
{
  aChannel.connection->Close();
  if (aError == ExchangeError::NothingSent) {
    OnNothingSent(aPart);
    return;
  }
  KeepSlot(aPart);
  if (aError == ExchangeError::Broken) {
    OnBroken(aChannel, aPart);
    return;
  }
  mHealth.RecordFailure();
  const PartRefusal refusal =
    aPart->isCancelled ? PartRefusal::Cancelled : PartRefusal::ConnectionLost;
  Answer(aPart, PartStatus::Unknown, refusal);
}

void
ReplicaWorker::OnNothingSent(const PendingPartPtr& aPart)
{
  ++aPart->requeues;
  if (aPart->requeues > kMaxRequeues) {
    Answer(aPart, PartStatus::NotRun, PartRefusal::Unavailable);
    return;
  }
  mQueue.Push(aPart);
}

void
ReplicaWorker::OnBroken(const Channel& aChannel, const PendingPartPtr& aPart)
{
  const bool isExpected = mIsAborted || mHealth.State() == ReplicaState::Draining;
  mHealth.RecordReset();
  if (isExpected) {
    Answer(aPart, PartStatus::Unknown, PartRefusal::ConnectionLost);
    return;
  }
  ++mCrashes;
  // The evidence is sent first: whoever learns of the crash must not be able to resend the part
  // before that.
  mHooks.onCrash(aPart->request, aChannel.incarnation);
  Answer(aPart, PartStatus::Crashed, PartRefusal::ConnectionLost);
}

void
ReplicaWorker::OnReply(Channel& aChannel,
                       const PendingPartPtr& aPart,
                       SearchReply& aReply,
                       core::Duration aTook)
{
  mExchangeSeconds.Observe(std::chrono::duration<double>(aTook).count());
  if (!IsMatching(aReply, aPart->request, aChannel.incarnation)) {
    OnMismatch(aChannel, aPart);
    return;
  }
  mHealth.RecordReply(aReply, aTook);
  switch (aReply.outcome) {
    case SearchOutcome::Answered:
      OnHits(aPart, aReply);
      return;
    case SearchOutcome::Shed:
      OnShed(aPart, aReply.shedReason);
      return;
    case SearchOutcome::Failed:
      Answer(aPart, PartStatus::Unknown, PartRefusal::ConnectionLost);
      return;
    case SearchOutcome::Ended: {
      const bool wasCancelled = aPart->isCancelled || aReply.wasCancelled;
      Answer(aPart,
             PartStatus::Unknown,
             wasCancelled ? PartRefusal::Cancelled : PartRefusal::DeadlineTooClose);
      return;
    }
  }
}

void
ReplicaWorker::OnMismatch(Channel& aChannel, const PendingPartPtr& aPart)
{
  aChannel.connection->Close();
  KeepSlot(aPart);
  mHealth.RecordReset();
  Answer(aPart, PartStatus::Unknown, PartRefusal::ConnectionLost);
}

void
ReplicaWorker::OnHits(const PendingPartPtr& aPart, SearchReply& aReply)
{
  if (aPart->isCancelled) {
    Answer(aPart, PartStatus::Unknown, PartRefusal::Cancelled);
    return;
  }
  PartAnswer answer;
  answer.partId = aPart->request.partId;
  answer.status = PartStatus::Answered;
  answer.snapshot = aReply.snapshot;
  answer.shard = aReply.shard;
  answer.isComplete = aReply.isComplete;
  answer.hits = std::move(aReply.hits);
  aPart->callback(std::move(answer));
}

void
ReplicaWorker::OnShed(const PendingPartPtr& aPart, ShedReason aReason)
{
  if (aReason == ShedReason::WrongSnapshot) {
    DenySnapshot(aPart->request.snapshot);
  }
  const PartRefusal refusal = aPart->isCancelled ? PartRefusal::Cancelled : RefusalFor(aReason);
  Answer(aPart, PartStatus::NotRun, refusal);
}

void
ReplicaWorker::KeepSlot(const PendingPartPtr& aPart)
{
  const core::TimePoint now = mTimers.Now();
  const core::TimePoint until = std::max(now, aPart->request.deadline) + kAnswerGrace;
  mSlots.KeepUntil(until, now);
  mControlRequests.Push({ aPart->request.partId });
  ProcessQueueLater(until - now);
}

void
ReplicaWorker::ProcessQueueLater(core::Duration aDelay)
{
  mTimers.Schedule(aDelay, [weak = weak_from_this()] {
    if (const Self self = weak.lock()) {
      self->ProcessQueue();
    }
  });
}

void
ReplicaWorker::DenySnapshot(std::uint64_t aSnapshot)
{
  mHoldings.Deny(aSnapshot, mTimers.Now());
  mControlRequests.Push({});
  mHooks.onChange();
}

} // namespace skylarkwing::upstream
