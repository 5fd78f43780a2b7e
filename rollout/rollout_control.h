#pragma once

#include "rollout/rollout.h"
#include "upstream/replica_registry.h"
#include "upstream/version_hooks.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace skylarkwing::rollout {

/** The record of a service's latest rollout in the store. */
struct RolloutRecord
{
  std::string target;
  /** The version in service when the rollout began. */
  std::string base;
  RolloutPhase phase = RolloutPhase::Trial;
  /** Start in Unix milliseconds, for daemons that start during the rollout. */
  std::int64_t startedAtMs = 0;
  std::uint64_t orderRevision = 0;
};

/** The status that the operator reads. */
struct RolloutStatus
{
  RolloutPhase phase = RolloutPhase::Trial;
  std::string target;
};

/** A transaction that is due at the store. */
struct RolloutWrite
{
  std::string service;
  RolloutRecord record;
  /** Revisions of the record and the status that the decision is based on; 0: there is none. */
  std::uint64_t recordRevision = 0;
  std::uint64_t statusRevision = 0;
  RolloutVerdict verdict;
  core::Duration elapsed{};
};

/** The callbacks of RolloutControl. */
struct RolloutHooks
{
  /** Called when the rule of a service has changed. */
  std::function<void(const std::string& aService)> onRuleChange;
  /** Called when the phase of a rollout has changed at this daemon. */
  std::function<void(const Rollout&, RolloutPhase aFrom, RolloutPhase aTo)> onPhaseChange;
};

/** The rollouts of all services at one daemon, and the versions that may get requests. */
class RolloutControl
{
public:
  RolloutControl(std::string aVm, const RolloutLimits& aLimits, RolloutHooks aHooks);

  /** Adds or updates a replica; their versions tell which one is in service. */
  void AddReplica(const upstream::AnnouncedReplica& aReplica);

  void RemoveReplica(const std::string& aId);

  /** @param aMayBeOld whether the order may have been written long before, as in a first read. */
  void SetOrder(RolloutOrder aOrder, bool aMayBeOld, core::TimePoint aNow);

  /** Ends a rollout whose order no longer exists. */
  void RemoveOrder(const std::string& aService);

  /**
   * Sets the record in the store; nothing and revision 0 when it doesn't exist. The status is taken
   * to agree with it, as long as SetStatus() doesn't say otherwise.
   */
  void SetRecord(const std::string& aService,
                 std::optional<RolloutRecord> aRecord,
                 std::uint64_t aRevision);

  /** To be called once the records were read; no rollout begins before that. */
  void SetRecordsRead() { mHasReadRecords = true; }

  /** Sets the status in the store; nothing when it doesn't exist. */
  void SetStatus(const std::string& aService,
                 std::optional<RolloutStatus> aStatus,
                 std::uint64_t aRevision);

  /** @return the services with an order, a record or a replica. */
  std::vector<std::string> Services() const;

  /** Sets the listed daemons, in the order in which they judge, and this daemon's share. */
  void SetFleet(const std::vector<std::string>& aRanking, double aOwnShare);

  /** @return the rule of a service, null when it has no replica. */
  const upstream::VersionRule* RuleOf(std::string_view aService) const;

  void CountRequest(std::string_view aService);
  bool TakesTarget(std::string_view aService, core::TimePoint aNow);
  void CountSent(std::string_view aService, const std::string& aVersion);
  void RecordSample(const upstream::VersionSample& aSample, core::TimePoint aNow);

  /** @return reports on the rollouts in progress and on those that ended a short time ago. */
  std::vector<RolloutReport> MakeReports(bool aAreWhole, core::TimePoint aNow) const;

  /** @return a reply to each report whose order is known here. */
  std::vector<RolloutReply> Handle(const std::vector<RolloutReport>& aReports,
                                   core::TimePoint aNow);

  void Apply(const std::vector<RolloutReply>& aReplies, core::TimePoint aNow);

  /**
   * Reviews all rollouts. To be called a few times per second.
   *
   * @param aWallMs Unix time.
   * @return the transactions that are due.
   */
  std::vector<RolloutWrite> Review(core::TimePoint aNow, std::int64_t aWallMs);

private:
  struct Replica
  {
    std::string service;
    std::string version;
    std::uint64_t startedAt = 0;
  };

  struct Service
  {
    /** The version in service; nothing until a replica or a record is known. */
    std::optional<std::string> base;
    std::optional<RolloutOrder> order;
    bool mayBeOld = false;
    core::TimePoint orderSeenAt{};
    std::optional<Rollout> rollout;
    std::optional<RolloutRecord> record;
    std::uint64_t recordRevision = 0;
    std::optional<RolloutStatus> status;
    std::uint64_t statusRevision = 0;
    RolloutPhase lastPhase = RolloutPhase::Trial;
    core::TimePoint endedAt{};
    std::optional<upstream::VersionRule> rule;
  };

  std::string mVm;
  RolloutLimits mLimits;
  RolloutHooks mHooks;
  std::map<std::string, Replica> mReplicas;
  std::map<std::string, Service, std::less<>> mServices;
  std::vector<std::string> mRanking;
  double mOwnShare = 1.0;
  bool mHasReadRecords = false;

  Rollout* RolloutOf(std::string_view aService);
  static void EndRollout(Service& aService);
  /** @return the version of the replica that started first, of those with another version. */
  std::optional<std::string> OldestVersion(std::string_view aService,
                                           std::string_view aOtherThan = {}) const;
  bool HasReplica(std::string_view aService, const std::string& aVersion) const;
  void UpdateBase(const std::string& aName, Service& aService);
  void StartIfDue(const std::string& aName,
                  Service& aService,
                  core::TimePoint aNow,
                  std::int64_t aWallMs);
  void ShowStore(Service& aService);
  void UpdateRule(const std::string& aName, Service& aService, core::TimePoint aNow);
  void NotePhase(Service& aService, core::TimePoint aNow);
  RolloutWrite MakeWrite(const std::string& aName,
                         const Service& aService,
                         const RolloutStep& aStep,
                         core::TimePoint aNow,
                         std::int64_t aWallMs) const;
};

} // namespace skylarkwing::rollout
