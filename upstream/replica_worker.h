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

/** The worker's callbacks to the rest of the daemon. */
struct ReplicaWorkerHooks
{
  ConnectionFactory connect;
  PermitHooks permit;
  /** The last check before a part is written; an answer stops it. */
  std::function<std::optional<PartAnswer>(const PartRequest&)> refuseBeforeSend;
  /** Called when a process went away while it ran the part, before the part is answered. */
  std::function<void(const PartRequest&, const std::string& aIncarnation)> onCrash;
  /** Called when a process was seen alive on a connection made after the last crash. */
  std::function<void(const std::string& aReplica, const std::string& aIncarnation)> onAlive;
  /** Called when the replica's status changed in more than its counts. */
  std::function<void()> onChange;
};

/**
 * Runs one owned replica: its queue, its few connections, its concurrency limit and its lifecycle.
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

  /** Starts monitoring the replica; to be called once. */
  void Start();

  /** Accepts a part; its callback is called exactly once, possibly before this returns. */
  void Submit(PendingPartPtr aPart);

  /** Cancels a part that is here; its callback is still called once. */
  void Cancel(const PendingPartPtr& aPart);

  /** Takes the replica's failure domain out of service or brings it back. */
  void SetDomainOut(bool aIsOut);

  /** Refuses queued parts, finishes running ones and then closes the connections. */
  void Retire();

  /** Closes the connections at once; running parts end as unknown. */
  void Abort();

  /** @return whether every task has ended. */
  bool IsDone() const { return mTasks == 0; }

  /** @return the replica as it was declared. */
  const OwnedReplica& Replica() const { return mReplica; }

  /** @return the replica's status, without the owner's name. */
  ReplicaStatus Status() const;

private:
  struct Channel;
  struct ControlRequest;
  using ChannelPtr = std::shared_ptr<Channel>;
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
  std::vector<ChannelPtr> mChannels;
  std::shared_ptr<UpstreamConnection> mControl;
  core::Mailbox<ControlRequest> mControlRequests;
  std::size_t mTasks = 0;
  std::uint64_t mCrashes = 0;
  bool mIsRetired = false;
  bool mIsAborted = false;
  bool mIsProcessingQueue = false;
  bool mMustProcessQueueAgain = false;
  core::TimerId mQueueTimer = 0;
  core::TimerId mPermitTimer = 0;

  static core::Task<void> RunControl(Self aSelf);
  static core::Task<void> RunChannel(Self aSelf, ChannelPtr aChannel);
  static core::Task<void> RunPermit(Self aSelf);
  core::Task<bool> OpenControl();
  core::Task<void> PollLoad();
  core::Task<bool> OpenChannel(ChannelPtr aChannel);
  core::Task<void> RunPart(ChannelPtr aChannel, PendingPartPtr aPart);
  void EndTask();

  void ProcessQueue();
  void ProcessQueueOnce();
  void ProcessQueueLater(core::Duration aDelay);
  void AddChannels();
  void Assign();
  std::size_t WantedChannels() const;
  std::size_t MaxChannels() const;
  ChannelPtr ReadyChannel() const;
  void WakeIdleChannels();
  bool WantsChannels() const;
  bool WantsControl() const;
  bool IsUsable(const Channel& aChannel) const;

  std::uint32_t TakenSlots() const;
  bool MaySend() const;
  bool IsPermitRefused() const;
  core::Duration PollInterval() const;
  std::size_t QueueLimit() const;

  PartRefusal RefusalOf(const PartRequest& aRequest) const;
  void Answer(const PendingPartPtr& aPart, PartStatus aStatus, PartRefusal aRefusal);
  void RefuseAll(PartRefusal aRefusal);
  void RefuseTooLate();
  void ScheduleQueueCheck();
  bool RefuseAtSend(const PendingPartPtr& aPart);

  void RequestPermit();
  void SchedulePermitRelease();

  void OnStateChange(ReplicaState aFrom, ReplicaState aTo);
  void OnLoad(const LoadReply& aReply);
  void OnHoldings(const std::vector<SnapshotHolding>& aHoldings);
  void OnConnectFailed();
  void OnProcess(const std::string& aIncarnation);
  void OnError(Channel& aChannel, const PendingPartPtr& aPart, ExchangeError aError);
  void OnNothingSent(const PendingPartPtr& aPart);
  void OnBroken(const Channel& aChannel, const PendingPartPtr& aPart);
  void OnReply(Channel& aChannel,
               const PendingPartPtr& aPart,
               SearchReply& aReply,
               core::Duration aTook);
  void OnMismatch(Channel& aChannel, const PendingPartPtr& aPart);
  void OnHits(const PendingPartPtr& aPart, SearchReply& aReply);
  void OnShed(const PendingPartPtr& aPart, ShedReason aReason);
  void KeepSlot(const PendingPartPtr& aPart);
  void DenySnapshot(std::uint64_t aSnapshot);
};

} // namespace skylarkwing::upstream
