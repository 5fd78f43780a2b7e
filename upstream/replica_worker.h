#pragma once

#include "core/metrics.h"
#include "core/random_source.h"
#include "core/task.h"
#include "core/timer_service.h"
#include "declaration/declaration.h"
#include "upstream/holding_list.h"
#include "upstream/part.h"
#include "upstream/part_queue.h"
#include "upstream/permit_keeper.h"
#include "upstream/replica_health.h"
#include "upstream/replica_status.h"
#include "upstream/slot_count.h"
#include "upstream/upstream_connection.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::upstream {

/** A replica that this daemon owns. */
struct OwnedReplica
{
  declaration::ReplicaDeclaration declaration;
  std::string index;
  std::string service;
  declaration::UpstreamLimits limits;
  bool isDomainOut = false;
};

/** How a replica's worker reaches the rest of the daemon. */
struct ReplicaWorkerHooks
{
  ConnectionFactory connect;
  PermitHooks permit;
  /** The last look before a part is written: an answer here stops it. */
  std::function<std::optional<PartAnswer>(const PartRequest&)> refuseBeforeSend;
  /** A process went away while it ran the part; called before the part is answered. */
  std::function<void(const PartRequest&, const std::string& aIncarnation)> onCrash;
  /** A process was seen alive on a connection made after the last crash. */
  std::function<void(const std::string& aReplica, const std::string& aIncarnation)> onAlive;
  /** The replica's fact changed in more than its counts. */
  std::function<void()> onChange;
};

/**
 * Everything that an owner does with one replica: its queue, its few connections, its allowance and
 * its life.
 *
 * One task serves each connection. Not thread-safe: one instance belongs to one event loop; its
 * tasks keep it alive until they end.
 */
class ReplicaWorker : public std::enable_shared_from_this<ReplicaWorker>
{
public:
  ReplicaWorker(boost::asio::any_io_executor aExecutor,
                core::TimerService& aTimers,
                core::RandomSource& aRandom,
                core::Metrics& aMetrics,
                OwnedReplica aReplica,
                ReplicaWorkerHooks aHooks);
  ReplicaWorker(const ReplicaWorker&) = delete;
  ReplicaWorker& operator=(const ReplicaWorker&) = delete;
  ~ReplicaWorker();

  /** Begins to look at the replica; to be called once. */
  void Start();

  /** Takes a part; its callback comes exactly once, possibly before this returns. */
  void Submit(PendingPartPtr aPart);

  /** Gives up a part that is here; its callback still comes once. */
  void Cancel(const PendingPartPtr& aPart);

  /** Takes the replica's failure domain out or brings it back. */
  void SetDomainOut(bool aIsOut);

  /** Refuses what waits, finishes what runs and then closes the connections. */
  void Retire();

  /** Closes the connections at once; what runs ends as unknown. */
  void Abort();

  /** @return whether every task has ended. */
  bool IsDone() const { return mTasks == 0; }

  /** @return the replica as it was declared. */
  const OwnedReplica& Replica() const { return mReplica; }

  /** @return what this owner knows, without the owner's name. */
  ReplicaStatus Status() const;

private:
  struct Lane;
  struct ControlOrder;
  using LanePtr = std::shared_ptr<Lane>;
  using Self = std::shared_ptr<ReplicaWorker>;

  boost::asio::any_io_executor mExecutor;
  core::TimerService& mTimers;
  core::RandomSource& mRandom;
  core::Metrics& mMetrics;
  prometheus::Counter& mConnectionsOpened;
  prometheus::Histogram& mExchangeSeconds;
  OwnedReplica mReplica;
  ReplicaWorkerHooks mHooks;
  ReplicaHealth mHealth;
  HoldingList mHoldings;
  PermitKeeper mPermit;
  SlotCount mSlots;
  PartQueue mQueue;
  std::vector<LanePtr> mLanes;
  std::shared_ptr<UpstreamConnection> mControl;
  core::Mailbox<ControlOrder> mControlOrders;
  std::size_t mTasks = 0;
  std::uint64_t mCrashes = 0;
  bool mIsRetired = false;
  bool mIsAborted = false;
  bool mIsPumping = false;
  bool mMustPumpAgain = false;
  core::TimerId mQueueTimer = 0;
  core::TimerId mPermitTimer = 0;

  static core::Task<void> RunControl(Self aSelf);
  static core::Task<void> RunLane(Self aSelf, LanePtr aLane);
  static core::Task<void> RunPermit(Self aSelf);
  core::Task<bool> OpenControl();
  core::Task<void> PollLoad();
  core::Task<bool> OpenLane(LanePtr aLane);
  core::Task<void> RunPart(LanePtr aLane, PendingPartPtr aPart);
  void EndTask();

  void Pump();
  void PumpOnce();
  void PumpLater(core::Duration aDelay);
  void AddLanes();
  void Assign();
  std::size_t WantedLanes() const;
  std::size_t MaximumLanes() const;
  LanePtr ReadyLane() const;
  void WakeIdleLanes();
  bool WantsLanes() const;
  bool WantsControl() const;
  bool IsUsable(const Lane& aLane) const;

  std::uint32_t TakenSlots() const;
  bool MaySend() const;
  bool IsPermitRefused() const;
  core::Duration PollInterval() const;
  std::size_t QueueLimit() const;

  PartRefusal RefusalOf(const PartRequest& aRequest) const;
  void Answer(const PendingPartPtr& aPart, PartStatus aStatus, PartRefusal aRefusal);
  void RefuseAll(PartRefusal aRefusal);
  void RefuseLate();
  void ScheduleQueueCheck();
  bool RefuseAtSend(const PendingPartPtr& aPart);

  void RequestPermit();
  void SchedulePermitRelease();

  void OnStateChange(ReplicaState aFrom, ReplicaState aTo);
  void OnLoad(const LoadReply& aReply);
  void OnHoldings(const std::vector<SnapshotHolding>& aHoldings);
  void OnConnectFailed();
  void OnProcess(const std::string& aIncarnation);
  void OnError(Lane& aLane, const PendingPartPtr& aPart, ExchangeError aError);
  void OnNothingSent(const PendingPartPtr& aPart);
  void OnBroken(const Lane& aLane, const PendingPartPtr& aPart);
  void OnReply(Lane& aLane, const PendingPartPtr& aPart, SearchReply& aReply, core::Duration aTook);
  void OnMismatch(Lane& aLane, const PendingPartPtr& aPart);
  void OnHits(const PendingPartPtr& aPart, SearchReply& aReply);
  void OnShed(const PendingPartPtr& aPart, ShedReason aReason);
  void KeepSlot(const PendingPartPtr& aPart);
  void DenySnapshot(std::uint64_t aSnapshot);
};

} // namespace skylarkwing::upstream
