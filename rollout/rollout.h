#pragma once

#include "rollout/rollout_evidence.h"
#include "rollout/rollout_plan.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::rollout {

/** What a daemon tells another one about a rollout. */
struct RolloutReport
{
  std::string vm;
  std::string service;
  std::string target;
  std::uint64_t orderRevision = 0;
  core::Duration elapsed{};
  RolloutPhase phase = RolloutPhase::Trial;
  EvidenceCells cells;
};

/** The answer to a report. */
struct RolloutReply
{
  std::string service;
  std::uint64_t orderRevision = 0;
  core::Duration elapsed{};
  RolloutPhase phase = RolloutPhase::Trial;
  /** Whether most daemons report to the sender, so that its phase counts. */
  bool hasMajority = false;
};

/** A write that is due at the store. */
struct RolloutStep
{
  RolloutPhase phase = RolloutPhase::Trial;
  RolloutVerdict verdict;
};

/**
 * One rollout as one daemon sees it.
 *
 * The phase follows from the elapsed time, the evidence and the word of a majority of the daemons;
 * a daemon without such word falls back to the trial's share, and after kMaxSilencePart to none.
 */
class Rollout
{
public:
  /** Age up to which the reports of other daemons, and their replies, count. */
  static constexpr core::Duration kRecent = std::chrono::milliseconds{ 1500 };

  /**
   * Silence after which the new version gets nothing, as a part of RolloutLimits::rollbackTime:
   * others may have seen 50 bad answers, and take up to 1 s to judge them.
   */
  static constexpr double kMaxSilencePart = 0.6;

  /** A daemon waits this long for each daemon before it in the ranking to write a step. */
  static constexpr core::Duration kRankDelay = std::chrono::milliseconds{ 500 };

  /**
   * @param aElapsed time since the order's acknowledgement, as far as it is known.
   */
  Rollout(std::string aVm,
          const RolloutLimits& aLimits,
          RolloutOrder aOrder,
          core::TimePoint aNow,
          core::Duration aElapsed);

  const RolloutOrder& Order() const { return mOrder; }

  /** Sets the listed daemons, in the order in which they judge, and this daemon's share. */
  void SetFleet(std::vector<std::string> aRanking, double aOwnShare);

  /** @return the time since the order, the longest that any daemon knows. */
  core::Duration Elapsed(core::TimePoint aNow) const;

  /** Corrects the elapsed time upward. */
  void RaiseElapsed(core::Duration aElapsed, core::TimePoint aNow);

  /** @return the phase by which this daemon sends. */
  RolloutPhase Phase(core::TimePoint aNow) const;

  void CountRequest() { mBudget.CountRequest(); }
  void CountSent() { mBudget.CountSent(); }
  const ExposureBudget& Budget() const { return mBudget; }

  /** @return whether the next request may go to the new version. */
  bool Allows(core::TimePoint aNow);

  /** Counts an answer that this daemon got. */
  void RecordAnswer(const std::string& aRoute,
                    const std::string& aDomain,
                    VersionSide aSide,
                    bool aHasFailed,
                    core::Duration aTime,
                    core::TimePoint aNow);

  /** @return a report; with all evidence when the receiver may have none. */
  RolloutReport MakeReport(bool aIsWhole, core::TimePoint aNow) const;

  /** Handles the report of another daemon about the same order. */
  RolloutReply Handle(const RolloutReport& aReport, core::TimePoint aNow);

  /** Handles the reply to a report. */
  void Apply(const RolloutReply& aReply, core::TimePoint aNow);

  /** Compares the versions and decides on the shift. To be called a few times per second. */
  void Review(core::TimePoint aNow);

  /** Sets the phase in the store's record of this order; nothing when there is none. */
  void SetRecord(std::optional<RolloutPhase> aPhase);

  /** Sets the phase to which the store's status corresponds: Trial for `serving`. */
  void SetStatus(std::optional<RolloutPhase> aPhase) { mStatus = aPhase; }

  /** Ends the rollout without evidence. */
  void Decide(RolloutPhase aOutcome);

  /** @return the step that this daemon should write now, if any. */
  std::optional<RolloutStep> DueStep(core::TimePoint aNow);

  /** @return the verdict of the last review. */
  const RolloutVerdict& Verdict() const { return mVerdict; }

private:
  struct Peer
  {
    core::TimePoint reportedAt;
    RolloutPhase phase = RolloutPhase::Trial;
  };

  std::string mVm;
  RolloutPlan mPlan;
  RolloutOrder mOrder;
  core::TimePoint mStartedAt;
  core::TimePoint mSeenAt;
  ExposureBudget mBudget;
  RolloutEvidence mEvidence;
  std::vector<std::string> mRanking;
  std::map<std::string, Peer> mPeers;
  /** When a daemon with a majority last replied. */
  core::TimePoint mRepliedAt;
  bool mHasReply = false;
  bool mIsShiftApproved = false;
  /** Whether this daemon came to the outcome by itself, and so writes it first. */
  bool mIsDecider = false;
  std::optional<RolloutPhase> mOutcome;
  std::optional<RolloutPhase> mRecord;
  std::optional<RolloutPhase> mStatus;
  RolloutVerdict mVerdict;
  std::optional<RolloutPhase> mDue;
  core::TimePoint mDueSince;

  std::uint32_t SliceAt(core::TimePoint aNow) const;
  /** @return how many listed daemons have reported lately, with this one. */
  std::size_t CountRecent(core::TimePoint aNow, bool aMustBeFull) const;
  bool HasMajority(core::TimePoint aNow) const;
  bool HasRecentWord(core::TimePoint aNow) const;
  bool HasEnoughEvidence() const;
  std::optional<RolloutPhase> WantedStep(core::TimePoint aNow) const;
};

} // namespace skylarkwing::rollout
