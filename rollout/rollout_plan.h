#pragma once

#include "core/timer_service.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace skylarkwing::rollout {

/** How far a rollout is. The first three are in progress. */
enum class RolloutPhase
{
  /** The new version gets a small share, for evidence. */
  Trial,
  /** The new version gets most requests; the others are for comparison under load. */
  Shift,
  /** The new version gets all requests. */
  Full,
  /** The new version is in service; the store says so. */
  Completed,
  /** The new version gets no requests any more. */
  Reverted,
};

/** @return the name of a phase, for logs, messages and the record in the store. */
std::string_view
NameOf(RolloutPhase aPhase);

/** @return whether no phase follows. */
bool
IsFinal(RolloutPhase aPhase);

/** What a bad version may get. */
struct RolloutLimits
{
  /** Share of a service's requests, and requests beyond that, over all daemons. */
  double exposureShare = 0.1;
  std::uint32_t exposureSlack = 50;
  /** It gets nothing later than this after its 50th bad answer. */
  core::Duration rollbackTime = std::chrono::seconds{ 5 };
};

/** An order of the operator. */
struct RolloutOrder
{
  std::string service;
  std::string target;
  core::Duration duration{};
  /** Of the store, at the last change of the order. */
  std::uint64_t revision = 0;
};

/**
 * The times and shares of a rollout.
 *
 * A version that turns bad at the last moment has had its share of the trial and everything after
 * it: kTrialPart of the allowed share during the trial, and the rest as the time after it.
 */
class RolloutPlan
{
public:
  /** Part of the allowed share and of the allowed slack that the trial uses. */
  static constexpr double kTrialPart = 0.3;

  /**
   * Share of the new version during the shift; the rest shows whether a fault is the fleet's. With
   * 0.75, 20 failures in 2 s of a service with 21 requests per second were no verdict.
   */
  static constexpr double kShiftShare = 0.6;

  RolloutPlan(core::Duration aDuration, const RolloutLimits& aLimits);

  /** @return the new version's share of the requests during the trial. */
  double TrialShare() const { return mLimits.exposureShare * kTrialPart; }

  /** @return the requests beyond TrialShare() during the trial, over all daemons. */
  double TrialExtra() const { return mLimits.exposureSlack * kTrialPart; }

  const RolloutLimits& Limits() const { return mLimits; }

  core::Duration Duration() const { return mDuration; }

  /** @return the end of the trial of a good version. */
  core::Duration ShiftAt() const { return mShiftAt; }

  /** @return when all requests go to the new version. */
  core::Duration FullAt() const { return mFullAt; }

  /** @return when the rollout is completed, if all daemons have confirmed that they are at Full. */
  core::Duration CompleteAt() const { return mCompleteAt; }

  /** @return when it is completed although some have not, or given up without evidence. */
  core::Duration LastMoment() const { return mLastMoment; }

private:
  core::Duration mDuration;
  RolloutLimits mLimits;
  core::Duration mShiftAt;
  core::Duration mFullAt;
  core::Duration mCompleteAt;
  core::Duration mLastMoment;
};

/** Which of one daemon's requests go to the new version. */
class ExposureBudget
{
public:
  /**
   * @param aStart elapsed time of the rollout when this daemon began to count; the extra requests
   *               accrue from then on, so that restarts don't grant them twice.
   */
  ExposureBudget(const RolloutPlan& aPlan, core::Duration aStart);

  /**
   * @param aShare this daemon's share of the fleet's work.
   * @param aOffset from 0 to 1, spread evenly over the daemons: how much of its first request the
   *                new version has in advance. Most daemons of a large fleet have less than one
   *                request to give; without an offset, none of them would give any.
   */
  void SetFleet(double aShare, double aOffset);

  /** Counts a request that reaches the service. */
  void CountRequest();

  /** Counts an attempt at the new version, also a retry or a hedge. */
  void CountSent() { ++mSent; }

  /** @return whether the next request may go to the new version. */
  bool Allows(RolloutPhase aPhase, core::Duration aElapsed);

  std::uint64_t Requests() const { return mRequests; }
  std::uint64_t Sent() const { return mSent; }

private:
  RolloutPlan mPlan;
  core::Duration mStart;
  double mShare = 1.0;
  double mOffset = 0.5;
  std::uint64_t mRequests = 0;
  std::uint64_t mSent = 0;
  /** Spreads the requests of the shift. */
  double mShiftCredit = 0.0;

  bool AllowsTrial(core::Duration aElapsed) const;
};

} // namespace skylarkwing::rollout
