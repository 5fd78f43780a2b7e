#pragma once

#include "core/timer_service.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::upstream {

/** Whether this daemon has a network path to the replicas. */
enum class PartitionState
{
  Connected,
  /** Being found out; requests are sent to replicas meanwhile. */
  Checking,
  /** No replica can be reached from here, but other daemons reach them. */
  Partitioned,
};

/** Why a check was started. */
enum class PartitionTrigger
{
  /** Several replicas owe an answer, and none has answered for a while. */
  Silence,
  /** Connections to several replicas failed, and none succeeded in between. */
  ConnectFailures,
  /** A request failed, and nothing was heard from any replica since it arrived. */
  FailedRequest,
};

/** How a check ended. */
enum class PartitionVerdict
{
  /** A replica accepted a connection, or answered. */
  Connected,
  Partitioned,
  /** No other daemon has reached a replica either. */
  ReplicasDown,
  /** No other daemon has answered. */
  PeersSilent,
  /** No other daemon is known. */
  NoPeers,
};

/** @return the name of a state, trigger or verdict, for logs and metric labels. */
std::string_view
NameOf(PartitionState aState);
std::string_view
NameOf(PartitionTrigger aTrigger);
std::string_view
NameOf(PartitionVerdict aVerdict);

/** A check that has ended, with what started it. */
struct PartitionReport
{
  PartitionTrigger trigger = PartitionTrigger::Silence;
  PartitionVerdict verdict = PartitionVerdict::Connected;
  /** Time without a sign of any replica when the check started. */
  core::Duration silentFor{};
  /** Replicas to which connections had failed, or that owed an answer. */
  std::size_t replicas = 0;
  core::Duration took{};
};

/** Replicas that have owed an answer for a while. */
struct SilentReplicas
{
  std::size_t replicas = 0;
  std::size_t services = 0;
};

/** The callbacks of a detector. */
struct PartitionHooks
{
  /** Tries to connect to some replicas, and reports once, later, whether one has accepted. */
  std::function<void(std::function<void(bool)>)> probeReplicas = [](auto) {};
  /** Asks some other daemons; RecordPeerContact() gets their answers. @return how many. */
  std::function<std::size_t()> askPeers = [] { return 0; };
  std::function<void(const PartitionReport&)> onChecked = [](const auto&) {};
  std::function<void(PartitionState)> onStateChange = [](auto) {};
};

/**
 * Decides whether this daemon is cut off from the replicas.
 *
 * Replicas that are down look the same from one daemon. So a suspicion is followed by two checks:
 * that no replica accepts a new connection, and that another daemon has heard from a replica since.
 * Without a suspicion nothing is sent. Handles cuts in which connections hang, are reset or
 * refused, and those in which open connections live on.
 *
 * Does no I/O. Not thread-safe: one instance belongs to one event loop.
 */
class PartitionDetector
{
public:
  /** Replicas and services that a suspicion needs, or all of them where there are fewer. */
  static constexpr std::size_t kMinReplicas = 3;
  static constexpr std::size_t kMinServices = 2;

  /** Time without an answer after which replicas that owe one are suspicious. */
  static constexpr core::Duration kMaxSilence = std::chrono::milliseconds{ 200 };

  /** How often other daemons are asked during a check, and when it ends without an answer. */
  static constexpr core::Duration kAskInterval = std::chrono::milliseconds{ 100 };
  static constexpr core::Duration kMaxCheckTime = std::chrono::milliseconds{ 800 };

  /** Pause after a check that found no partition. */
  static constexpr core::Duration kPauseAfterConnected = std::chrono::milliseconds{ 300 };
  static constexpr core::Duration kPauseAfterReplicasDown = std::chrono::seconds{ 2 };

  /** How often a partitioned daemon looks whether a replica accepts connections again. */
  static constexpr core::Duration kProbeInterval = std::chrono::milliseconds{ 250 };

  explicit PartitionDetector(core::TimerService& aTimers);
  ~PartitionDetector();
  PartitionDetector(const PartitionDetector&) = delete;
  PartitionDetector& operator=(const PartitionDetector&) = delete;

  void SetHooks(PartitionHooks aHooks) { mHooks = std::move(aHooks); }

  /** Sets how many replicas and services there are. */
  void SetSize(SilentReplicas aAll) { mAll = aAll; }

  /** Records that a replica answered, whatever the answer. */
  void RecordAnswer();

  /** Records that a replica accepted a new connection. */
  void RecordConnected();

  /** Records that a new connection to a replica could not be opened. */
  void RecordConnectFailure(const std::string& aReplica, const std::string& aService);

  /** @return whether ReviewSilence() would start a check if enough replicas owe an answer. */
  bool IsSilent() const;

  /** Starts a check if enough replicas have owed an answer for kMaxSilence. */
  void ReviewSilence(SilentReplicas aSilent);

  /** Records that another daemon has answered, whether it has heard from a replica or not. */
  void RecordPeerReply() { mHasPeerReply = true; }

  /** Records that another daemon heard from a replica at the given time. */
  void RecordPeerContact(core::TimePoint aAt);

  using VerdictFunction = std::function<void(PartitionVerdict)>;

  /**
   * Finds out whether a request failed because of a partition; starts a check if nothing was heard
   * from any replica since it arrived. During the pause after a check its verdict counts.
   *
   * @param aCallback called once, now or when a check ends.
   */
  void JudgeFailure(core::TimePoint aArrival, VerdictFunction aCallback);

  /**
   * Finds out whether a replica was lost because of a partition; starts a check, without a pause,
   * if nothing was heard from any replica since.
   *
   * @param aCallback called once, now or when a check ends.
   */
  void JudgeLoss(core::TimePoint aLostAt, VerdictFunction aCallback);

  PartitionState State() const { return mState; }
  bool IsPartitioned() const { return mState == PartitionState::Partitioned; }

  /** @return whether a replica has answered a short time ago, over a connection opened earlier. */
  bool HasRecentAnswer() const;

  /** @return when a replica last answered or accepted a connection. */
  std::optional<core::TimePoint> LastContact() const;

  /** @return since when there has been no partition, or since when there is one. */
  core::TimePoint StateSince() const { return mStateSince; }

private:
  core::TimerService& mTimers;
  PartitionHooks mHooks;
  SilentReplicas mAll{ kMinReplicas, kMinServices };
  PartitionState mState = PartitionState::Connected;
  core::TimePoint mStateSince;
  std::optional<core::TimePoint> mLastAnswer;
  std::optional<core::TimePoint> mLastConnected;
  /** Replicas to which connections failed since the last one that succeeded, with their services.
   */
  std::map<std::string, std::string> mFailedConnects;
  core::TimePoint mNextCheck{};
  core::TimePoint mCheckStart{};
  PartitionReport mReport;
  bool mHaveProbesFailed = false;
  bool mHasPeers = false;
  bool mHasPeerReply = false;
  bool mHasPeerContact = false;
  bool mIsProbing = false;
  std::vector<VerdictFunction> mAwaitingVerdict;
  core::TimerId mTimer = 0;
  /** False once this object is destroyed; callbacks that come later check it. */
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);

  bool IsEnough(SilentReplicas aEvidence) const;
  bool HasContactSince(core::TimePoint aTime) const;
  void StartCheck(PartitionTrigger aTrigger, std::size_t aReplicas);
  void ReportVerdict(VerdictFunction aCallback);
  void Probe();
  void OnProbed(core::TimePoint aStart, bool aIsConnected);
  void AskPeers();
  void ReviewCheck();
  void EndCheck(PartitionVerdict aVerdict);
  void SetState(PartitionState aState);
  void ScheduleNext(core::Duration aDelay, void (PartitionDetector::*aStep)());
};

} // namespace skylarkwing::upstream
