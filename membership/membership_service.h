#pragma once

#include "core/metrics.h"
#include "core/random_source.h"
#include "core/task.h"
#include "core/timer_service.h"
#include "membership/anti_entropy.h"
#include "membership/byte_budget.h"
#include "membership/fact_gossip.h"
#include "membership/gossip_queue.h"
#include "membership/member_table.h"
#include "membership/messages.h"
#include "membership/pause_recovery.h"
#include "membership/peer_ring.h"
#include "membership/periodic_timer.h"
#include "membership/vm_list.h"
#include "net/peer_bus.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::membership {

/** What the membership needs from its daemon; hooks that are unset are not called. */
struct MembershipHooks
{
  /** Fetches the platform's VM list; nothing when it could not be had. */
  std::function<core::Task<std::optional<std::vector<VmRecord>>>()> fetchVmList;
  /** See FactGossipHooks. The facts of a member that was gone and came back are told again. */
  std::function<std::vector<nlohmann::json>()> ownFacts;
  std::function<bool(const nlohmann::json& aBefore, const nlohmann::json& aAfter)> isUrgentFact;
  std::function<void(const std::string& aVm, const nlohmann::json& aFact)> onFact;
  /** Called when a newer process of the same VM takes part: this one is to stop. */
  std::function<void()> onSuperseded;
};

/**
 * One daemon's part in the membership: heartbeats, news, comparisons, and the spread of facts.
 *
 * Every member sends its heartbeats to a bounded number of monitors. News about members spreads to
 * a few random peers at a time; a comparison with one random peer now and then repairs what was
 * lost. Eight members are a full mesh. The bus must be destroyed before or with this service.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class MembershipService
{
public:
  using MemberListener = std::function<void(const Member&)>;
  using EligibleOwnersListener = std::function<void()>;
  using EvaluatedListener = std::function<void()>;
  using GenerationListener = std::function<void(const std::string& aVm, std::uint64_t aGeneration)>;

  MembershipService(boost::asio::any_io_executor aExecutor,
                    core::TimerService& aTimers,
                    core::RandomSource& aRandom,
                    core::Metrics& aMetrics,
                    net::PeerBus& aBus,
                    Member aSelf,
                    MembershipHooks aHooks);
  MembershipService(const MembershipService&) = delete;
  MembershipService& operator=(const MembershipService&) = delete;
  ~MembershipService();

  /** Begins to take part. */
  void Start();

  /** Ends all timers, for the end of the process. */
  void Stop();

  /** Learns of VMs from elsewhere than the VM list hook, such as the settings. */
  void MergeVmList(const std::vector<VmRecord>& aVms);

  /** @return all members with self. */
  std::vector<Member> Members() const { return mTable.Members(); }

  /** @return the members that may own replicas now, for AssignOwners(). */
  std::vector<Member> EligibleOwners() const { return mTable.EligibleOwners(); }

  const Member& Self() const { return mTable.Self(); }
  const MemberTable& Table() const { return mTable; }
  const FactTable& Facts() const { return mFacts.Table(); }

  /** Tells everyone that this daemon is stopping; it cannot be taken back. */
  void AnnounceLeaving();

  /** Sets this daemon's load, 0 to 1. */
  void SetLoad(double aLoad);

  /** Sets the generation in force here and tells the peers at once. */
  void SetGeneration(std::uint64_t aGeneration);

  /** Sets the epoch of request identities. */
  void SetIdentityEpoch(std::uint64_t aEpoch) { mTable.Self().identityEpoch = aEpoch; }

  /** Adds a listener for changes of a member's state, incarnation or generation. */
  void OnChange(MemberListener aListener) { mListeners.push_back(std::move(aListener)); }

  /** Adds a listener for a member's generation that is above this daemon's own. */
  void OnHigherGeneration(GenerationListener aListener)
  {
    mGenerationListeners.push_back(std::move(aListener));
  }

  /** Adds a listener that is called several times a second, after all silences were judged. */
  void OnEvaluated(EvaluatedListener aListener)
  {
    mEvaluatedListeners.push_back(std::move(aListener));
  }

  /** Adds a listener for changes of EligibleOwners(). */
  void OnEligibleOwnersChange(EligibleOwnersListener aListener)
  {
    mEligibleOwnersListeners.push_back(std::move(aListener));
  }

  /**
   * @return whether this process was paused and has not yet heard from its peers how they hold it;
   *         until then it must not act as an owner.
   */
  bool IsRecovering() const { return mPauseRecovery.IsRecovering(); }

  /** @return whether a newer process of the same VM takes part. */
  bool IsSuperseded() const { return mIsSuperseded; }

  /** @return the peers that are there: every member but self that is not joining or gone. */
  const std::vector<std::string>& Peers() const { return mRing.Peers(); }

  /** @return whether every member hears every other directly. */
  bool IsFullMesh() const { return mRing.IsFullMesh(); }

  /** @return the peers that receive this daemon's heartbeats. */
  const std::vector<std::string>& Monitors() const { return mRing.Monitors(); }

  /** @return up to so many different random peers. */
  std::vector<std::string> RandomPeers(std::size_t aMost);

  /** Sets the handler of a kind of message that other parts of this slice send with Send(). */
  void OnMessage(const std::string& aKind, net::PeerMessageHandler aHandler);

  /** Sends a message to a member and counts it. @return false when it was certainly not sent. */
  bool Send(const std::string& aVm, std::string_view aKind, const nlohmann::json& aBody);

private:
  /** Heartbeats sent to one process of a VM; another process there knows nothing of them. */
  struct HeartbeatCount
  {
    std::string incarnation;
    std::uint32_t sent = 0;
  };

  void SetUpMetrics();
  void SetUpHandlers();
  void RunHeartbeat();
  void RunEvaluation(core::Duration aLateness);
  void RunProbes();
  void UpdateStateGauges();
  void SendHeartbeat(const std::string& aVm, std::optional<bool> aIsMonitored);
  void ReleaseFormerMonitors(const std::vector<std::string>& aBefore);
  bool NeedsIntroduction(const std::string& aVm);
  std::vector<MemberStatus> SampleOthers();
  void SendUpdates();
  void ScheduleUpdates();
  void QueueUpdate(const std::string& aVm);
  void HandleHeartbeat(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody);
  void HandleMembers(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody);
  std::optional<std::string> RandomPeer();
  void AskMonitors();
  void RestartSelfSettling();
  void HandleStandingRequest(const net::PeerMessageOrigin& aOrigin);
  void HandleStanding(const net::PeerMessageOrigin& aOrigin, const nlohmann::json& aBody);
  void HandleReportAboutSelf(const Member& aReport, const std::string& aFrom);
  void HandleStatus(const MemberStatus& aStatus);
  void HandleMemberChange(const Member& aMember);
  void UpdateConnection(const Member& aMember);
  void ReplayFacts(const Member& aMember);
  void RefreshRing();
  void CheckEligibleOwners();
  void ScheduleEligibleOwnersCheck();
  void ReportGeneration(const std::string& aVm, std::uint64_t aGeneration);
  void StartVmListFetch();
  static core::Task<void> FetchVmList(std::weak_ptr<MembershipService*> aService,
                                      core::Task<std::optional<std::vector<VmRecord>>> aFetch);

  boost::asio::any_io_executor mExecutor;
  core::TimerService& mTimers;
  core::RandomSource& mRandom;
  core::Metrics& mMetrics;
  net::PeerBus& mBus;
  MembershipHooks mHooks;
  MemberTable mTable;
  PeerRing mRing;
  FactGossip mFacts;
  GossipQueue mUpdates;
  ByteBudget mUpdateBudget;
  core::TimerId mUpdateTimer = 0;
  core::TimerId mEligibleOwnersTimer = 0;
  AntiEntropy mAntiEntropy;
  PauseRecovery mPauseRecovery;
  PeriodicTimer mHeartbeatTimer;
  PeriodicTimer mEvaluationTimer;
  PeriodicTimer mFactTimer;
  PeriodicTimer mProbeTimer;
  PeriodicTimer mVmListTimer;
  std::map<std::string, HeartbeatCount> mHeartbeatsSent;
  /** The incarnations that went, by VM. */
  std::map<std::string, std::string> mGone;
  std::vector<MemberListener> mListeners;
  std::vector<EligibleOwnersListener> mEligibleOwnersListeners;
  std::vector<EvaluatedListener> mEvaluatedListeners;
  std::vector<GenerationListener> mGenerationListeners;
  std::uint64_t mEligibleOwnersHash = 0;
  core::TimePoint mStartedAt;
  core::TimePoint mRingAt;
  bool mIsStarted = false;
  bool mIsRingStale = true;
  bool mIsFetchingVmList = false;
  bool mIsSuperseded = false;
  bool mIsPassingOn = true;
  std::shared_ptr<MembershipService*> mWeakSelf;
  std::map<std::string, prometheus::Counter*, std::less<>> mSent;
  std::map<std::string, prometheus::Gauge*, std::less<>> mStates;
  prometheus::Counter* mSuspicions = nullptr;
  prometheus::Counter* mVmListFailures = nullptr;
};

} // namespace skylarkwing::membership
