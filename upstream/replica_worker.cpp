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
// An upstream tells that a search ran past its deadline; this is how much later it may come.
constexpr milliseconds kAnswerGrace{ 250 };
constexpr milliseconds kReconnectPause{ 200 };
constexpr milliseconds kPollInterval{ 1000 };
constexpr milliseconds kUnsettledPollInterval{ 300 };
constexpr seconds kLaneIdleCheck{ 5 };
constexpr seconds kPermitIdleTime{ 5 };
constexpr double kJitterShare = 0.25;
constexpr std::size_t kQueuedPerSlot = 4;
constexpr std::uint32_t kMaximumRequeues = 2;
constexpr std::size_t kSpareLanes = 1;
// Former, present and coming owners may overlap, and each also has a control connection.
constexpr std::size_t kShareOfConnections = 4;

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

/** One connection for searches and its task. */
struct ReplicaWorker::Lane
{
  explicit Lane(core::TimerService& aTimers)
    : parts(aTimers)
  {
  }

  std::shared_ptr<UpstreamConnection> connection;
  /** The process at the other end. */
  std::string incarnation;
  /** How many crashes had been seen when it was opened. */
  std::uint64_t crashesBefore = 0;
  bool isReady = false;
  /** The next part; none only wakes the task. */
  core::Mailbox<PendingPartPtr> parts;
};

/** What the control connection's task is to do before its next poll. */
struct ReplicaWorker::ControlOrder
{
  /** The part to cancel; empty for a poll at once. */
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
  , mControlOrders(aTimers)
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
  Pump();
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
  Pump();
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
    mControlOrders.Push({ aPart->request.partId });
  }
}

void
ReplicaWorker::SetDomainOut(bool aIsOut)
{
  mReplica.isDomainOut = aIsOut;
  mHealth.SetDomainOut(aIsOut);
  Pump();
}

void
ReplicaWorker::Retire()
{
  mIsRetired = true;
  mHealth.LoseOwnership();
  WakeIdleLanes();
  mControlOrders.Push({});
  Pump();
}

void
ReplicaWorker::Abort()
{
  mIsAborted = true;
  for (const LanePtr& lane : mLanes) {
    if (lane->connection) {
      lane->connection->Close();
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
  ReplicaStatus fact;
  fact.replica = mReplica.declaration.name;
  fact.index = mReplica.index;
  fact.service = mReplica.service;
  fact.failureDomain = mReplica.declaration.failureDomain;
  fact.incarnation = mHealth.Incarnation();
  fact.state = mHealth.State();
  fact.holdings = mHoldings.Holdings();
  fact.allowance = mHealth.Allowance();
  fact.inFlight = mSlots.Running();
  fact.queued = static_cast<std::uint32_t>(mQueue.Size());
  fact.medianMicroseconds = mHealth.Latency().Median();
  fact.p95Microseconds = mHealth.Latency().P95();
  fact.p99Microseconds = mHealth.Latency().P99();
  return fact;
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
    std::optional<ControlOrder> order = co_await aSelf->mControlOrders.Receive(next);
    while (order && !order->cancelledPartId.empty()) {
      const bool isReachable = co_await aSelf->OpenControl();
      if (isReachable) {
        std::string partId = std::move(order->cancelledPartId);
        const std::shared_ptr<UpstreamConnection> connection = aSelf->mControl;
        const ProcessNotice notice = co_await connection->Cancel(std::move(partId), kCancelTimeout);
        aSelf->mHealth.RecordNotice(notice);
      }
      order = co_await aSelf->mControlOrders.Receive(next);
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
    Pump();
  }
}

core::Task<void>
ReplicaWorker::RunLane(Self aSelf, LanePtr aLane)
{
  while (aSelf->WantsLanes()) {
    if (!aSelf->IsUsable(*aLane)) {
      const bool isOpen = co_await aSelf->OpenLane(aLane);
      if (!isOpen) {
        const core::Duration pause = Jittered(aSelf->mRandom, kReconnectPause);
        co_await aLane->parts.Receive(aSelf->mTimers.Now() + pause);
        continue;
      }
    }
    aLane->isReady = true;
    aSelf->Pump();
    const core::TimePoint until = aSelf->mTimers.Now() + kLaneIdleCheck;
    std::optional<PendingPartPtr> part = co_await aLane->parts.Receive(until);
    aLane->isReady = false;
    if (part && *part) {
      co_await aSelf->RunPart(aLane, *part);
    }
    if (aSelf->mIsRetired) {
      aSelf->mControlOrders.Push({});
    }
  }
  if (aLane->connection) {
    aLane->connection->Close();
  }
  std::erase(aSelf->mLanes, aLane);
  aSelf->EndTask();
}

core::Task<void>
ReplicaWorker::RunPermit(Self aSelf)
{
  const bool isGranted = co_await aSelf->mPermit.Acquire();
  const bool isNeeded = aSelf->mHealth.NeedsPermit();
  if (!isGranted && isNeeded) {
    // Whoever waits here can be answered elsewhere now; the permit may be away for long.
    aSelf->RefuseAll(PartRefusal::Cold);
  }
  if (!isNeeded) {
    aSelf->mPermit.Release();
  }
  aSelf->SchedulePermitRelease();
  aSelf->EndTask();
}

core::Task<bool>
ReplicaWorker::OpenLane(LanePtr aLane)
{
  if (aLane->connection) {
    aLane->connection->Close();
  }
  aLane->incarnation.clear();
  aLane->crashesBefore = mCrashes;
  aLane->connection = mHooks.connect(mReplica.declaration.address);
  const std::shared_ptr<UpstreamConnection> connection = aLane->connection;
  const bool isConnected = co_await connection->Connect(kConnectTimeout);
  if (!isConnected) {
    OnConnectFailed();
    co_return false;
  }
  mConnectionsOpened.Increment();
  // The reply shows which process is at the other end, before any search is risked on it.
  const LoadReply reply = co_await connection->Load(kLoadTimeout);
  if (reply.error != ExchangeError::None || reply.incarnation.empty()) {
    connection->Close();
    co_return false;
  }
  aLane->incarnation = reply.incarnation;
  OnProcess(reply.incarnation);
  OnHoldings(reply.holdings);
  mHealth.RecordNotice(reply.notice);
  // A connection opened before the last crash may have been answered by the process that died.
  if (aLane->crashesBefore == mCrashes) {
    mHooks.onAlive(mReplica.declaration.name, reply.incarnation);
  }
  co_return true;
}

core::Task<void>
ReplicaWorker::RunPart(LanePtr aLane, PendingPartPtr aPart)
{
  if (RefuseAtSend(aPart)) {
    co_return;
  }
  const PartRequest& request = aPart->request;
  const core::TimePoint started = mTimers.Now();
  const core::Duration remaining = request.deadline - started;
  SearchCall call{ request.partId, request.index,        request.shard, request.snapshot,
                   remaining,      request.isIdempotent, request.search };
  const std::shared_ptr<UpstreamConnection> connection = aLane->connection;
  SearchReply reply = co_await connection->Search(std::move(call), remaining + kAnswerGrace);
  const core::Duration took = mTimers.Now() - started;
  mSlots.Give();
  if (reply.error != ExchangeError::None) {
    OnError(*aLane, aPart, reply.error);
  } else {
    OnReply(*aLane, aPart, reply, took);
  }
}

void
ReplicaWorker::EndTask()
{
  --mTasks;
  Pump();
  if (mTasks == 0) {
    mPermit.Release();
    mHooks.onChange();
  }
}

void
ReplicaWorker::Pump()
{
  // Answers call back into whoever sent the part, who may send the next one at once.
  if (mIsPumping) {
    mMustPumpAgain = true;
    return;
  }
  mIsPumping = true;
  do {
    mMustPumpAgain = false;
    PumpOnce();
  } while (mMustPumpAgain);
  mIsPumping = false;
}

void
ReplicaWorker::PumpOnce()
{
  if (mIsRetired) {
    RefuseAll(PartRefusal::NotOwner);
    return;
  }
  if (!mHealth.IsServing()) {
    RefuseAll(PartRefusal::Unavailable);
    WakeIdleLanes();
    return;
  }
  AddLanes();
  RefuseLate();
  Assign();
  ScheduleQueueCheck();
}

void
ReplicaWorker::AddLanes()
{
  while (mLanes.size() < WantedLanes()) {
    const LanePtr lane = std::make_shared<Lane>(mTimers);
    mLanes.push_back(lane);
    ++mTasks;
    core::Start(mExecutor, RunLane(shared_from_this(), lane));
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
    const LanePtr lane = ReadyLane();
    if (!lane) {
      return;
    }
    mSlots.Take();
    lane->isReady = false;
    lane->parts.Push(mQueue.Pop());
  }
}

std::size_t
ReplicaWorker::WantedLanes() const
{
  if (mHealth.State() == ReplicaState::Warm) {
    return MaximumLanes();
  }
  return std::min<std::size_t>(MaximumLanes(), mHealth.Allowance());
}

std::size_t
ReplicaWorker::MaximumLanes() const
{
  const std::size_t share = mReplica.limits.connections / kShareOfConnections;
  const std::size_t bound = share > 1 ? share - 1 : 1;
  return std::min<std::size_t>(mReplica.limits.slots + kSpareLanes, bound);
}

ReplicaWorker::LanePtr
ReplicaWorker::ReadyLane() const
{
  for (const LanePtr& lane : mLanes) {
    if (lane->isReady && lane->incarnation == mHealth.Incarnation()) {
      return lane;
    }
  }
  return nullptr;
}

void
ReplicaWorker::WakeIdleLanes()
{
  for (const LanePtr& lane : mLanes) {
    if (lane->isReady) {
      lane->isReady = false;
      lane->parts.Push(nullptr);
    }
  }
}

bool
ReplicaWorker::WantsLanes() const
{
  return mHealth.IsServing() && !mIsAborted;
}

bool
ReplicaWorker::WantsControl() const
{
  return !mIsAborted && !(mIsRetired && TakenSlots() == 0);
}

bool
ReplicaWorker::IsUsable(const Lane& aLane) const
{
  return aLane.connection && aLane.connection->IsOpen() &&
         aLane.incarnation == mHealth.Incarnation();
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
  const std::size_t before = TakenSlots() + mQueue.Ahead(aRequest);
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
ReplicaWorker::RefuseLate()
{
  const std::uint32_t parallel = std::max(1U, mHealth.Allowance());
  for (const PendingPartPtr& part : mQueue.TakeLate(mTimers.Now(), mHealth.RunTime(), parallel)) {
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
      self->Pump();
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
  mSlots.Give();
  if (refused) {
    aPart->callback(std::move(*refused));
  } else if (refusal != PartRefusal::None) {
    Answer(aPart, PartStatus::NotRun, refusal);
  } else {
    // The replica bears less than when the part was assigned, so the part waits again.
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
  if (mPermit.MayAsk()) {
    ++mTasks;
    core::Start(mExecutor, RunPermit(shared_from_this()));
    PumpLater(PermitKeeper::kPatience);
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
  mPermitTimer = mTimers.Schedule(kPermitIdleTime, [weak = weak_from_this()] {
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
  const bool needsLook = aTo == ReplicaState::Unknown || aTo == ReplicaState::Gone;
  if (needsLook && !mIsRetired) {
    mControlOrders.Push({});
  }
  mHooks.onChange();
}

void
ReplicaWorker::OnLoad(const LoadReply& aReply)
{
  // Answers come from the process itself, so a report that names another one is out of date.
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
    Pump();
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
  WakeIdleLanes();
  mHooks.onChange();
}

void
ReplicaWorker::OnError(Lane& aLane, const PendingPartPtr& aPart, ExchangeError aError)
{
  aLane.connection->Close();
  if (aError == ExchangeError::NothingSent) {
    OnNothingSent(aPart);
    return;
  }
  KeepSlot(aPart);
  if (aError == ExchangeError::Broken) {
    OnBroken(aLane, aPart);
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
  if (aPart->requeues > kMaximumRequeues) {
    Answer(aPart, PartStatus::NotRun, PartRefusal::Unavailable);
    return;
  }
  mQueue.Push(aPart);
}

void
ReplicaWorker::OnBroken(const Lane& aLane, const PendingPartPtr& aPart)
{
  const bool isPlanned = mIsAborted || mHealth.State() == ReplicaState::Draining;
  mHealth.RecordReset();
  if (isPlanned) {
    Answer(aPart, PartStatus::Unknown, PartRefusal::ConnectionLost);
    return;
  }
  ++mCrashes;
  // The evidence leaves first: whoever hears of the crash must not be able to send it on before.
  mHooks.onCrash(aPart->request, aLane.incarnation);
  Answer(aPart, PartStatus::Crashed, PartRefusal::ConnectionLost);
}

void
ReplicaWorker::OnReply(Lane& aLane,
                       const PendingPartPtr& aPart,
                       SearchReply& aReply,
                       core::Duration aTook)
{
  mExchangeSeconds.Observe(std::chrono::duration<double>(aTook).count());
  if (!IsMatching(aReply, aPart->request, aLane.incarnation)) {
    OnMismatch(aLane, aPart);
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
ReplicaWorker::OnMismatch(Lane& aLane, const PendingPartPtr& aPart)
{
  aLane.connection->Close();
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
  mControlOrders.Push({ aPart->request.partId });
  PumpLater(until - now);
}

void
ReplicaWorker::PumpLater(core::Duration aDelay)
{
  mTimers.Schedule(aDelay, [weak = weak_from_this()] {
    if (const Self self = weak.lock()) {
      self->Pump();
    }
  });
}

void
ReplicaWorker::DenySnapshot(std::uint64_t aSnapshot)
{
  mHoldings.Deny(aSnapshot, mTimers.Now());
  mControlOrders.Push({});
  mHooks.onChange();
}

} // namespace skylarkwing::upstream
