#include "rollout/rollout.h"

#include <algorithm>
#include <utility>

namespace skylarkwing::rollout {

namespace {

/** Slices per rollout at most, and their least length. */
constexpr std::int64_t kMaxSlices = 60;
constexpr core::Duration kMinSlice = std::chrono::seconds{ 1 };

/** Slices that a report repeats: those that may have changed since the one before. */
constexpr std::uint32_t kRepeatedSlices = 3;

/** Answers of the old version from which some of the new one must have come too. */
constexpr std::uint64_t kBusyAnswers = 100;

/** Daemons after these in the ranking don't wait longer. */
constexpr std::size_t kMaxRank = 6;

/** @return a number from 0 to 1 for the n-th daemon, so that neighbors are far apart. */
double
OffsetOf(std::size_t aIndex, std::size_t aCount)
{
  return (static_cast<double>(aIndex) + 0.5) /
         static_cast<double>(std::max<std::size_t>(aCount, 1));
}

} // namespace

Rollout::Rollout(std::string aVm,
                 const RolloutLimits& aLimits,
                 RolloutOrder aOrder,
                 core::TimePoint aNow,
                 core::Duration aElapsed)
  : mVm(std::move(aVm))
  , mPlan(aOrder.duration, aLimits)
  , mOrder(std::move(aOrder))
  , mStartedAt(aNow - aElapsed)
  , mSeenAt(aNow)
  , mBudget(mPlan, aElapsed)
  , mRepliedAt(aNow)
  , mDueSince(aNow)
{
}

void
Rollout::SetFleet(std::vector<std::string> aRanking, double aOwnShare)
{
  mRanking = std::move(aRanking);
  std::vector<std::string> names = mRanking;
  std::sort(names.begin(), names.end());
  const auto own = std::lower_bound(names.begin(), names.end(), mVm);
  mBudget.SetFleet(aOwnShare,
                   own == names.end()
                     ? OffsetOf(0, 1)
                     : OffsetOf(static_cast<std::size_t>(own - names.begin()), names.size()));
}

core::Duration
Rollout::Elapsed(core::TimePoint aNow) const
{
  return aNow - mStartedAt;
}

void
Rollout::RaiseElapsed(core::Duration aElapsed, core::TimePoint aNow)
{
  mStartedAt = std::min(mStartedAt, aNow - std::min(aElapsed, mOrder.duration));
}

RolloutPhase
Rollout::Phase(core::TimePoint aNow) const
{
  if (mOutcome) {
    return *mOutcome;
  }
  if (!mIsShiftApproved || !HasRecentWord(aNow)) {
    return RolloutPhase::Trial;
  }
  return Elapsed(aNow) >= mPlan.FullAt() ? RolloutPhase::Full : RolloutPhase::Shift;
}

bool
Rollout::Allows(core::TimePoint aNow)
{
  const bool isSilent =
    mRanking.size() > 1 && !HasMajority(aNow) &&
    aNow - std::max(mRepliedAt, mSeenAt) > mPlan.Limits().rollbackTime * kMaxSilencePart;
  return (mOutcome || !isSilent) && mBudget.Allows(Phase(aNow), Elapsed(aNow));
}

void
Rollout::RecordAnswer(const std::string& aRoute,
                      const std::string& aDomain,
                      VersionSide aSide,
                      bool aHasFailed,
                      core::Duration aTime,
                      core::TimePoint aNow)
{
  if (!mOutcome) {
    mEvidence.Add(mVm, { aRoute, aDomain, SliceAt(aNow), aSide }, aHasFailed, aTime);
  }
}

RolloutReport
Rollout::MakeReport(bool aIsWhole, core::TimePoint aNow) const
{
  const std::uint32_t slice = SliceAt(aNow);
  const std::uint32_t since = aIsWhole || slice < kRepeatedSlices ? 0 : slice + 1 - kRepeatedSlices;
  return { mVm,
           mOrder.service,
           mOrder.target,
           mOrder.revision,
           Elapsed(aNow),
           Phase(aNow),
           mEvidence.CellsSince(mVm, since) };
}

RolloutReply
Rollout::Handle(const RolloutReport& aReport, core::TimePoint aNow)
{
  RaiseElapsed(aReport.elapsed, aNow);
  mPeers[aReport.vm] = { aNow, aReport.phase };
  mEvidence.Replace(aReport.vm, aReport.cells);
  if (IsFinal(aReport.phase) && !mOutcome) {
    mOutcome = aReport.phase;
  }
  const RolloutPhase phase = Phase(aNow);
  return { mOrder.service, mOrder.revision, Elapsed(aNow), phase, HasMajority(aNow) };
}

void
Rollout::Apply(const RolloutReply& aReply, core::TimePoint aNow)
{
  if (IsFinal(aReply.phase) && !mOutcome) {
    mOutcome = aReply.phase;
  }
  if (!aReply.hasMajority) {
    return;
  }
  RaiseElapsed(aReply.elapsed, aNow);
  mRepliedAt = aNow;
  mHasReply = true;
  mIsShiftApproved =
    mIsShiftApproved || aReply.phase == RolloutPhase::Shift || aReply.phase == RolloutPhase::Full;
}

void
Rollout::Review(core::TimePoint aNow)
{
  if (mOutcome) {
    return;
  }
  if (mEvidence.Answers(VersionSide::Target) >= kMinTargetAnswers) {
    mVerdict = CompareVersions(mEvidence.Totals());
  }
  const core::Duration elapsed = Elapsed(aNow);
  // A target without any answers when it is too late for a shift has not shown that it works.
  const bool hasFailedToStart =
    elapsed >= mPlan.LastMoment() && HasMajority(aNow) && !HasEnoughEvidence();
  if (mVerdict.isBad || hasFailedToStart) {
    mOutcome = RolloutPhase::Reverted;
    mIsDecider = true;
    return;
  }
  if (elapsed >= mPlan.ShiftAt() && HasMajority(aNow) && HasEnoughEvidence()) {
    mIsShiftApproved = true;
  }
}

void
Rollout::SetRecord(std::optional<RolloutPhase> aPhase)
{
  mRecord = aPhase;
  // The condition of the transaction has decided between two daemons with different verdicts.
  if (aPhase && IsFinal(*aPhase)) {
    mOutcome = aPhase;
  }
}

void
Rollout::Decide(RolloutPhase aOutcome)
{
  if (!mOutcome) {
    mOutcome = aOutcome;
    mIsDecider = true;
  }
}

std::optional<RolloutStep>
Rollout::DueStep(core::TimePoint aNow)
{
  const std::optional<RolloutPhase> wanted = WantedStep(aNow);
  if (wanted != mDue) {
    mDue = wanted;
    mDueSince = aNow;
  }
  if (!wanted) {
    return std::nullopt;
  }
  const auto own = std::find(mRanking.begin(), mRanking.end(), mVm);
  const auto rank = std::min(static_cast<std::size_t>(own - mRanking.begin()), kMaxRank);
  const bool isFirst = mIsDecider || (*wanted == RolloutPhase::Completed && !mOutcome);
  // The record that another daemon has written arrives later than the word of its phase.
  const std::size_t delays = IsFinal(*wanted) ? rank + 2 : rank;
  if (!isFirst && aNow - mDueSince < kRankDelay * delays) {
    return std::nullopt;
  }
  return RolloutStep{ *wanted, mVerdict };
}

std::uint32_t
Rollout::SliceAt(core::TimePoint aNow) const
{
  const core::Duration slice = std::max(kMinSlice, mOrder.duration / kMaxSlices);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, Elapsed(aNow) / slice));
}

std::size_t
Rollout::CountRecent(core::TimePoint aNow, bool aMustBeFull) const
{
  return static_cast<std::size_t>(
    std::count_if(mRanking.begin(), mRanking.end(), [&](const std::string& aVm) {
      if (aVm == mVm) {
        return true;
      }
      const auto peer = mPeers.find(aVm);
      return peer != mPeers.end() && aNow - peer->second.reportedAt <= kRecent &&
             (!aMustBeFull || peer->second.phase == RolloutPhase::Full);
    }));
}

bool
Rollout::HasMajority(core::TimePoint aNow) const
{
  return mRanking.size() <= 1 || 2 * CountRecent(aNow, false) > mRanking.size();
}

bool
Rollout::HasRecentWord(core::TimePoint aNow) const
{
  return HasMajority(aNow) || (mHasReply && aNow - mRepliedAt <= kRecent);
}

bool
Rollout::HasEnoughEvidence() const
{
  return mEvidence.Answers(VersionSide::Base) < kBusyAnswers ||
         mEvidence.Answers(VersionSide::Target) >= kMinTargetAnswers;
}

std::optional<RolloutPhase>
Rollout::WantedStep(core::TimePoint aNow) const
{
  if (mOutcome) {
    const bool isWritten = mRecord == mOutcome && mStatus == mOutcome;
    return isWritten ? std::nullopt : mOutcome;
  }
  const core::Duration elapsed = Elapsed(aNow);
  if (Phase(aNow) == RolloutPhase::Full && HasMajority(aNow)) {
    const bool areAllFull = CountRecent(aNow, true) >= mRanking.size();
    if (elapsed >= (areAllFull ? mPlan.CompleteAt() : mPlan.LastMoment())) {
      return RolloutPhase::Completed;
    }
  }
  const bool isWritten = mRecord == RolloutPhase::Trial && mStatus == RolloutPhase::Trial;
  return isWritten ? std::nullopt : std::optional(RolloutPhase::Trial);
}

} // namespace skylarkwing::rollout
