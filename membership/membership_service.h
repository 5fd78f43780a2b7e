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

/** What the membership needs from its daemon; unset hooks are not called. */
struct MembershipHooks
{
  /** Fetches the platform's VM list; the result is empty when the fetch failed. */
  std::function<core::Task<std::optional<std::vector<VmRecord>>>()> fetchVmList;
  /** See FactGossipHooks. onFact is called again for the facts of a member that came back. */
  std::function<std::vector<nlohmann::json>()> ownFacts;
  std::function<bool(const nlohmann::json& aBefore, const nlohmann::json& aAfter)> isUrgentFact;
  std::function<void(const std::string& aVm, const nlohmann::json& aFact)> onFact;
  /** Called when a newer process of the same VM is a member, so that this one must stop. */
  std::function<void()> onSuperseded;
};

/**
 * The membership of a daemon: heartbeats, member updates, anti-entropy and the gossip of facts.
 *
 * Every member sends its heartbeats to a bounded number of monitors. Updates about members go to a
 * few random peers at a time; periodic anti-entropy with a random peer repairs lost messages. Up to
 * eight members form a full mesh. The bus must be destroyed before or with this service.
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

  /** Starts all timers and contacts the known VMs. */
  void Start();

  /** Stops all timers, for the end of the process. */
  void Stop();

  /** Merges a VM list that does not come from fetchVmList, such as one from the settings. */
  void MergeVmList(const std::vector<VmRecord>& aVms);

  /** @return all members including self. */
  std::vector<Member> Members() const { return mTable.Members(); }

  /** @return the members that may own replicas now, for AssignOwners(). */
  std::vector<Member> EligibleOwners() const { return mTable.EligibleOwners(); }

  const Member& Self() const { return mTable.Self(); }
  const MemberTable& Table() const { return mTable; }
  const FactTable& Facts() const { return mFacts.Table(); }

  /** Announces to all members that this daemon is stopping; it cannot be revoked. */
  void AnnounceLeaving();

  /** Sets this daemon's load, 0 to 1. */
  void SetLoad(double aLoad);

  /** Sets the configuration generation in force here and sends heartbeats with it at once. */
  void SetGeneration(std::uint64_t aGeneration);

  /** Sets the epoch of request identities. */
  void SetIdentityEpoch(std::uint64_t aEpoch) { mTable.Self().identityEpoch = aEpoch; }

  /** Adds a listener for changes of a member's state, incarnation or generation. */
  void OnChange(MemberListener aListener) { mListeners.push_back(std::move(aListener)); }

  /** Adds a listener for a member's generation that is higher than this daemon's. */
  void OnHigherGeneration(GenerationListener aListener)
  {
    mGenerationListeners.push_back(std::move(aListener));
  }

  /** Adds a listener that is called several times a second, after all states were evaluated. */
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
   * @return whether this process was paused and does not yet know whether its peers considered it
   *         gone; until then it must not act as an owner.
   */
  bool IsRecovering() const { return mPauseRecovery.IsRecovering(); }

  /** @return whether a newer process of the same VM is a member. */
  bool IsSuperseded() const { return mIsSuperseded; }

  /** @return the VMs of all members except self that are neither joining nor gone. */
  const std::vector<std::string>& Peers() const { return mRing.Peers(); }

  /** @return whether every member sends its heartbeats to every other. */
  bool IsFullMesh() const { return mRing.IsFullMesh(); }

  /** @return the peers that receive this daemon's heartbeats. */
  const std::vector<std::string>& Monitors() const { return mRing.Monitors(); }

  /** @return up to aMaxPeers different random peers. */
  std::vector<std::string> RandomPeers(std::size_t aMaxPeers);

  /** Sets the handler of a message kind that other classes of this module send with Send(). */
  void OnMessage(const std::string& aKind, net::PeerMessageHandler aHandler);

  /** Sends a message to a member and counts it. @return false when it was certainly not sent. */
  bool Send(const std::string& aVm, std::string_view aKind, const nlohmann::json& aBody);

private:
  /** The number of heartbeats sent to a process of a VM. */
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
  std::vector<MemberStatus> SampleMembers();
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
  /** The incarnations that are gone, by VM. */
  std::map<std::string, std::string> mGoneIncarnations;
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
  bool mIsForwarding = true;
  std::shared_ptr<MembershipService*> mWeakSelf;
  std::map<std::string, prometheus::Counter*, std::less<>> mSentMessages;
  std::map<std::string, prometheus::Gauge*, std::less<>> mStateGauges;
  prometheus::Counter* mSuspicions = nullptr;
  prometheus::Counter* mVmListFailures = nullptr;
};

} // namespace skylarkwing::membership
